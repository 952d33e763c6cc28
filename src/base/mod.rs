//! Types that every slice shares: ids, time, error kinds, the owner binding.

mod binding;
mod cause;
mod clock;
mod error_kind;
mod header_line;
mod ids;
pub mod invariant;
mod ran;
pub mod span_text;
#[cfg(test)]
mod tests;

pub use self::{
    binding::{Binding, BindingError},
    cause::{cause_of, with_cause},
    clock::{BootClock, Clock, ManualClock, Moment},
    error_kind::{AnswerRow, ErrorKind, Resend},
    header_line::{HeaderLine, header},
    ids::{
        Generation, HostId, Incarnation, MemberId, RegionId, RequestId, Sequence, ServiceId,
        TargetId, TeamId, ZoneId,
    },
    ran::Ran,
};
