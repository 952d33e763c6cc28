//! Several failures at once on running hosts: what callers of each zone are told, and which
//! manifest is in force where.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;
use futures::future::BoxFuture;
use lavenderplank::{
    base::{BootClock, Sequence},
    daemon::{Daemon, LookupBody},
    manifest::{AcceptError, AcceptOutcome, Head, SignedManifest},
    standin::{
        fleet::{BOOKING, Fleet, FleetPlan, READ},
        platform::{Door, Faults, Outage},
    },
    store::{
        Changes, Expect, HttpPlatform, Listing, OperationId, Platform, RateLimits,
        Result as Answer, Version, VersionedObject,
    },
    timeline::{EventKind, Filter},
};
use tokio::sync::Barrier;

#[path = "support/hosts.rs"]
mod hosts;

use hosts::{header, until};

/// Two hosts in each zone.
async fn start_hosts(fleet: &Fleet) -> Vec<Daemon> {
    let mut hosts: Vec<Daemon> = Vec::new();
    for place in &fleet.places {
        for number in 1..=2 {
            let peers = hosts.iter().map(Daemon::rpc_addr).take(3).collect();
            let name = format!("{}-{number}", place.zone);
            hosts.push(fleet.start(&name, place, peers).await.unwrap());
        }
    }
    hosts
}

async fn all_know(fleet: &Fleet, hosts: &[&Daemon]) {
    for host in hosts {
        until(|| async {
            let status = fleet.operator().status(host.rpc_addr()).await;
            status.is_ok_and(|status| status.hosts.len() == hosts.len())
        })
        .await;
    }
}

async fn all_have(hosts: &[&Daemon], sequence: Sequence) {
    for host in hosts {
        until(|| async { host.sequence() == Some(sequence) }).await;
    }
}

/// Sends a read and a booking from the host's own region to it, the booking under the binding that its look-up gives, and
/// again under a new key after `not run`, as callers do. Holds what is told against what ran.
async fn is_served_at(fleet: &Fleet, host: &Daemon, what: &str) {
    let http = reqwest::Client::builder().no_proxy().local_address(fleet.caller_in(host));
    let http = http.build().unwrap();
    let base = format!("http://{}/v1", host.http_addr());
    let attempt = std::sync::atomic::AtomicU32::new(0);
    until(|| async {
        let read = http.get(format!("{base}/services/{READ}/")).send().await;
        read.is_ok_and(|res| header(&res, "lavender-ran") == "yes")
    })
    .await;
    until(|| async {
        let look_up = http.get(format!("{base}/lookup?service={BOOKING}")).send().await.unwrap();
        let Ok(look_up) = look_up.json::<LookupBody>().await else { return false };
        let number = attempt.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let key = format!("{what}-{}-{number}", host.view().id);
        let booking = http.post(format!("{base}/services/{BOOKING}/"));
        let booking = booking.header("idempotency-key", &key).body("a pair of boots");
        let booking = booking.header("lavender-binding", look_up.binding.to_string());
        let res = booking.send().await.unwrap();
        let runs = fleet.log.runs(&key);
        match header(&res, "lavender-ran") {
            "no" => assert_eq!(runs, 0, "{key} was told not run"),
            "yes" => assert_eq!(runs, 1, "{key} was told run"),
            _ => assert!(runs <= 1, "{key} ran twice"),
        }
        header(&res, "lavender-ran") == "yes"
    })
    .await;
}

/// What a host had in force, in order.
fn taken_by(host: &Daemon) -> Vec<Sequence> {
    let events = host.recorder().events(&Filter::default());
    let taken = events.iter().filter_map(|event| match event.kind {
        EventKind::ManifestInForce { sequence } => Some(sequence),
        _ => None,
    });
    taken.collect()
}

/// What happens around one write.
type Step = BoxFuture<'static, ()>;

/// A pipeline's way to the platform, with something that happens right before its first write, or
/// between that write and the reading of its outcome.
struct Interposed {
    after: Mutex<Option<Step>>,
    before: Mutex<Option<Step>>,
    /// Loses the answer to the first write.
    _door: Door,
    platform: HttpPlatform,
}

