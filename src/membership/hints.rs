//! Hosts that may live: named by someone, but not heard yet.

use rand::{Rng, seq::IteratorRandom};

use crate::{prelude::*, view::HostView};

/// A named host is asked this often and then dropped: the list it came from may be old.
const MAX_TRIES: u32 = 20;

/// Most named hosts held.
const MAX_NAMED: usize = 1024;

/// Hosts to ask that are not known to live.
#[derive(Clone, Debug, Default)]
pub(super) struct Hints {
    named: BTreeMap<HostId, (HostView, u32)>,
    /// Addresses from the settings, under their own text as name. These stay for good: after a long
    /// cut they may be all that is left.
    seeds: Vec<HostView>,
}

impl Hints {
    pub fn name(&mut self, hosts: impl IntoIterator<Item = HostView>) {
        for host in hosts {
            if self.named.len() < MAX_NAMED {
                self.named.entry(host.id.clone()).or_insert((host, 0));
            }
        }
    }

    pub fn seed(&mut self, own: &HostView, addresses: impl Iterator<Item = SocketAddr>) {
        self.seeds.extend(addresses.map(|rpc| HostView {
            address: rpc,
            id: rpc.to_string().into(),
            incarnation: 0,
            rpc,
            ..own.clone()
        }));
    }

    pub fn seeds(&self) -> impl Iterator<Item = &HostView> {
        self.seeds.iter()
    }

    /// A named host to ask now, of the own zone first.
    pub fn next(&mut self, zone: &ZoneId, rng: &mut impl Rng) -> Option<HostView> {
        let near = |(host, _): &&mut (HostView, u32)| host.zone == *zone;
        let (host, tries) = match self.named.values_mut().filter(near).choose(rng) {
            Some(hint) => hint,
            None => self.named.values_mut().choose(rng)?,
        };
        *tries += 1;
        let (host, tries) = (host.clone(), *tries);
        if MAX_TRIES <= tries {
            self.named.remove(&host.id);
        }
        Some(host)
    }

    /// Drops a host that was heard.
    pub fn forget(&mut self, host: &HostView) {
        self.named.remove(&host.id);
    }
}
