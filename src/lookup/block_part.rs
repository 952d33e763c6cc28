//! One part of the client blocks, with its own longest-prefix-match trie.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::{manifest::ClientBlock, prelude::*};

/// An immutable set of client blocks, which the tables of several manifests can share. Entries
/// hold the number of a region instead of its name.
#[derive(Debug, Default)]
pub struct BlockPart {
    first: Option<IpNet>,
    last: Option<IpNet>,
    regions: Vec<RegionId>,
    v4: PrefixMap<Ipv4Net, u16>,
    v6: PrefixMap<Ipv6Net, u16>,
}

impl BlockPart {
    /// Builds the trie. If a block is given twice, its last entry wins.
    pub fn build(blocks: &[ClientBlock]) -> BlockPart {
        let mut part = BlockPart::default();
        let mut numbers: BTreeMap<RegionId, u16> = BTreeMap::new();
        for block in blocks {
            let Some(number) = part.region_number(&block.home, &mut numbers) else { continue };
            let block = block.block.trunc();
            part.first = Some(part.first.map_or(block, |first| first.min(block)));
            part.last = part.last.max(Some(block));
            match block {
                IpNet::V4(net) => part.v4.insert(net, number),
                IpNet::V6(net) => part.v6.insert(net, number),
            };
        }
        part
    }

    /// The block with the longest prefix that contains the address, and its home region.
    pub fn longest_match(&self, ip: IpAddr) -> Option<(IpNet, &RegionId)> {
        let (net, number) = match ip {
            IpAddr::V4(ip) => {
                self.v4.get_lpm(&Ipv4Net::from(ip)).map(|(net, number)| (IpNet::V4(*net), number))
            }
            IpAddr::V6(ip) => {
                self.v6.get_lpm(&Ipv6Net::from(ip)).map(|(net, number)| (IpNet::V6(*net), number))
            }
        }?;
        Some((net, self.region(*number)?))
    }

    /// Whether the part has exactly this block.
    pub fn contains(&self, block: &IpNet) -> bool {
        match block {
            IpNet::V4(net) => self.v4.contains_key(net),
            IpNet::V6(net) => self.v6.contains_key(net),
        }
    }

    /// The blocks that contain an address, shortest prefix first.
    pub fn covering_blocks(&self, ip: IpAddr) -> Vec<ClientBlock> {
        let found: Vec<(IpNet, u16)> = match ip {
            IpAddr::V4(ip) => {
                self.v4.cover(&ip.into()).map(|(net, number)| ((*net).into(), *number)).collect()
            }
            IpAddr::V6(ip) => {
                self.v6.cover(&ip.into()).map(|(net, number)| ((*net).into(), *number)).collect()
            }
        };
        found.into_iter().filter_map(|(net, number)| self.block(net, number)).collect()
    }

    /// The lowest block.
    pub fn first(&self) -> Option<IpNet> {
        self.first
    }

    /// The highest block.
    pub fn last(&self) -> Option<IpNet> {
        self.last
    }

    /// All blocks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ClientBlock> + '_ {
        let v4 = self.v4.iter().map(|(net, number)| (IpNet::V4(*net), *number));
        let v6 = self.v6.iter().map(|(net, number)| (IpNet::V6(*net), *number));
        v4.chain(v6).filter_map(|(net, number)| self.block(net, number))
    }

    /// Home regions of the blocks, without duplicates.
    pub fn regions(&self) -> &[RegionId] {
        &self.regions
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn block(&self, block: IpNet, number: u16) -> Option<ClientBlock> {
        Some(ClientBlock { block, home: self.region(number)?.clone() })
    }

    fn region(&self, number: u16) -> Option<&RegionId> {
        self.regions.get(usize::from(number))
    }

    /// Returns the number of a region, and assigns one if needed; `None` beyond 65,536 regions.
    fn region_number(
        &mut self,
        home: &RegionId,
        numbers: &mut BTreeMap<RegionId, u16>,
    ) -> Option<u16> {
        if let Some(&number) = numbers.get(home) {
            return Some(number);
        }
        let number = u16::try_from(self.regions.len()).ok()?;
        self.regions.push(home.clone());
        numbers.insert(home.clone(), number);
        Some(number)
    }
}
