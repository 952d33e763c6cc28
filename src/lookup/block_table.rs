//! Callers' home regions by address: longest prefix wins.

use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::{manifest::ClientBlock, prelude::*};

/// Client blocks of a member. Entries hold a region's number, not its name.
#[derive(Clone, Debug, Default)]
pub struct BlockTable {
    regions: Vec<RegionId>,
    v4: PrefixMap<Ipv4Net, u16>,
    v6: PrefixMap<Ipv6Net, u16>,
}

impl BlockTable {
    /// Builds the table. Of two entries for one block the later wins.
    pub fn build(blocks: &[ClientBlock]) -> BlockTable {
        let mut table = BlockTable::default();
        let mut numbers: BTreeMap<RegionId, u16> = BTreeMap::new();
        for block in blocks {
            let Some(number) = table.number(&block.home, &mut numbers) else { continue };
            match block.block {
                IpNet::V4(net) => table.v4.insert(net.trunc(), number),
                IpNet::V6(net) => table.v6.insert(net.trunc(), number),
            };
        }
        table
    }

    /// The home region of a caller, if a block holds its address.
    pub fn home(&self, ip: IpAddr) -> Option<&RegionId> {
        let number = match ip.to_canonical() {
            IpAddr::V4(ip) => self.v4.get_lpm(&Ipv4Net::from(ip)).map(|(_, number)| number),
            IpAddr::V6(ip) => self.v6.get_lpm(&Ipv6Net::from(ip)).map(|(_, number)| number),
        };
        self.regions.get(usize::from(*number?))
    }

    /// Blocks in the table.
    pub fn len(&self) -> usize {
        self.v4.len() + self.v6.len()
    }

    /// Whether the table has no blocks.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
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