impl Interposed {
    async fn open(fleet: &Fleet, before: Option<Step>, after: Option<Step>) -> Self {
        let door = fleet.platform.bind_door(([127, 0, 0, 1], 0).into()).await.unwrap();
        door.set_faults(Faults { lose_answers: 1, ..Faults::default() });
        let clock = Arc::new(BootClock);
        let platform = HttpPlatform::with_limits(door.address(), RateLimits::OPERATOR, clock);
        Self { after: Mutex::new(after), before: Mutex::new(before), _door: door, platform }
    }
}

async fn take(step: &Mutex<Option<Step>>) {
    let step = step.lock().unwrap().take();
    if let Some(step) = step {
        step.await;
    }
}

#[async_trait]
impl Platform for Interposed {
    async fn delete(&self, key: &str, expect: Expect, op: OperationId) -> Answer<Version> {
        self.platform.delete(key, expect, op).await
    }

    async fn get(&self, key: &str) -> Answer<Option<VersionedObject>> {
        self.platform.get(key).await
    }

    async fn list(&self, prefix: &str) -> Answer<Listing> {
        self.platform.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        op: OperationId,
    ) -> Answer<Version> {
        take(&self.before).await;
        let written = self.platform.put(key, expect, value, op).await;
        take(&self.after).await;
        written
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Answer<Changes> {
        self.platform.watch(prefix, from, wait).await
    }
}

/// Waits until every host has exactly this manifest in force.
async fn all_hold(fleet: &Fleet, hosts: &[Daemon], signed: &SignedManifest) {
    for host in hosts {
        until(|| async {
            let held = fleet.peer().manifest(host.rpc_addr()).await.unwrap().signed;
            held.as_ref() == Some(signed)
        })
        .await;
    }
}

// A zone is cut off from everything. The pipeline's next manifest is accepted without it, and then
// the platform goes down and a host of another zone is replaced. Callers of every zone go on being
// served. The new host has only its peers to learn the accepted manifest from; a new host in the
// cut-off zone gets the one that its zone holds. Nothing that a host had in force is taken back,
// then or when all comes back, and `status` names the zone that is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down_a_host_replaced_and_a_zone_cut_off() {
    let fleet = Fleet::open(FleetPlan { regions: 2, zones_per_region: 2 }).await.unwrap();
    fleet.apply(1).await.unwrap();
    let mut hosts = start_hosts(&fleet).await;
    all_know(&fleet, &hosts.iter().collect::<Vec<_>>()).await;
    let cut = fleet.places[3].clone();
    fleet.links.cut(&cut.zone);
    fleet.apply(2).await.unwrap();
    let (near, far): (Vec<&Daemon>, Vec<&Daemon>) =
        hosts.iter().partition(|host| host.view().zone != cut.zone);
    all_have(&near, 2).await;
    assert!(far.iter().all(|host| host.sequence() == Some(1)), "the cut let something through");

    fleet.platform.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    drop(hosts.remove(0));
    let (place, seeds) = (fleet.places[0].clone(), vec![hosts[0].rpc_addr()]);
    hosts.insert(0, fleet.start("replacement", &place, seeds).await.unwrap());
    let far_seeds = vec![hosts[6].rpc_addr()];
    hosts.push(fleet.start("replacement-far", &cut, far_seeds).await.unwrap());
    all_have(&[&hosts[0]], 2).await;
    all_have(&[&hosts[8]], 1).await;
    for host in &hosts {
        is_served_at(&fleet, host, "cut").await;
    }
    until(|| async {
        let status = fleet.operator().status(hosts[0].rpc_addr()).await.unwrap();
        let silent: Vec<_> = status.silent_zones.iter().map(|silent| &silent.zone).collect();
        silent == [&cut.zone] && status.breaker_open
    })
    .await;

    fleet.links.heal(&cut.zone);
    let all: Vec<&Daemon> = hosts.iter().collect();
    all_have(&all, 2).await;
    fleet.platform.set_faults(Faults::default());
    fleet.apply(3).await.unwrap();
    all_have(&all, 3).await;
    for host in &hosts {
        is_served_at(&fleet, host, "healed").await;
        let taken = taken_by(host);
        assert!(taken.is_sorted(), "{} went back: {taken:?}", host.view().id);
    }
}

