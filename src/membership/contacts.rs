//! Hosts that may live: named by someone, but not heard yet.

use rand::{Rng, seq::IteratorRandom};

use crate::{prelude::*, view::HostView};

/// A named host is asked this often and then dropped: the list it came from may be old.
const MAX_ATTEMPTS: u32 = 20;

/// Most named hosts held.
const MAX_UNCONFIRMED: usize = 1024;

/// Hosts to ask that are not known to live.
#[derive(Clone, Debug, Default)]
pub(super) struct Contacts {
    unconfirmed: BTreeMap<HostId, (HostView, u32)>,
    /// Addresses from the settings, under their own text as name. These stay for good: after a long
    /// cut they may be all that is left.
    seeds: Vec<HostView>,
}

impl Contacts {
    pub fn add(&mut self, hosts: impl IntoIterator<Item = HostView>) {
        for host in hosts {
            if self.unconfirmed.len() < MAX_UNCONFIRMED {
                self.unconfirmed.entry(host.id.clone()).or_insert((host, 0));
            }
        }
    }

    pub fn add_seeds(&mut self, own: &HostView, addresses: impl Iterator<Item = SocketAddr>) {
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
    pub fn next_unconfirmed(&mut self, zone: &ZoneId, rng: &mut impl Rng) -> Option<HostView> {
        let near = |(host, _): &&mut (HostView, u32)| host.zone == *zone;
        let (host, attempts) = match self.unconfirmed.values_mut().filter(near).choose(rng) {
            Some(contact) => contact,
            None => self.unconfirmed.values_mut().choose(rng)?,
        };
        *attempts += 1;
        let (host, attempts) = (host.clone(), *attempts);
        if MAX_ATTEMPTS <= attempts {
            self.unconfirmed.remove(&host.id);
        }
        Some(host)
    }

    /// Drops a host that was heard.
    pub fn remove(&mut self, host: &HostView) {
        self.unconfirmed.remove(&host.id);
    }
}
