//! Look-ups: ranks the hosts that a caller should send its requests to, best first.

mod block_part;
mod block_table;
mod messages;
mod rank;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use self::{
    block_part::BlockPart,
    block_table::{BlockError, BlockTable},
    messages::{LookupRequest, LookupResponse, RankedHost},
    rank::{HostIndex, rank},
    rendezvous::owner_of,
};