// Two pipelines of one member read the same head and write the same number with other content at
// the same moment. The platform loses its answer to both. One of them is told that it was accepted,
// the other one that somebody was faster; told the same, both would believe their targets to be in
// use. The hosts hold the winner's, none of them the loser's.
#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_to_two_racing_pipelines() {
    let fleet = Fleet::open(FleetPlan { regions: 1, zones_per_region: 2 }).await.unwrap();
    fleet.apply(1).await.unwrap();
    let hosts = start_hosts(&fleet).await;
    for sequence in 2..8 {
        let barrier = Arc::new(Barrier::new(2));
        let wait = || -> Step {
            let barrier = barrier.clone();
            Box::pin(async move {
                barrier.wait().await;
            })
        };
        let first = Interposed::open(&fleet, Some(wait()), None).await;
        let second = Interposed::open(&fleet, Some(wait()), None).await;
        let mut manifest = fleet.manifest(sequence);
        let one = fleet.signed(&manifest).unwrap();
        manifest.services[0].max_body += 1;
        let other = fleet.signed(&manifest).unwrap();
        let (told_one, told_other) =
            tokio::join!(fleet.accept(&first, one.clone()), fleet.accept(&second, other.clone()));
        let (won, winner, lost) = match told_one {
            Ok(told) => (told, one, told_other),
            Err(lost) => (told_other.unwrap(), other, Err(lost)),
        };
        assert_matches!(won, AcceptOutcome::Accepted { .. });
        assert_eq!(lost, Err(AcceptError::Conflict { accepted: sequence }));
        all_hold(&fleet, &hosts, &winner).await;
    }
    for host in &hosts {
        assert!(taken_by(host).is_sorted_by(|a, b| a < b), "{} changed twice", host.view().id);
    }
}

// A pipeline's write takes effect and its answer is lost; before it reads back, another pipeline is
// accepted on top. The first one is told `superseded`: its targets may have been in force. Sent the
// same manifest again, it is refused as older; the hosts hold the later one, and never go back.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_with_another_acceptance_on_top() {
    let plan = FleetPlan { regions: 1, zones_per_region: 2 };
    let fleet = Arc::new(Fleet::open(plan).await.unwrap());
    fleet.apply(1).await.unwrap();
    let hosts = start_hosts(&fleet).await;
    let on_top = fleet.clone();
    let after: Step = Box::pin(async move { drop(on_top.apply(3).await.unwrap()) });
    let raced = Interposed::open(&fleet, None, Some(after)).await;
    let lost = fleet.signed(&fleet.manifest(2)).unwrap();
    assert_eq!(fleet.accept(&raced, lost.clone()).await, Ok(AcceptOutcome::Superseded { by: 3 }));
    let again = fleet.accept(&raced, lost).await;
    assert_eq!(again, Err(AcceptError::Older { accepted: 3 }));
    let latest = fleet.signed(&fleet.manifest(3)).unwrap();
    all_hold(&fleet, &hosts, &latest).await;
    for host in &hosts {
        assert!(taken_by(host).is_sorted(), "{} went back", host.view().id);
    }
}

// A rival with write access to the platform puts an older head of the member's own back, signature
// and all. Running hosts refuse it as older. A host that starts now reads the platform before its
// first exchange; it would serve by withdrawn targets and caps until a peer told it better. It waits
// for its peers' word, and never has the older one in force.
#[tokio::test(flavor = "multi_thread")]
async fn an_older_head_that_was_put_back_is_not_taken_by_a_new_host() {
    let fleet = Fleet::open(FleetPlan { regions: 1, zones_per_region: 1 }).await.unwrap();
    fleet.apply(1).await.unwrap();
    let key = Head::key(&fleet.manifest(1).member);
    let older = fleet.platform.door().get(&key).await.unwrap().unwrap();
    fleet.apply(2).await.unwrap();
    let mut hosts = start_hosts(&fleet).await;
    all_have(&hosts.iter().collect::<Vec<_>>(), 2).await;
    let held = fleet.platform.door().get(&key).await.unwrap();
    let expect = Expect::unchanged(held.as_ref());
    fleet.platform.door().put(&key, expect, older.value, "a rival's".into()).await.unwrap();
    let seeds = vec![hosts[0].rpc_addr()];
    hosts.push(fleet.start("new", &fleet.places[0], seeds).await.unwrap());
    all_have(&hosts.iter().collect::<Vec<_>>(), 2).await;
    for host in &hosts {
        assert_eq!(taken_by(host), [2], "{}", host.view().id);
    }
}
