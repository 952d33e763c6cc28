//! Which hosts of this member live, learnt from exchanges between the hosts themselves.
//!
//! Inside a zone hosts tell each other every host's heartbeat. Between zones only a summary of each
//! zone goes round (a beat that rises while any of its hosts lives, and a hash of its live hosts);
//! the hosts of a zone are sent only to a host whose hash differs. So the cost for a host grows
//! with the hosts of its own zone and the number of zones, not with the fleet.
//!
//! The shell calls `tick` and then exchanges with each of `partners`, once a second: it sends
//! `digest_for(partner)`, hands the answer to `merge`; the asked host answers with `receive`.
//! What came along for other slices is fetched with `take_received`.

mod baselines;
mod contacts;
mod digest;
mod event;
mod exchange;
mod limits;
mod machine;
mod payload;
mod record;
mod roster;
mod simulation;
#[cfg(test)]
mod tests;
mod zones;

pub use self::{
    baselines::Baselines,
    digest::{Digest, HostEntry, ZoneEntry, ZoneSummary},
    event::MembershipEvent,
    limits::MembershipLimits,
    machine::Membership,
    payload::{BaselineEntry, Payload, ReceivedPayload},
    simulation::{Node, SimulatedFleet, zone_id},
};
