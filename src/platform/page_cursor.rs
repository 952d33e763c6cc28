//! Decides from which object a listing of several pages goes on.

use std::collections::BTreeSet;

use super::object_urls;
use crate::prelude::*;

/// Pages in a row that may show nothing new. Each is asked for behind another name, since the object
/// may have been removed after the page that showed it.
const MAX_FRUITLESS_PAGES: usize = 3;

/// Names that were read, and those from which the listing may go on.
#[derive(Debug, Default)]
pub struct PageCursor {
    fruitless: usize,
    read: BTreeSet<Arc<str>>,
    /// Escaped names that were not asked for yet, in the order of the pages.
    untried: Vec<String>,
}

impl PageCursor {
    /// Records the names on a page. Some may belong to objects that can't be used. Returns whether any is
    /// new.
    pub fn record_page(&mut self, names: impl Iterator<Item = Arc<str>>) -> bool {
        let read_before = self.read.len();
        for name in names {
            let escaped = object_urls::escape(&name).filter(|escaped| !escaped.is_empty());
            if self.read.insert(name) {
                self.untried.extend(escaped);
            }
        }
        let has_new = read_before < self.read.len();
        match has_new {
            true => self.fruitless = 0,
            false => self.record_failure(),
        }
        has_new
    }

    /// Records that a page could not be read.
    pub fn record_failure(&mut self) {
        self.fruitless += 1;
    }

    /// The escaped name behind which the next page begins; `None` if no further name leads on.
    pub fn next(&mut self) -> Option<String> {
        if MAX_FRUITLESS_PAGES <= self.fruitless {
            return None;
        }
        self.untried.pop()
    }
}
