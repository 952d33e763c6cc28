//! What changed among the hosts.

use crate::{prelude::*, view::HostView};

/// One change among the hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEvent {
    /// First heard of, or came back as a new incarnation.
    Joined(HostView),
    /// Silent for too long, replaced by a new incarnation, or said that it leaves.
    Left(HostView),
    /// A suspected host was heard again.
    Returned(HostId),
    /// Another process runs under this host's name and started later: this one must stop.
    Superseded,
    /// Not heard for the suspicion time.
    Suspected(HostId),
}
