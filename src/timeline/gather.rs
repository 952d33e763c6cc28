//! Gathers events of many hosts, page by page.

use std::time::SystemTime;

use futures::{StreamExt, stream};

use super::{Event, Filter, HybridTime, merge};
use crate::{
    peer::{PeerClient, PeerError},
    prelude::*,
};

/// Hosts asked at the same time.
const AT_A_TIME: usize = 64;

/// Pages asked of one host in one round; a busy host can't hold the round up for ever.
const MAX_PAGES: usize = 64;

/// Asks hosts for what is new since it last asked them.
pub struct Gatherer {
    filter: Filter,
    hosts: Vec<Host>,
}

struct Host {
    address: SocketAddr,
    /// Where the next page starts.
    from: Option<HybridTime>,
}

/// What one round gave.
#[derive(Debug)]
pub struct Gathered {
    /// In causal order.
    pub events: Vec<Event>,
    pub silent: Vec<(SocketAddr, PeerError)>,
}

impl Gatherer {
    /// Time between two rounds while following.
    pub const PAUSE: Duration = Duration::from_secs(1);

    /// Asks these hosts for what meets `filter`.
    pub fn new(hosts: &[SocketAddr], filter: Filter) -> Self {
        let host = |&address| Host { address, from: filter.from };
        let hosts = hosts.iter().map(host).collect();
        Self { filter, hosts }
    }

    /// Adds the hosts that the given ones know; those that don't answer add none.
    pub async fn discover(&mut self, client: &PeerClient) {
        let asked: Vec<SocketAddr> = self.hosts.iter().map(|host| host.address).collect();
        for address in asked {
            let Ok(status) = client.status(address).await else { continue };
            for found in status.hosts {
                if self.hosts.iter().all(|host| host.address != found.rpc) {
                    self.hosts.push(Host { address: found.rpc, from: self.filter.from });
                }
            }
        }
    }

    /// Number of hosts that are asked.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// One round over all hosts.
    pub async fn gather(&mut self, client: &PeerClient) -> Gathered {
        let filter = &self.filter;
        let rounds = self.hosts.iter_mut().map(|host| host.pages(client, filter));
        let (mut lists, mut silent) = (Vec::new(), Vec::new());
        let mut rounds = stream::iter(rounds).buffer_unordered(AT_A_TIME);
        while let Some((address, events, error)) = rounds.next().await {
            lists.push(events);
            silent.extend(error.map(|error| (address, error)));
        }
        silent.sort_by_key(|(address, _)| *address);
        Gathered { events: merge(lists), silent }
    }
}

impl Host {
    /// The pages up to now, and what broke them off.
    async fn pages(
        &mut self,
        client: &PeerClient,
        filter: &Filter,
    ) -> (SocketAddr, Vec<Event>, Option<PeerError>) {
        let mut events = Vec::new();
        for _ in 0..MAX_PAGES {
            let asked = Filter { from: self.from, ..filter.clone() };
            let page = match client.events(self.address, &asked).await {
                Ok(page) => page,
                Err(error) => return (self.address, events, Some(error)),
            };
            let Some(last) = page.last() else { break };
            self.from = Some(last.at.next());
            // A host of another release may not know all conditions.
            events.extend(page.into_iter().filter(|event| asked.accepts(event)));
        }
        (self.address, events, None)
    }
}

/// The time so many seconds before now.
pub fn ago(secs: u64) -> HybridTime {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let millis = since.as_millis() as u64;
    HybridTime { millis: millis.saturating_sub(secs.saturating_mul(1_000)), count: 0 }
}
