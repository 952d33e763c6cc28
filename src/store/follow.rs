//! Follows the objects under a prefix with a listing and watches.
//!
//! A watch can fail without an error: it can stay silent while objects change, or the store can
//! compact its history or lose versions. To detect silent watches, a follower periodically compares
//! the versions of all objects; it recovers from all three by listing again.

use std::sync::atomic::{AtomicU64, Ordering};

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::{sync::mpsc, task::JoinHandle};

use super::{
    Changes, Entry, KeyVersion, Listing, Platform, PlatformError, Result, StoreContact, StorePoint,
    Version,
};
use crate::prelude::*;

/// How a follower paces its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowOptions {
    /// Pause between a listing and the first watch after it. That watch returns the changes made in
    /// the meantime.
    pub list_pause: Duration,
    /// Time between two comparisons of the versions of all objects.
    pub compare_interval: Duration,
    /// Whether the first listing may be a few seconds old; the watch after it returns what has
    /// changed since. Later listings follow a failure or missed changes and must be current.
    pub first_allows_stale: bool,
    /// Pause after a change. Changes often come in groups, and each watch costs a call.
    pub change_pause: Duration,
    /// Longest time for which one watch waits for a change.
    pub max_wait: Duration,
    /// Moment, in each interval of `max_wait`, at which a watch without changes ends. `None`: it ends
    /// `max_wait` after it began. Watches of several prefixes that end in turn show soon that the store
    /// does not answer.
    pub end_phase: Option<Duration>,
}

impl FollowOptions {
    /// Options of a follower that has no other source to detect missed writes. A missed write is
    /// detected within 12 s: `compare_interval` and the longest time for which a watch stays silent
    /// (`max_wait` and the client's grace period).
    pub const STANDALONE: Self = Self {
        list_pause: Duration::ZERO,
        compare_interval: Duration::from_secs(6),
        first_allows_stale: false,
        change_pause: Duration::ZERO,
        max_wait: Duration::from_secs(4),
        end_phase: None,
    };

    /// How long a watch that begins now waits for a change.
    pub(super) fn wait(&self, now: Moment) -> Duration {
        let Some(phase) = self.end_phase else { return self.max_wait };
        let interval = self.max_wait.as_nanos().max(1);
        let since_end = (now.as_nanos() + interval - phase.as_nanos() % interval) % interval;
        Duration::from_nanos((interval - since_end) as u64)
    }
}

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Event sent by a follower.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowEvent {
    /// Writes since the previous event; empty if a watch ended without any.
    Changed(Changes),
    /// All objects under the prefix; replaces everything sent before, unless the listing has a gap.
    Listed(Listing),
    /// A call failed; the state sent before remains valid but may be out of date.
    Failed(PlatformError),
}

impl FollowEvent {
    /// Why the listing will be read again.
    fn failed_page(&self) -> Option<&PlatformError> {
        match self {
            Self::Listed(listing) => listing.gap.as_ref().filter(|gap| gap.is_transient()),
            _ => None,
        }
    }
}

/// What a follower follows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Scope {
    /// Keys of all objects that the caller uses, if these are known. Those that a listing could not
    /// read are read one by one.
    pub keys: Vec<Arc<str>>,
    pub prefix: Arc<str>,
}

impl From<&str> for Scope {
    fn from(prefix: &str) -> Self {
        Self { keys: Vec::new(), prefix: prefix.into() }
    }
}

