//! Response headers that the platform defines but this release does not know.
//!
//! A fact that a target states in such a header is lost on this host, so operators have to see it.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
};

use http::{HeaderMap, HeaderName};

use crate::{
    event_log::{Event, EventSink},
    prelude::*,
};

/// Most names that are logged; further ones only count.
const MAX_NAMES: usize = 32;

/// Longest part of a value that is logged, in characters.
const MAX_VALUE_CHARS: usize = 64;

/// Counts responses with unknown headers, and logs each name once.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: RefCell<HashSet<HeaderName>>,
    responses: Cell<u64>,
}

impl UnknownHeaders {
    /// Records the unknown headers `unknown` among the `headers` of a target's response.
    pub fn record(
        &self,
        unknown: &[&HeaderName],
        headers: &HeaderMap,
        target: &TargetId,
        events: &dyn EventSink,
    ) {
        if unknown.is_empty() {
            return;
        }
        self.responses.set(self.responses.get().saturating_add(1));
        let mut names = self.names.borrow_mut();
        for name in unknown {
            if MAX_NAMES <= names.len() || !names.insert((*name).clone()) {
                continue;
            }
            let value = headers.get(*name).map(|value| String::from_utf8_lossy(value.as_bytes()));
            let value: String =
                value.iter().flat_map(|text| text.chars()).take(MAX_VALUE_CHARS).collect();
            events.record(
                None,
                Event::UnknownHeader {
                    name: name.as_str().into(),
                    target: target.clone(),
                    value: value.into(),
                },
            );
        }
    }

    /// Number of responses with an unknown header.
    pub fn responses(&self) -> u64 {
        self.responses.get()
    }
}
