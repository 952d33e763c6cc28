//! Outputs of the tenure state machine.

use super::object::ZoneTenure;
use crate::{store::Expect, timeline::EventKind};

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Record the event on the time line.
    Note(EventKind),
    /// Read the zone's object.
    Read,
    /// Write the zone's object if its version is still as expected.
    Write { expect: Expect, object: ZoneTenure },
}
