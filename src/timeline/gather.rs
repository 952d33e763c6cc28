//! Gathers events of many hosts, page by page.

use std::time::SystemTime;

use futures::future::join_all;

use super::{Event, Filter, HybridTime, merge};
use crate::{
    peer::{PeerClient, PeerError},
    prelude::*,
};

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

    /// One round over all hosts at the same time.
    pub async fn gather(&mut self, client: &PeerClient) -> Gathered {
        let filter = &self.filter;
        let rounds = self.hosts.iter_mut().map(|host| host.pages(client, filter));
        let (mut lists, mut silent) = (Vec::new(), Vec::new());
        for (address, events, error) in join_all(rounds).await {
            lists.push(events);
            silent.extend(error.map(|error| (address, error)));
        }
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
