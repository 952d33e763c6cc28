//! Types shared by all modules: identifiers, time, error kinds and bindings.

mod binding;
mod bounded_body;
mod cause;
mod clock;
pub mod duration_text;
mod error_kind;
mod header_line;
mod ids;
pub mod invariant;
mod ran;
#[cfg(test)]
mod tests;

pub use self::{
    binding::{Binding, BindingError},
    bounded_body::{BodyError, next_chunk, read_bounded, read_bounded_body},
    cause::{root_cause, with_root_cause},
    clock::{BootClock, Clock, ManualClock, Moment},
    error_kind::{ErrorKind, ErrorResponse, Resend},
    header_line::{HeaderLine, header},
    ids::{
        Generation, HostId, Incarnation, MemberId, RegionId, RequestId, Sequence, ServiceId,
        TargetId, TeamId, ZoneId,
    },
    ran::Ran,
};
