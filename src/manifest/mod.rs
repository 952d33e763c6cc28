//! Declarative configuration of a member: services, targets, limits, caps, client blocks, drains.
//!
//! The member's deployment pipeline writes and signs it. Every host verifies it independently, and
//! replaces the manifest in force only by one with a higher sequence. See `docs/design/control.md`.

mod accept;
mod blocks;
mod cached_head;
mod change;
mod check;
mod fetch;
mod head;
mod model;
mod part;
mod read;
mod rollout;
mod signed;
mod store;
#[cfg(test)]
mod tests;

pub use self::{
    accept::{AcceptError, AcceptOutcome, Proposal, accept, preview},
    blocks::ClientBlocks,
    cached_head::CachedHead,
    change::{
        Breach, DEFAULT_LOAD, LoadShare, LoadShares, ManifestDiff, TrafficMove, diff,
        diff_with_loads,
    },
    fetch::{fetch, fetch_parts},
    head::{Acceptance, Head},
    model::{
        ClientBlock, DrainScope, Manifest, Region, Service, ServiceKind, Share, Target, Weighing,
    },
    part::{
        MAX_PART_BYTES, MEAN_BLOCKS_PER_PART, Part, PartError, PartId, parse_blocks, split_blocks,
    },
    rollout::{RolloutStatus, ZoneRollout},
    signed::{MAX_BODY_BYTES, SignError, SignedManifest, sign, sign_with_blocks},
    store::{ManifestError, ManifestStore, OfferOutcome},
};
pub use crate::yaml::Problem;
