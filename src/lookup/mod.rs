//! Look-ups: which hosts a caller should use, best first.

mod ask;
mod block_part;
mod block_table;
mod rank;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use self::{
    ask::{Lookup, LookupAsk, RankedHost},
    block_part::BlockPart,
    block_table::{BlockError, BlockTable},
    rank::{HostIndex, rank},
    rendezvous::owner_of,
};
