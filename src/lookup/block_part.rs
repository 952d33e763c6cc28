//! One part of the client blocks, with its own trie: longest prefix wins.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::{manifest::ClientBlock, prelude::*};

/// Client blocks that never change once built, so that tables of several manifests share them.
/// Entries hold a region's number, not its name.
#[derive(Debug, Default)]
pub struct BlockPart {
    first: Option<IpNet>,
    last: Option<IpNet>,
    regions: Vec<RegionId>,
    v4: PrefixMap<Ipv4Net, u16>,
    v6: PrefixMap<Ipv6Net, u16>,
}

impl BlockPart {
    /// Builds the trie. Of two entries for one block the later wins.
    pub fn build(blocks: &[ClientBlock]) -> BlockPart {
        let mut part = BlockPart::default();
        let mut numbers: BTreeMap<RegionId, u16> = BTreeMap::new();
        for block in blocks {
            let Some(number) = part.number(&block.home, &mut numbers) else { continue };
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

    /// The longest block that holds the address, and its home region.
    pub fn find(&self, ip: IpAddr) -> Option<(IpNet, &RegionId)> {
        let (net, number) = match ip {
            IpAddr::V4(ip) => {
                self.v4.get_lpm(&Ipv4Net::from(ip)).map(|(net, n)| (IpNet::V4(*net), n))
            }
            IpAddr::V6(ip) => {
                self.v6.get_lpm(&Ipv6Net::from(ip)).map(|(net, n)| (IpNet::V6(*net), n))
            }
        }?;
        Some((net, self.region(*number)?))
    }

    /// Whether this very block is in the part.
    pub fn contains(&self, block: &IpNet) -> bool {
        match block {
            IpNet::V4(net) => self.v4.contains_key(net),
            IpNet::V6(net) => self.v6.contains_key(net),
        }
    }

    /// The blocks that hold an address, shortest prefix first.
    pub fn covers(&self, ip: IpAddr) -> Vec<ClientBlock> {
        let covers: Vec<(IpNet, u16)> = match ip {
            IpAddr::V4(ip) => {
                self.v4.cover(&ip.into()).map(|(net, number)| ((*net).into(), *number)).collect()
            }
            IpAddr::V6(ip) => {
                self.v6.cover(&ip.into()).map(|(net, number)| ((*net).into(), *number)).collect()
            }
        };
        covers.into_iter().filter_map(|(net, number)| self.block(net, number)).collect()
    }

    /// Its lowest block.
    pub fn first(&self) -> Option<IpNet> {
        self.first
    }

    /// Its highest block.
    pub fn last(&self) -> Option<IpNet> {
        self.last
    }

    /// All blocks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = ClientBlock> + '_ {
        let v4 = self.v4.iter().map(|(net, number)| (IpNet::V4(*net), *number));
        let v6 = self.v6.iter().map(|(net, number)| (IpNet::V6(*net), *number));
        v4.chain(v6).filter_map(|(net, number)| self.block(net, number))
    }

    /// Home regions that its blocks name, each once.
    pub fn regions(&self) -> &[RegionId] {
        &self.regions
    }

    /// Blocks in the part.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether the part has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn block(&self, block: IpNet, number: u16) -> Option<ClientBlock> {
        Some(ClientBlock { block, home: self.region(number)?.clone() })
    }

    fn region(&self, number: u16) -> Option<&RegionId> {
        self.regions.get(usize::from(number))
    }

    /// Number of a region; `None` past 65,536 regions.
    fn number(&mut self, home: &RegionId, numbers: &mut BTreeMap<RegionId, u16>) -> Option<u16> {
        if let Some(&number) = numbers.get(home) {
            return Some(number);
        }
        let number = u16::try_from(self.regions.len()).ok()?;
        self.regions.push(home.clone());
        numbers.insert(home.clone(), number);
        Some(number)
    }
}
