//! How long each way of accepting a manifest leaves a cut-off zone behind.
//!
//! One zone is cut off from the platform and from its peers for a minute, before or during the
//! acceptance. `update` is the conditional update alone; `staged` first puts the manifest into
//! every zone that can be reached, and accepts when all of those hold it. A staged manifest is not
//! put in force before the zone hears of its acceptance: it could still lose to another one.
//!
//! Run with `cargo test --release --locked --test acceptance_lag -- --nocapture` for the table:
//! the slowest of five runs, by a paused clock, with 5 ms for each call to the platform.

#![allow(clippy::print_stdout, clippy::unwrap_used, reason = "a test that prints its figures")]

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use ed25519_dalek::SigningKey;
use lavenderplank::{
    base::Clock,
    manifest::{
        AcceptOutcome, Head, LoadShares, ManifestStore, OfferOutcome, Part, Proposal,
        SignedManifest, accept, fetch_parts, parse_blocks, sign_with_blocks,
    },
    standin::platform::{Door, Faults, Outage, PlatformStandin},
    store::{Expect, FollowEvent, FollowOptions, Follower, Platform, new_operation_id},
};
use tokio::{sync::mpsc, task::JoinHandle, time::Instant};

const MANIFEST: &str = include_str!("../examples/himalaya-tara/manifest.yaml");
const MEMBER: &str = "himalaya-tara";
const STAGED: &str = "manifests/himalaya-tara.staged";
const ZONES: usize = 6;
const CALL_MS: u64 = 5;
/// A change is in force everywhere within this, where nothing is cut off any more.
const LIMIT: Duration = Duration::from_secs(19);

/// Runs of each row; the unoptimised build is an order of magnitude slower.
const RUNS: usize = if cfg!(debug_assertions) { 1 } else { 5 };
const CUT: Duration = Duration::from_secs(60);

/// When the last zone is cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum When {
    Before,
    Never,
    /// After the staging, before the conditional update.
    Within,
}

struct TokioClock(Instant);

impl Clock for TokioClock {
    fn now(&self) -> Duration {
        self.0.elapsed()
    }
}

/// A zone's relay: follows the member's objects and keeps what is accepted.
struct Zone {
    door: Arc<Door>,
    in_force: Arc<Mutex<BTreeMap<u64, Instant>>>,
    staged: Arc<Mutex<bool>>,
    task: JoinHandle<()>,
}

impl Drop for Zone {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Zone {
    fn open(standin: &PlatformStandin, key: &SigningKey) -> Self {
        let door = Arc::new(standin.open_door());
        door.set_faults(slow());
        let (in_force, staged) = (Arc::default(), Arc::default());
        let store = ManifestStore::new(MEMBER.into(), key.verifying_key());
        let relay = relay(door.clone(), store, Arc::clone(&in_force), Arc::clone(&staged));
        Self { door, in_force, staged, task: tokio::spawn(relay) }
    }

