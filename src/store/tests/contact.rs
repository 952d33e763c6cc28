//! What hosts notice of a store that falls silent for a while.

use std::sync::{
    Mutex,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

use super::TokioClock;
use crate::{
    prelude::*,
    store::{
        Change, Changes, Expect, FollowEvent, FollowOptions, Follower, Listing, OperationId,
        Outage, Platform, PlatformError, Result, StoreContact, Version, VersionedObject,
        contact::ContactState,
    },
};

/// Time after an outage from which changes have to be in force in time.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

/// Time in which a change is in force everywhere.
const CHANGE_BOUND: Duration = Duration::from_millis(2_500);

/// Time after an outage in which entries that lapsed are written again.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// What the client adds to the time that a watch waits, and the timeout of other calls.
const WATCH_GRACE: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

const PREFIXES: [&str; 3] = ["config/", "servers/", "evacuations/"];
const MAX_WAIT: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn unavailable() -> PlatformError {
    PlatformError::Unavailable { detail: "down".into(), may_have_applied: false }
}

/// A store whose silence answers neither what is sent in it nor what falls due in it.
struct SilentStore {
    began: Instant,
    calls: AtomicUsize,
    /// When each prefix changes, in order; the version is the number of changes.
    changes: [Vec<Duration>; 3],
    probes: AtomicUsize,
    silences: Vec<(Duration, Duration)>,
    /// Whether the store refuses calls, rather than not to answer them.
    refuses: bool,
}

impl SilentStore {
    fn new(changes: [Vec<Duration>; 3], silences: Vec<(Duration, Duration)>) -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            calls: AtomicUsize::new(0),
            changes,
            probes: AtomicUsize::new(0),
            silences,
            refuses: false,
        })
    }

    fn is_silent(&self) -> bool {
        let now = self.began.elapsed();
        self.silences.iter().any(|(from, until)| (*from..*until).contains(&now))
    }

    /// Waits until the response to a call is due, at `due`; not answered if it is lost.
    async fn respond(&self, due: Instant) -> Result<()> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        for moment in [Instant::now(), due] {
            sleep_until(moment).await;
            match (self.is_silent(), self.refuses) {
                (true, true) => return Err(unavailable()),
                (true, false) => std::future::pending().await,
                (false, _) => {}
            }
        }
        Ok(())
    }

    async fn read(&self) -> Result<()> {
        let response = self.respond(Instant::now() + ms(4));
        timeout(CALL_TIMEOUT, response).await.unwrap_or(Err(unavailable()))
    }

    fn changes_of(&self, prefix: &str) -> &[Duration] {
        let at = PREFIXES.iter().position(|it| *it == prefix).expect("a prefix of the test");
        &self.changes[at]
    }

    fn version(&self, prefix: &str) -> Version {
        let now = self.began.elapsed();
        self.changes_of(prefix).iter().filter(|at| **at <= now).count() as Version
    }
}

#[async_trait::async_trait]
impl Platform for SilentStore {
    async fn delete(&self, _: &str, _: Expect, _: OperationId) -> Result<Version> {
        unreachable!("followers only read")
    }

    async fn get(&self, _: &str) -> Result<Option<VersionedObject>> {
        self.read().await.map(|()| None)
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.read().await?;
        Ok(Listing { entries: Vec::new(), gap: None, version: self.version(prefix) })
    }

    async fn probe(&self) -> Result<()> {
        self.probes.fetch_add(1, Ordering::Relaxed);
        self.read().await
    }

    async fn put(&self, _: &str, _: Expect, _: Bytes, _: OperationId) -> Result<Version> {
        unreachable!("followers only read")
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        let end = self.began.elapsed() + wait;
        let next = self.changes_of(prefix).get(from as usize).copied().unwrap_or(end);
        let due = self.began + next.clamp(self.began.elapsed(), end) + ms(4);
        let response = timeout(wait + WATCH_GRACE, self.respond(due)).await;
        response.unwrap_or(Err(unavailable()))?;
        let version = self.version(prefix);
        let change = |version| Change { key: "a".into(), object: None, version };
        Ok(Changes { changes: (from + 1..=version).map(change).collect(), version })
    }
}

