//! Changes in the membership.

use crate::{prelude::*, view::HostView};

/// A change in the state of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEvent {
    /// A host was seen for the first time, or came back as a new incarnation.
    Joined(HostView),
    /// A host was silent for too long, was replaced by a new incarnation, or announced that it
    /// leaves.
    Left(HostView),
    /// A suspected host was heard again.
    Returned(HostId),
    /// A process that started later runs under this host's name, so this one must stop.
    Superseded,
    /// A host was not heard within the suspicion time.
    Suspected(HostId),
}
