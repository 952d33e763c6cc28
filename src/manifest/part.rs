//! Client blocks of a large manifest, split into parts that fit into platform objects.
//!
//! The id of a part is the hash of its content. Boundaries between parts depend on the blocks'
//! content and not on their position, so an added block changes one part only and hosts fetch just
//! that one.

use ipnet::IpNet;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use super::ClientBlock;
use crate::{lookup::BlockPart, prelude::*};

/// Largest part; the platform stores values of up to a megabyte.
pub const MAX_PART_BYTES: usize = 900_000;

/// Mean number of blocks between two boundaries. A change sends one part and the ids of all parts;
/// at 770,000 blocks and this mean both have about the same size, which minimizes their sum.
pub const MEAN_BLOCKS_PER_PART: u64 = 2048;

/// SHA-256 hash of a part's text, as 64 hex digits.
pub type PartId = Arc<str>;

/// A sorted run of client blocks, one `BLOCK REGION` per line.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Part {
    pub text: Arc<str>,
}

/// Why client blocks can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PartError {
    #[error("client block {block} has bits set past its prefix; write {}", .block.trunc())]
    HostBitsSet { block: IpNet },
    #[error(
        "line {line} of the client blocks must read `BLOCK REGION`, such as `10.1.0.0/16 east`"
    )]
    InvalidLine { line: usize },
    #[error("client block {block} is listed twice or out of order; sign the blocks again")]
    OutOfOrder { block: IpNet },
    #[error(
        "the part is larger than {MAX_PART_BYTES} bytes; split the blocks with `sign --blocks`"
    )]
    TooLarge,
}

impl Part {
    /// `None` if the bytes aren't UTF-8.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        std::str::from_utf8(bytes).ok().map(|text| Self { text: text.into() })
    }

    /// Hash of the content.
    pub fn id(&self) -> PartId {
        hex::encode(Sha256::digest(self.text.as_bytes())).into()
    }

    /// Decodes the blocks without checking their order.
    pub fn blocks(&self) -> Result<Vec<ClientBlock>, PartError> {
        if MAX_PART_BYTES < self.text.len() {
            return Err(PartError::TooLarge);
        }
        parse_blocks(&self.text)
    }

    /// Builds the lookup table of the blocks. They must be in strictly ascending order and without
    /// bits set past their prefix, because the lookup of an address selects the part by its first
    /// block.
    pub fn build_table(&self) -> Result<BlockPart, PartError> {
        let blocks = self.blocks()?;
        if let Some(wrong) = blocks.iter().find(|block| block.block != block.block.trunc()) {
            return Err(PartError::HostBitsSet { block: wrong.block });
        }
        if let Some(pair) = blocks.windows(2).find(|pair| pair[1].block <= pair[0].block) {
            return Err(PartError::OutOfOrder { block: pair[1].block });
        }
        Ok(BlockPart::build(&blocks))
    }
}

/// Parses `BLOCK REGION` lines; skips empty lines and lines that start with `#`.
pub fn parse_blocks(text: &str) -> Result<Vec<ClientBlock>, PartError> {
    let mut blocks = Vec::new();
    // Many blocks share few regions, so each region name is allocated once.
    let mut homes: BTreeMap<&str, RegionId> = BTreeMap::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let wrong = PartError::InvalidLine { line: index + 1 };
        let (block, home) = line.split_once(' ').ok_or(wrong.clone())?;
        let block = block.parse().map_err(|_| wrong)?;
        let home = homes.entry(home.trim()).or_insert_with_key(|home| (*home).into()).clone();
        blocks.push(ClientBlock { block, home });
    }
    Ok(blocks)
}

/// Sorts `blocks` and splits them into parts.
pub fn split_blocks(blocks: &[ClientBlock]) -> Vec<Part> {
    let mut sorted: Vec<&ClientBlock> = blocks.iter().collect();
    sorted.sort_by_key(|block| block.block);
    let mut parts = Vec::new();
    let mut text = String::new();
    for block in sorted {
        let line = format!("{} {}\n", block.block, block.home);
        if MAX_PART_BYTES < text.len() + line.len() {
            parts.push(Part { text: std::mem::take(&mut text).into() });
        }
        text.push_str(&line);
        if xxh3_64(line.as_bytes()).is_multiple_of(MEAN_BLOCKS_PER_PART) {
            parts.push(Part { text: std::mem::take(&mut text).into() });
        }
    }
    if !text.is_empty() {
        parts.push(Part { text: text.into() });
    }
    parts
}
