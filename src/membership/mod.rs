//! Membership: which hosts of this member are live, learnt by gossip between the hosts.
//!
//! Within a zone, hosts exchange the heartbeat counter of every host. Between zones they exchange
//! only a summary of each zone: a counter that increases while any of its hosts is live, and a hash
//! of its live hosts. The list of a zone's hosts is sent only to a host whose hash differs, so the
//! cost for a host grows with the size of its own zone and the number of zones, not with the fleet.
//!
//! Once a second, the caller runs `tick` and then an exchange with each host that `choose_partners`
//! returns: it sends `digest_for(partner)` and passes the response to `apply_response`. The partner
//! computes its response with `receive`. `take_received` returns what exchanges carried for other
//! modules.

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