/// When a host heard of each change, by prefix.
type Heard = Arc<Mutex<BTreeMap<(&'static str, Version), Duration>>>;

/// A host that follows all prefixes, and what it hears until `end`.
async fn follow(store: &Arc<SilentStore>, end: Duration) -> (Heard, Option<Outage>) {
    let clock = Arc::new(TokioClock(store.began));
    let contact = StoreContact::new(clock.clone());
    let _probes = contact.spawn_probes(store.clone());
    let heard = Heard::default();
    let mut followers = Vec::new();
    for (prefix, end_phase) in PREFIXES.into_iter().zip([Some(ms(700)), None, Some(ms(3_200))]) {
        let options = FollowOptions {
            list_pause: ms(600),
            compare_interval: Duration::from_secs(86_400),
            change_pause: ms(300),
            max_wait: MAX_WAIT,
            end_phase,
            ..FollowOptions::STANDALONE
        };
        let (tx, mut rx) = mpsc::channel(16);
        let (platform, contact, clock) = (store.clone(), contact.clone(), clock.clone());
        let follower = Follower::spawn_with_contact(platform, clock, contact, prefix, options, tx);
        let (heard, began) = (heard.clone(), store.began);
        tokio::spawn(async move {
            while let Some(event) = rx.recv().await {
                let version = match event {
                    FollowEvent::Changed(changes) => changes.version,
                    FollowEvent::Listed(listing) => listing.version,
                    FollowEvent::Failed(_) => continue,
                };
                let mut heard = heard.lock().expect("no holder panics");
                (1..=version)
                    .for_each(|it| _ = heard.entry((prefix, it)).or_insert(began.elapsed()));
            }
        });
        followers.push(follower);
    }
    sleep_until(store.began + end).await;
    (heard, contact.last_outage())
}

/// Moments, in order.
fn draw_moments(count: usize, until: u64, rng: &mut ChaCha8Rng) -> Vec<Duration> {
    let mut moments: Vec<Duration> =
        (0..count).map(|_| ms(rng.random_range(1_000..until))).collect();
    moments.sort();
    moments
}

/// Guards against changes and removals that take effect too late after an outage of the store: watches
/// whose responses were lost in it were noticed when they were due, or once more after that, and the
/// grace of lapsed entries began only then.
#[tokio::test(start_paused = true)]
async fn changes_after_a_silence_are_heard_in_time() {
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let from = rng.random_range(20_000..26_000);
        let until = from + rng.random_range(200..9_000);
        let mut changes = [(); 3].map(|()| draw_moments(rng.random_range(0..4), until, &mut rng));
        let returned = ms(until);
        for moments in &mut changes {
            moments.push(returned + STABILITY_WINDOW + ms(rng.random_range(0..2_000)));
        }
        let store = SilentStore::new(changes.clone(), vec![(ms(from), returned)]);
        let end = returned + STABILITY_WINDOW + 4 * CHANGE_BOUND;
        let (heard, outage) = follow(&store, end).await;
        for (prefix, moments) in PREFIXES.into_iter().zip(&changes) {
            let (version, written) = (moments.len() as Version, moments[moments.len() - 1]);
            let heard = heard.lock().expect("no holder panics").get(&(prefix, version)).copied();
            let took = heard.map(|heard| heard - written);
            assert!(took.is_some_and(|it| it < CHANGE_BOUND), "seed {seed}, {prefix}: {took:?}");
        }
        // Until then, targets whose entries are removed are used on.
        let in_force = returned + STABILITY_WINDOW + CHANGE_BOUND;
        let grace_ends = outage.map(|outage| outage.ended + LAPSE_GRACE);
        assert!(grace_ends.is_none_or(|it| it < in_force), "seed {seed}: {outage:?}");
        if ms(4_500) <= returned - ms(from) {
            let outage = outage.expect("the outage is noticed");
            assert!(outage.ended < returned + LAPSE_GRACE, "seed {seed}: {outage:?}");
        }
    }
}

/// Guards against an outage that is noticed only by the first watch that ends after it: a store that
/// refuses calls shows its return to none of the watches that wait.
#[tokio::test(start_paused = true)]
async fn the_return_of_a_store_that_refuses_calls_is_noticed_soon() {
    for seed in 0..100 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (from, length) = (rng.random_range(20_000..26_000), rng.random_range(2_000..9_000));
        let until = ms(from + length);
        let changes = [(); 3].map(|()| draw_moments(2, from, &mut rng));
        let mut store = SilentStore::new(changes, vec![(ms(from), until)]);
        Arc::get_mut(&mut store).expect("nobody else has it").refuses = true;
        let (_, outage) = follow(&store, until + 4 * CHANGE_BOUND).await;
        if let Some(outage) = outage {
            assert!(outage.ended < until + LAPSE_GRACE, "seed {seed}: {outage:?} {until:?}");
        }
    }
}

/// Guards against calls that a store which answers need not have got: it is never asked whether it
/// does, and watches cost one call in each of their intervals and for each change.
#[tokio::test(start_paused = true)]
async fn a_store_that_answers_is_not_asked() {
    for seed in 0..50 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = Duration::from_secs(120);
        let changes = [3, 60, 3].map(|count| draw_moments(count, 120_000, &mut rng));
        let store = SilentStore::new(changes, Vec::new());
        let (heard, outage) = follow(&store, end).await;
        assert_eq!((store.probes.load(Ordering::Relaxed), outage), (0, None), "seed {seed}");
        assert_eq!(heard.lock().expect("no holder panics").len(), 66, "seed {seed}");
        let calls = store.calls.load(Ordering::Relaxed);
        let intervals = (end.as_secs() / MAX_WAIT.as_secs()) as usize;
        assert!(calls <= 3 * (intervals + 1) + 66 + 6, "seed {seed}: {calls} calls");
    }
}

#[test]
fn a_failed_call_is_no_outage() {
    let mut state = ContactState::new(ms(0));
    assert!(!state.record_answer(ms(2_000)));
    // A watch of another prefix was answered while the response to this one was due.
    state.record_failure(ms(1_000));
    assert_eq!(state.probe_at(), ms(2_000));
    assert!(!state.record_answer(ms(2_100)));
    state.record_failure(ms(3_000));
    state.record_probe(ms(3_000));
    assert_eq!(state.probe_at(), ms(4_000));
    assert!(state.record_answer(ms(5_000)));
    // Nothing is heard for long, though no call has failed.
    assert_eq!(state.probe_at(), ms(5_000) + ms(3_250));
    assert!(state.record_answer(ms(9_000)));
}
