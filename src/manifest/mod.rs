//! A member's declared intent: services, targets, limits, caps, client blocks, drains.
//!
//! The member's pipeline writes and signs it; every host verifies it for itself, and moves from one
//! manifest to another only upwards. See `docs/design/control.md`.

mod accept;
mod blocks;
mod change;
mod check;
mod fetch;
mod head;
mod heard;
mod in_force;
mod model;
mod part;
mod read;
mod signed;
mod store;
#[cfg(test)]
mod tests;

pub use self::{
    accept::{AcceptError, Accepted, Proposal, accept, preview},
    blocks::ClientBlocks,
    change::{ASSUMED_LOAD, Breach, Change, Load, Loads, Move, diff, diff_at},
    fetch::{fetch, fetch_parts},
    head::{Acceptance, Head},
    heard::HeardHead,
    in_force::{InForce, ZoneInForce},
    model::{
        ClientBlock, DrainScope, Manifest, Region, Service, ServiceKind, Share, Target, Weighing,
    },
    part::{MAX_PART, MEAN_BLOCKS, Part, PartError, PartId, parse_blocks, split},
    signed::{MAX_BODY, SignError, SignedManifest, sign, sign_split},
    store::{Offer, Reason, Store},
};
pub use crate::yaml::Problem;
