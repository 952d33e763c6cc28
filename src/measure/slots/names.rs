//! Numbers for names, so that a log of any size holds each name once.

use std::collections::HashMap;

use crate::prelude::*;

/// Number of a name.
pub type NameId = u32;

/// The names that the logs mention.
#[derive(Debug, Default)]
pub struct Names {
    ids: HashMap<Arc<str>, NameId>,
    names: Vec<Arc<str>>,
}

impl Names {
    /// The number of a name; a new one if the name is new.
    pub fn id(&mut self, name: &str) -> NameId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.names.len() as NameId;
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.ids.insert(name, id);
        id
    }

    /// The name with this number.
    pub fn name(&self, id: NameId) -> &Arc<str> {
        &self.names[id as usize]
    }
}