    fn reached(&self, sequence: u64) -> Option<Instant> {
        self.in_force.lock().unwrap().get(&sequence).copied()
    }
}

fn slow() -> Faults {
    Faults { delay_ms: CALL_MS, ..Faults::default() }
}

async fn relay(
    door: Arc<Door>,
    mut store: ManifestStore,
    in_force: Arc<Mutex<BTreeMap<u64, Instant>>>,
    staged: Arc<Mutex<bool>>,
) {
    let (tx, mut rx) = mpsc::channel(8);
    let clock = Arc::new(TokioClock(Instant::now()));
    let _follower =
        Follower::spawn(door.clone(), clock, "manifests/", FollowOptions::STANDALONE, tx);
    let mut kept: BTreeMap<Arc<str>, Part> = BTreeMap::new();
    while let Some(told) = rx.recv().await {
        let objects: Vec<_> = match told {
            FollowEvent::Changed(changes) => {
                changes.changes.into_iter().filter_map(|it| Some((it.key, it.object?))).collect()
            }
            FollowEvent::Listed(listing) => {
                listing.entries.into_iter().map(|it| (it.key, it.object)).collect()
            }
            FollowEvent::Failed(_) => continue,
        };
        for (key, object) in objects {
            let head = Head::decode(&object.value).unwrap();
            let lacking: Vec<_> =
                head.signed.parts.iter().filter(|id| !kept.contains_key(*id)).cloned().collect();
            let Ok(parts) = fetch_parts(&*door, &MEMBER.into(), &lacking).await else { continue };
            kept.extend(parts.into_iter().map(|part| (part.id(), part)));
            if &*key == STAGED {
                *staged.lock().unwrap() = true;
            } else {
                take(&mut store, head.signed, &kept, &in_force);
            }
        }
    }
}

fn take(
    store: &mut ManifestStore,
    signed: SignedManifest,
    kept: &BTreeMap<Arc<str>, Part>,
    in_force: &Mutex<BTreeMap<u64, Instant>>,
) {
    if let OfferOutcome::Missing(ids) = store.offer(signed.clone()) {
        ids.iter().filter_map(|id| kept.get(id)).for_each(|part| {
            store.add_part(part.clone());
        });
        store.offer(signed);
    }
    if let Some(sequence) = store.sequence() {
        in_force.lock().unwrap().entry(sequence).or_insert_with(Instant::now);
    }
}

fn proposal(sequence: u64, blocks: usize, key: &SigningKey) -> Proposal {
    let line = |index: usize| format!("10.{}.{}.0/24 bagmati\n", index / 256, index % 256);
    let blocks = parse_blocks(&(0..blocks).map(line).collect::<String>()).unwrap();
    let text = MANIFEST.replace("sequence: 1", &format!("sequence: {sequence}"));
    let (signed, parts) = sign_with_blocks(&text, &blocks, key).unwrap();
    Proposal { member: MEMBER.into(), parts, signed }
}

/// Puts the manifest where zones can fetch it, without accepting it.
async fn stage(platform: &dyn Platform, proposal: &Proposal) {
    for part in &proposal.parts {
        let key = Head::part_key(MEMBER, &part.id());
        let value = part.text.as_bytes().to_vec().into();
        platform.put(&key, Expect::Absent, value, new_operation_id()).await.unwrap();
    }
    let head = Head { history: Vec::new(), signed: proposal.signed.clone() };
    let value = head.encode().unwrap();
    platform.put(STAGED, Expect::Absent, value, new_operation_id()).await.unwrap();
}

#[derive(Default)]
struct Lag {
    /// From the pipeline's start to the acceptance.
    accepted: Duration,
    /// From the end of the cut (of the acceptance, without one) to in force in that zone.
    after_cut: Duration,
    /// From the acceptance to in force in that zone.
    behind: Duration,
    /// The same for the slowest of the other zones.
    others: Duration,
}

impl Lag {
    fn max(self, other: Self) -> Self {
        Self {
            accepted: self.accepted.max(other.accepted),
            after_cut: self.after_cut.max(other.after_cut),
            behind: self.behind.max(other.behind),
            others: self.others.max(other.others),
        }
    }
}

async fn measure(is_staged: bool, when: When, blocks: usize) -> Lag {
    let key = SigningKey::from_bytes(&[1; 32]);
    let standin = PlatformStandin::in_memory();
    standin.set_faults(slow());
    let loads = LoadShares::uniform(0.1);
    let public = key.verifying_key();
    accept(standin.door(), &proposal(2, 0, &key), &public, &loads).await.unwrap();
    let zones: Vec<Zone> = (0..ZONES).map(|_| Zone::open(&standin, &key)).collect();
    while zones.iter().any(|zone| zone.reached(2).is_none()) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (last, rest) = zones.split_last().unwrap();
    let cut = || last.door.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    let proposal = proposal(3, blocks, &key);
    let start = Instant::now();
    let mut cut_at = start;
    if when == When::Before {
        cut();
    }
    if is_staged {
        stage(standin.door(), &proposal).await;
        let reachable = if when == When::Before { rest } else { &zones[..] };
        while reachable.iter().any(|zone| !*zone.staged.lock().unwrap()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    if when == When::Within {
        cut_at = Instant::now();
        cut();
    }
    let accepted = accept(standin.door(), &proposal, &public, &loads).await.unwrap();
    assert!(matches!(accepted, AcceptOutcome::Accepted { .. }));
    let accepted = Instant::now();
    let mut healed = accepted;
    if when != When::Never {
        tokio::time::sleep_until(cut_at + CUT).await;
        assert!(last.reached(3).is_none(), "a zone that hears nothing keeps what it has");
        healed = Instant::now();
        last.door.set_faults(slow());
    }
    let late = tokio::time::sleep(LIMIT);
    tokio::pin!(late);
    while zones.iter().any(|zone| zone.reached(3).is_none()) {
        assert!(!late.is_elapsed(), "not in force in every zone in time");
        tokio::select! {
            () = &mut late => {}
            () = tokio::time::sleep(Duration::from_millis(1)) => {}
        }
    }
    let reached = last.reached(3).unwrap();
    let others = rest.iter().map(|zone| zone.reached(3).unwrap()).max().unwrap();
    Lag {
        accepted: accepted - start,
        after_cut: reached.saturating_duration_since(healed),
        behind: reached.saturating_duration_since(accepted),
        others: others.saturating_duration_since(accepted),
    }
}

#[tokio::test(start_paused = true)]
async fn every_zone_catches_up_after_a_cut_either_way() {
    println!("way     cut     blocks  accepted  others  cut-off zone  after the cut (s)");
    for blocks in [0, 2_000] {
        for when in [When::Never, When::Before, When::Within] {
            for is_staged in [false, true] {
                let mut lag = Lag::default();
                for _ in 0..RUNS {
                    lag = lag.max(measure(is_staged, when, blocks).await);
                }
                println!(
                    "{:<7} {:<7} {blocks:>6} {:>9.3} {:>7.3} {:>13.3} {:>13.3}",
                    if is_staged { "staged" } else { "update" },
                    format!("{when:?}").to_lowercase(),
                    lag.accepted.as_secs_f64(),
                    lag.others.as_secs_f64(),
                    lag.behind.as_secs_f64(),
                    lag.after_cut.as_secs_f64(),
                );
            }
        }
    }
}
