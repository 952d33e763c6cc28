//! Client blocks of a manifest, in parts that several manifests can share.

use crate::{
    lookup::{BlockError, BlockPart, BlockTable},
    prelude::*,
};

use super::ClientBlock;

/// Client blocks with their home regions. Clones share all parts, and successive manifests share
/// the parts that did not change: at 770,000 blocks a second copy would take a third of a host's
/// memory limit.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Vec<ClientBlock>")]
pub struct ClientBlocks {
    /// Blocks in the manifest's text, in its order.
    listed: Arc<[ClientBlock]>,
    table: Arc<BlockTable>,
}

impl ClientBlocks {
    /// Returns the listed blocks with `parts` in place of the current parts.
    pub fn with_parts(&self, parts: &[Arc<BlockPart>]) -> Result<Self, BlockError> {
        let table = Arc::new(self.table.with_parts(parts)?);
        Ok(Self { listed: self.listed.clone(), table })
    }

    /// Blocks in the manifest's text, in its order.
    pub fn listed(&self) -> &[ClientBlock] {
        &self.listed
    }

    /// All blocks: first those in the text, then those of the parts in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ClientBlock> + '_ {
        let parts = self.table.all_parts().skip(1).flat_map(|part| part.iter());
        self.listed.iter().cloned().chain(parts)
    }

    /// Lookup table from a client address to its home region.
    pub fn table(&self) -> &Arc<BlockTable> {
        &self.table
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl From<Vec<ClientBlock>> for ClientBlocks {
    fn from(blocks: Vec<ClientBlock>) -> Self {
        let table = Arc::new(BlockTable::build(&blocks));
        Self { listed: blocks.into(), table }
    }
}

impl FromIterator<ClientBlock> for ClientBlocks {
    fn from_iter<T: IntoIterator<Item = ClientBlock>>(blocks: T) -> Self {
        blocks.into_iter().collect::<Vec<_>>().into()
    }
}

impl PartialEq for ClientBlocks {
    // A host compares its view at each tick. Shared parts are equal without comparing hundreds of
    // thousands of blocks.
    fn eq(&self, other: &Self) -> bool {
        if self.listed == other.listed && self.table.shares_parts(&other.table) {
            return true;
        }
        self.len() == other.len() && self.iter().eq(other.iter())
    }
}

impl Serialize for ClientBlocks {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}
