//! Brings the events of many processes into one order.

use super::Event;

/// All events in an order where a cause stands before its effect. Events that no message connects
/// are ordered by time, then by host, so that the same input always gives the same order.
pub fn merge(lists: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lists.into_iter().flatten().collect();
    events.sort_by(|a, b| {
        (a.at, &a.member, &a.host, a.incarnation).cmp(&(b.at, &b.member, &b.host, b.incarnation))
    });
    events.dedup();
    events
}
