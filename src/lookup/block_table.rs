//! Maps callers' addresses to home regions by longest prefix match.

use std::net::IpAddr;

use ipnet::IpNet;

use super::BlockPart;
use crate::{manifest::ClientBlock, prelude::*};

/// Result of assembling a table from parts.
pub type Result<T> = std::result::Result<T, BlockError>;

/// Why parts cannot be assembled into a table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BlockError {
    #[error(
        "block {block} begins a part but is not above the previous part; sign the blocks again"
    )]
    OutOfOrder { block: IpNet },
    #[error("block {block} is both in the manifest's list and in a part; list it only once")]
    Duplicate { block: IpNet },
}

/// Client blocks of a member: those listed in the manifest itself, and parts in ascending order.
///
/// A part is a sorted run of client blocks that is stored outside the manifest, so that a manifest
/// can have more blocks than fit into one stored object. A few blocks are simply listed in the
/// manifest. Parts are shared with the tables of other manifests, so that a change rebuilds only
/// the parts that it affects.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    listed: Arc<BlockPart>,
    parts: Vec<PartEntry>,
}

/// A part and what is needed to search it as one of several.
#[derive(Clone, Debug)]
struct PartEntry {
    /// Blocks of earlier parts that contain the first address of this one, shortest prefix first.
    /// Only one part is searched for an address, so without them a caller covered only by a block
    /// of an earlier part would have no home region. No other blocks are needed: a block that
    /// starts before this part and extends into it contains the part's first address.
    covering_blocks: Vec<ClientBlock>,
    first: IpNet,
    part: Arc<BlockPart>,
}

impl BlockTable {
    /// Builds a table of listed blocks only. If a block is given twice, its last entry wins.
    pub fn build(blocks: &[ClientBlock]) -> BlockTable {
        BlockTable { listed: Arc::new(BlockPart::build(blocks)), parts: Vec::new() }
    }

    /// Returns a table of the listed blocks with these parts instead of the current ones. Costs a
    /// few steps per part: order and uniqueness of blocks are checked between parts, not within
    /// them.
    pub fn with_parts(&self, parts: &[Arc<BlockPart>]) -> Result<BlockTable> {
        let mut entries: Vec<PartEntry> = Vec::with_capacity(parts.len());
        let mut last: Option<IpNet> = None;
        for part in parts {
            let Some(first) = part.first() else { continue };
            if Some(first) <= last {
                return Err(BlockError::OutOfOrder { block: first });
            }
            last = part.last();
            let covering_blocks = entries
                .last()
                .map_or_else(Vec::new, |before| before.covering_blocks_of_next(first));
            entries.push(PartEntry { covering_blocks, first, part: part.clone() });
        }
        let table = BlockTable { listed: self.listed.clone(), parts: entries };
        let duplicate = table.listed.iter().find(|listed| table.is_in_parts(&listed.block));
        if let Some(ClientBlock { block, .. }) = duplicate {
            return Err(BlockError::Duplicate { block });
        }
        Ok(table)
    }

    /// The home region of a caller, if a block contains its address.
    pub fn home_region(&self, ip: IpAddr) -> Option<&RegionId> {
        let ip = ip.to_canonical();
        let listed = self.listed.longest_match(ip);
        let found = self.find_in_parts(ip);
        let longest = listed.into_iter().chain(found).max_by_key(|(block, _)| block.prefix_len());
        longest.map(|(_, home)| home)
    }

    /// The listed blocks, as the first item, followed by the parts in order.
    pub fn all_parts(&self) -> impl Iterator<Item = &Arc<BlockPart>> {
        std::iter::once(&self.listed).chain(self.parts.iter().map(|entry| &entry.part))
    }

    /// Whether both tables have the same parts, compared by pointer.
    pub fn shares_parts(&self, other: &BlockTable) -> bool {
        let pairs = || self.parts.iter().zip(&other.parts);
        self.parts.len() == other.parts.len() && pairs().all(|(a, b)| Arc::ptr_eq(&a.part, &b.part))
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.all_parts().map(|part| part.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find_in_parts(&self, ip: IpAddr) -> Option<(IpNet, &RegionId)> {
        let entry = self.entry_for(&IpNet::from(ip))?;
        // A block of the part that contains the address has a longer prefix than the blocks of
        // earlier parts that contain it.
        entry.part.longest_match(ip).or_else(|| {
            let covering =
                entry.covering_blocks.iter().rev().find(|covering| covering.block.contains(&ip))?;
            Some((covering.block, &covering.home))
        })
    }

    fn is_in_parts(&self, block: &IpNet) -> bool {
        self.entry_for(block).is_some_and(|entry| entry.part.contains(block))
    }

    /// The last part that begins at or below `block`.
    fn entry_for(&self, block: &IpNet) -> Option<&PartEntry> {
        let after = self.parts.partition_point(|entry| entry.first <= *block);
        self.parts.get(after.checked_sub(1)?)
    }
}

impl PartEntry {
    /// Blocks of this and earlier parts that contain the first address of the next part.
    fn covering_blocks_of_next(&self, next: IpNet) -> Vec<ClientBlock> {
        let ip = next.addr();
        let inherited =
            self.covering_blocks.iter().filter(|covering| covering.block.contains(&ip)).cloned();
        inherited.chain(self.part.covering_blocks(ip)).collect()
    }
}
