//! Look-ups: which hosts a caller should use, best first.

mod block_table;
mod rank;
mod rendezvous;
#[cfg(test)]
mod tests;

pub use self::{
    block_table::BlockTable,
    rank::{Lookup, LookupAsk, RankedHost, rank},
    rendezvous::owner_of,
};
