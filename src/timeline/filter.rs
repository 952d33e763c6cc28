//! Which events an operator asks for.

use super::{Event, HybridTime};
use crate::prelude::*;

/// Largest number of events in one answer; keeps an answer well under the RPC size limit.
pub const MAX_EVENTS: usize = 4_000;

/// Conditions that an event has to meet, all of them. An absent condition is met by each event.
/// Hosts ignore conditions that they don't know yet; the client applies its filter again.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Filter {
    /// Earliest time, inclusive. A page ends with `limit` events; the next one starts from the
    /// last event's time `.next()`.
    pub from: Option<HybridTime>,
    /// Name of the kind, one of `EventKind::NAMES`.
    pub kind: Option<Arc<str>>,
    /// Most events in one answer, oldest first; never more than `MAX_EVENTS`.
    pub limit: Option<usize>,
    pub member: Option<MemberId>,
    pub request: Option<RequestId>,
    pub target: Option<TargetId>,
    /// Latest time, inclusive.
    pub until: Option<HybridTime>,
}

impl Filter {
    /// Number of events that one answer may hold.
    pub fn page(&self) -> usize {
        self.limit.unwrap_or(MAX_EVENTS).min(MAX_EVENTS)
    }

    /// Whether the event meets every condition but the limit.
    pub fn accepts(&self, event: &Event) -> bool {
        self.from.is_none_or(|from| from <= event.at)
            && self.until.is_none_or(|until| event.at <= until)
            && self.kind.as_deref().is_none_or(|kind| kind == event.kind.name())
            && self.member.as_ref().is_none_or(|member| *member == event.member)
            && self.request.as_ref().is_none_or(|req| event.request.as_ref() == Some(req))
            && self.target.as_ref().is_none_or(|target| event.kind.target() == Some(target))
    }
}
