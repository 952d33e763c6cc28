//! Callers' home regions by address: longest prefix wins.

use std::net::IpAddr;

use ipnet::IpNet;

use super::BlockPart;
use crate::{manifest::ClientBlock, prelude::*};

/// Result of putting parts together.
pub type Result<T> = std::result::Result<T, BlockError>;

/// Why parts make no table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BlockError {
    #[error("block {block} begins a part but is not above the part before; sign the blocks again")]
    OutOfOrder { block: IpNet },
    #[error("block {block} is there twice; give it once")]
    Duplicate { block: IpNet },
}

/// Client blocks of a member: those that the manifest's text lists, and ascending parts that the
/// tables of other manifests may share. A change builds the changed part alone.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    listed: Arc<BlockPart>,
    runs: Vec<Run>,
}

/// One part in its place.
#[derive(Clone, Debug)]
struct Run {
    /// Blocks of earlier parts that hold the first address of this one, shortest prefix first.
    /// Without them a caller whose block is nested in one of an earlier part would find no home:
    /// its address alone says in which part to look. They are enough: a block that starts before
    /// this part and reaches into it also holds the part's first address.
    covers: Vec<ClientBlock>,
    first: IpNet,
    part: Arc<BlockPart>,
}

impl BlockTable {
    /// Builds a table of one part. Of two entries for one block the later wins.
    pub fn build(blocks: &[ClientBlock]) -> BlockTable {
        BlockTable { listed: Arc::new(BlockPart::build(blocks)), runs: Vec::new() }
    }

    /// The listed blocks with these parts in place of the former ones. Costs a few steps a part;
    /// order and single use of each block are checked across the parts, not within them.
    pub fn with_parts(&self, parts: &[Arc<BlockPart>]) -> Result<BlockTable> {
        let mut runs: Vec<Run> = Vec::with_capacity(parts.len());
        let mut last: Option<IpNet> = None;
        for part in parts {
            let Some(first) = part.first() else { continue };
            if Some(first) <= last {
                return Err(BlockError::OutOfOrder { block: first });
            }
            last = part.last();
            let covers = runs.last().map_or_else(Vec::new, |before| before.covers_of(first));
            runs.push(Run { covers, first, part: part.clone() });
        }
        let table = BlockTable { listed: self.listed.clone(), runs };
        let twice = table.listed.iter().find(|listed| table.is_in_runs(&listed.block));
        if let Some(ClientBlock { block, .. }) = twice {
            return Err(BlockError::Duplicate { block });
        }
        Ok(table)
    }

    /// The home region of a caller, if a block holds its address.
    pub fn home_region(&self, ip: IpAddr) -> Option<&RegionId> {
        let ip = ip.to_canonical();
        let listed = self.listed.find(ip);
        let found = self.find_in_runs(ip);
        let longest = listed.into_iter().chain(found).max_by_key(|(block, _)| block.prefix_len());
        longest.map(|(_, home)| home)
    }

    /// The listed blocks and the parts, in order.
    pub fn parts(&self) -> impl Iterator<Item = &Arc<BlockPart>> {
        std::iter::once(&self.listed).chain(self.runs.iter().map(|run| &run.part))
    }

    /// Whether both hold the same parts, without a look at the blocks.
    pub fn shares_parts(&self, other: &BlockTable) -> bool {
        let pairs = || self.runs.iter().zip(&other.runs);
        self.runs.len() == other.runs.len() && pairs().all(|(a, b)| Arc::ptr_eq(&a.part, &b.part))
    }

    /// Blocks in the table.
    pub fn len(&self) -> usize {
        self.parts().map(|part| part.len()).sum()
    }

    /// Whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find_in_runs(&self, ip: IpAddr) -> Option<(IpNet, &RegionId)> {
        let run = self.run_of(&IpNet::from(ip))?;
        // Each block of the part that holds the address is longer than all those that cover it.
        run.part.find(ip).or_else(|| {
            let cover = run.covers.iter().rev().find(|cover| cover.block.contains(&ip))?;
            Some((cover.block, &cover.home))
        })
    }

    fn is_in_runs(&self, block: &IpNet) -> bool {
        self.run_of(block).is_some_and(|run| run.part.contains(block))
    }

    /// The last part that begins at or before `block`.
    fn run_of(&self, block: &IpNet) -> Option<&Run> {
        let after = self.runs.partition_point(|run| run.first <= *block);
        self.runs.get(after.checked_sub(1)?)
    }
}

impl Run {
    /// Blocks of this part and of those before it that hold the first address of the next one.
    fn covers_of(&self, next: IpNet) -> Vec<ClientBlock> {
        let ip = next.addr();
        let covers = self.covers.iter().filter(|cover| cover.block.contains(&ip)).cloned();
        covers.chain(self.part.covers(ip)).collect()
    }
}