/// A running follower; stops when dropped.
pub struct Follower {
    /// In milliseconds.
    change_pause: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Follows the objects of `scope` until dropped or until `tx` is closed.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        clock: Arc<dyn Clock>,
        scope: impl Into<Scope>,
        options: FollowOptions,
        tx: mpsc::Sender<FollowEvent>,
    ) -> Self {
        let contact = StoreContact::new(clock.clone());
        Self::spawn_with_contact(platform, clock, contact, scope, options, tx)
    }

    /// Does the same, and shares with other followers whether the store answers.
    pub fn spawn_with_contact(
        platform: Arc<dyn Platform>,
        clock: Arc<dyn Clock>,
        contact: Arc<StoreContact>,
        scope: impl Into<Scope>,
        options: FollowOptions,
        tx: mpsc::Sender<FollowEvent>,
    ) -> Self {
        let change_pause = Arc::new(AtomicU64::new(options.change_pause.as_millis() as u64));
        let store = Store { clock, contact, platform };
        let task = tokio::spawn(follow(store, scope.into(), options, change_pause.clone(), tx));
        Self { change_pause, task }
    }

    /// Changes the pause after a change, see `FollowOptions::change_pause`.
    pub fn set_change_pause(&self, change_pause: Duration) {
        self.change_pause.store(change_pause.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Next action of a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    Compare,
    List { allow_stale: bool },
    Pause(Duration),
    Watch { from: Version },
}

/// State machine of a follower: knows the version of each object and decides the next action.
#[derive(Debug)]
pub(super) struct FollowState {
    backoff: ExponentialBackoff,
    compared_at: Moment,
    is_first: bool,
    known: BTreeMap<Arc<str>, Version>,
    options: FollowOptions,
    pause: Option<Duration>,
    seed: u64,
    version: Option<Version>,
}

impl FollowState {
    pub(super) fn new(seed: u64, options: FollowOptions) -> Self {
        let backoff = retry_delays(seed);
        let (compared_at, known) = (Duration::ZERO, BTreeMap::new());
        let is_first = true;
        Self { backoff, compared_at, is_first, known, options, pause: None, seed, version: None }
    }

    pub(super) fn next(&mut self, now: Moment) -> Step {
        if let Some(pause) = self.pause.take() {
            return Step::Pause(pause);
        }
        match self.version {
            None => Step::List { allow_stale: self.is_first && self.options.first_allows_stale },
            Some(_) if self.options.compare_interval <= now.saturating_sub(self.compared_at) => {
                Step::Compare
            }
            Some(from) => Step::Watch { from },
        }
    }

    /// Records a listing, and returns whether it can be used. It can't if it may be old and nothing
    /// shows how old; the next one is current. A watch continues from it, unless reading it again may
    /// fill its gap.
    pub(super) fn record_listing(&mut self, listing: &Listing, now: Moment) -> bool {
        let known = |entry: &Entry| (entry.key.clone(), entry.object.version);
        let may_be_old = self.is_first && self.options.first_allows_stale;
        self.is_first = false;
        if may_be_old && StorePoint::of(listing.version).revision == 0 {
            return false;
        }
        self.compared_at = now;
        if let Some(gap) = listing.gap.as_ref().filter(|gap| gap.is_transient()) {
            self.version = None;
            self.record_failure(gap);
            return true;
        }
        self.known = listing.entries.iter().map(known).collect();
        self.version = Some(listing.version);
        self.backoff = retry_delays(self.seed);
        true
    }

    /// Compares the store's versions with the known ones. If they differ, the watch has missed
    /// changes, and the next step is a listing.
    pub(super) fn record_versions(&mut self, found: &[KeyVersion], now: Moment) {
        let known = self.known.iter().map(|(key, version)| (key, *version));
        if !found.iter().map(|found| (&found.key, found.version)).eq(known) {
            self.version = None;
        }
        self.compared_at = now;
        self.backoff = retry_delays(self.seed);
    }

    pub(super) fn record_changes(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match &change.object {
                None => self.known.remove(&change.key),
                Some(_) => self.known.insert(change.key.clone(), change.version),
            };
        }
        self.version = Some(changes.version);
        self.backoff = retry_delays(self.seed);
    }

    pub(super) fn record_failure(&mut self, err: &PlatformError) {
        self.is_first = false;
        if matches!(err, PlatformError::TooOld { .. }) {
            // The store answers, so that the listing need not wait as after failures.
            self.version = None;
            self.backoff = retry_delays(self.seed);
        }
        let min_delay = match err {
            PlatformError::RateLimited { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        let pause = self.backoff.next().unwrap_or(MAX_RETRY_DELAY);
        self.pause = Some(pause.max(min_delay));
    }
}

fn retry_delays(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(MIN_RETRY_DELAY)
        .with_max_delay(MAX_RETRY_DELAY)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}

/// The store as a follower sees it.
struct Store {
    clock: Arc<dyn Clock>,
    contact: Arc<StoreContact>,
    platform: Arc<dyn Platform>,
}

impl Store {
    /// Makes a call, and records whether the store answered.
    async fn call<T>(&self, wait: Duration, call: impl Future<Output = Result<T>>) -> Result<T> {
        let sent = self.clock.now();
        let outcome = call.await;
        self.contact.record(&outcome, sent, wait);
        outcome
    }

    /// Watches a prefix. `None` if an outage ended meanwhile: a response may have been lost in it.
    async fn watch(
        &self,
        prefix: &str,
        from: Version,
        options: &FollowOptions,
    ) -> Option<Result<Changes>> {
        let mut outages = self.contact.outages();
        let wait = options.wait(self.clock.now());
        tokio::select! {
            biased;
            changes = self.call(wait, self.platform.watch(prefix, from, wait)) => Some(changes),
            _ = outages.changed() => None,
        }
    }
}

async fn follow(
    store: Store,
    scope: Scope,
    options: FollowOptions,
    change_pause: Arc<AtomicU64>,
    tx: mpsc::Sender<FollowEvent>,
) {
    let prefix = &*scope.prefix;
    let platform = &*store.platform;
    let mut state = FollowState::new(rand::random(), options);
    loop {
        let event = match state.next(store.clock.now()) {
            Step::Compare => match store.call(Duration::ZERO, platform.keys(prefix)).await {
                Ok(keys) => {
                    state.record_versions(&keys, store.clock.now());
                    None
                }
                Err(err) => Some(record_failure(&mut state, err)),
            },
            Step::List { allow_stale } => {
                let listing = async {
                    match allow_stale {
                        true => platform.list_allow_stale(prefix).await,
                        false => platform.list(prefix).await,
                    }
                };
                match store.call(Duration::ZERO, listing).await {
                    Ok(mut listing) => {
                        read_missing(platform, &scope, &mut listing).await;
                        state
                            .record_listing(&listing, store.clock.now())
                            .then_some(FollowEvent::Listed(listing))
                    }
                    Err(err) => Some(record_failure(&mut state, err)),
                }
            }
            Step::Pause(pause) => {
                store.contact.pause(pause).await;
                None
            }
            Step::Watch { from } => match store.watch(prefix, from, &options).await {
                Some(Ok(changes)) => {
                    state.record_changes(&changes);
                    Some(FollowEvent::Changed(changes))
                }
                Some(Err(err)) => Some(record_failure(&mut state, err)),
                None => None,
            },
        };
        let Some(event) = event else { continue };
        let pause = match &event {
            FollowEvent::Changed(Changes { changes, .. }) if changes.is_empty() => Duration::ZERO,
            FollowEvent::Changed(_) => Duration::from_millis(change_pause.load(Ordering::Relaxed)),
            FollowEvent::Listed(_) => options.list_pause,
            FollowEvent::Failed(_) => Duration::ZERO,
        };
        let failure = event.failed_page().cloned();
        if tx.send(event).await.is_err() {
            return;
        }
        if let Some(error) = failure {
            let _ = tx.send(FollowEvent::Failed(error)).await;
            continue;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Completes a listing that ended early, if the keys of all objects are known.
async fn read_missing(platform: &dyn Platform, scope: &Scope, listing: &mut Listing) {
    let is_lasting = listing.gap.as_ref().is_some_and(|gap| !gap.is_transient());
    if !is_lasting || scope.keys.is_empty() {
        return;
    }
    for key in &scope.keys {
        if listing.entries.iter().any(|entry| entry.key == *key) {
            continue;
        }
        match platform.get(key).await {
            Ok(Some(object)) => listing.entries.push(Entry { key: key.clone(), object }),
            Ok(None) => {}
            Err(error) => return listing.gap = Some(error),
        }
    }
    listing.entries.sort_by(|a, b| a.key.cmp(&b.key));
    listing.gap = None;
}

fn record_failure(state: &mut FollowState, err: PlatformError) -> FollowEvent {
    state.record_failure(&err);
    FollowEvent::Failed(err)
}
