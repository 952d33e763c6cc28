//! Asks every host, by way of any one of them.

use std::collections::BTreeSet;

use futures::{StreamExt, stream};

use super::status::HostStatus;
use crate::{
    peer::{PeerClient, Result},
    prelude::*,
    view::HostView,
};

/// Calls under way at a time.
const AT_A_TIME: usize = 16;

/// Most hosts asked. In a larger fleet each zone is asked by as many hosts as any other, so that
/// what is in force is still seen zone by zone.
const MAX_ASKED: usize = 96;

/// What the hosts of a member answered.
#[derive(Clone, Debug, Serialize)]
pub struct FleetStatus {
    /// Sorted by zone, then host.
    pub hosts: Vec<HostAnswer>,
    /// Known hosts that were not asked, since there are many.
    pub not_asked: usize,
    /// The host through which the others were found.
    pub through: SocketAddr,
}

/// One host's answer.
#[derive(Clone, Debug, Serialize)]
pub struct HostAnswer {
    /// Why it did not answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    pub host: HostView,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub status: Option<HostStatus>,
}

impl FleetStatus {
    /// Whether every host that was asked answered.
    pub fn is_whole(&self) -> bool {
        self.hosts.iter().all(|answer| answer.error.is_none())
    }

    /// Answers by zone.
    pub fn zones(&self) -> BTreeMap<&ZoneId, Vec<&HostAnswer>> {
        let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for answer in &self.hosts {
            zones.entry(&answer.host.zone).or_default().push(answer);
        }
        zones
    }
}

/// Asks the host at `through` and then all hosts that it knows, these for themselves only. Fails only if the first does not
/// answer; the others are named with their errors.
pub async fn gather(client: &PeerClient, through: SocketAddr) -> Result<FleetStatus> {
    let first = client.status(through).await?;
    let known: Vec<HostView> =
        first.hosts.iter().filter(|host| host.id != first.own.id).cloned().collect();
    let asked = choose(&known);
    let not_asked = known.len() - asked.len();
    let others = stream::iter(asked.into_iter().map(|host| ask(client, host)));
    let mut hosts: Vec<HostAnswer> = others.buffer_unordered(AT_A_TIME).collect().await;
    let own = first.own.clone();
    hosts.push(HostAnswer { error: None, host: own, status: Some(first) });
    hosts.sort_by(|a, b| (&a.host.zone, &a.host.id).cmp(&(&b.host.zone, &b.host.id)));
    Ok(FleetStatus { hosts, not_asked, through })
}

async fn ask(client: &PeerClient, host: HostView) -> HostAnswer {
    match client.own_status(host.rpc).await {
        Ok(status) => HostAnswer { error: None, host, status: Some(status) },
        Err(error) => HostAnswer { error: Some(error.to_string()), host, status: None },
    }
}

fn choose(hosts: &[HostView]) -> Vec<HostView> {
    let zones: BTreeSet<&ZoneId> = hosts.iter().map(|host| &host.zone).collect();
    let each = if hosts.len() <= MAX_ASKED { hosts.len() } else { MAX_ASKED / zones.len().max(1) };
    let mut asked: BTreeMap<&ZoneId, usize> = BTreeMap::new();
    let mut chosen = Vec::new();
    for host in hosts {
        let count = asked.entry(&host.zone).or_default();
        *count += 1;
        if *count <= each.max(1) {
            chosen.push(host.clone());
        }
    }
    chosen
}
