//! What the manager asks for.

use super::object::ZoneTenure;
use crate::{store::Expect, timeline::EventKind};

/// One output.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Put this on the time line.
    Note(EventKind),
    /// Read the zone's object.
    Read,
    /// Write the zone's object if it still is as expected.
    Write { expect: Expect, object: ZoneTenure },
}
