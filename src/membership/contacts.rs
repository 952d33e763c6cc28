//! Hosts to contact that are not known to be live.

use rand::{Rng, seq::IteratorRandom};

use crate::{prelude::*, view::HostView};

/// Number of attempts after which an unconfirmed host is dropped: the list it came from may be out
/// of date.
const MAX_ATTEMPTS: u32 = 20;

/// Maximum number of unconfirmed hosts held.
const MAX_UNCONFIRMED: usize = 1024;

/// Hosts to contact that are not known to be live.
#[derive(Clone, Debug, Default)]
pub(super) struct Contacts {
    /// Hosts that were listed but not heard yet, with the number of attempts made.
    unconfirmed: BTreeMap<HostId, (HostView, u32)>,
    /// Addresses from the settings, with the address as the host name. They are never dropped:
    /// after a long network partition no other contact may be left.
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

    /// Picks an unconfirmed host to contact now, preferably one of `zone`, and counts the attempt.
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

    /// Drops a host that has been heard.
    pub fn remove(&mut self, host: &HostView) {
        self.unconfirmed.remove(&host.id);
    }
}
