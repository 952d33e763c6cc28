//! Client blocks of a manifest, in parts that manifests share.

use crate::{
    lookup::{BlockError, BlockPart, BlockTable},
    prelude::*,
};

use super::ClientBlock;

/// Where callers live. A clone, or the blocks of a manifest that changes one part, shares the other
/// parts: at 770,000 blocks a second copy would be a third of what a host may hold.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(from = "Vec<ClientBlock>")]
pub struct ClientBlocks {
    /// As the manifest's text lists them.
    listed: Arc<[ClientBlock]>,
    table: Arc<BlockTable>,
}

impl ClientBlocks {
    /// The same list with these parts in place of the former ones.
    pub fn with_parts(&self, parts: &[Arc<BlockPart>]) -> Result<Self, BlockError> {
        let table = Arc::new(self.table.with_parts(parts)?);
        Ok(Self { listed: self.listed.clone(), table })
    }

    /// The blocks that stand in the manifest's text, as it lists them.
    pub fn listed(&self) -> &[ClientBlock] {
        &self.listed
    }

    /// All blocks: those of the text first, then the parts, ascending.
    pub fn iter(&self) -> impl Iterator<Item = ClientBlock> + '_ {
        let parts = self.table.parts().skip(1).flat_map(|part| part.iter());
        self.listed.iter().cloned().chain(parts)
    }

    /// The table that finds a caller's home.
    pub fn table(&self) -> &Arc<BlockTable> {
        &self.table
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are none.
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
    // A host compares its view at each tick: parts that are shared are equal without a look at
    // hundreds of thousands of blocks.
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
