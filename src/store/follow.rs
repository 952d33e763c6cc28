//! Following the objects under a prefix.
//!
//! A watch can fail in more ways than with an error: it can stay silent while objects change, or
//! the store can forget or lose versions. The first is found by comparing versions now and then,
//! the others by listing again.

use std::sync::atomic::{AtomicU64, Ordering};

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use tokio::{sync::mpsc, task::JoinHandle};

use super::{Change, Changes, Entry, KeyVersion, Listing, Platform, PlatformError, Version};
use crate::prelude::*;

/// How often a follower asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowOptions {
    /// Pause between a listing and the first watch after it; what changes meanwhile is told by that.
    pub list_pause: Duration,
    /// Time between two comparisons of all versions.
    pub compare_interval: Duration,
    /// Whether the first listing may be some seconds old. Who starts knows nothing, and the watch
    /// brings the rest; later listings follow losses and must be current.
    pub first_allows_stale: bool,
    /// Pause after a change: changes often come several at once, and each watch is a call.
    pub change_pause: Duration,
    /// Longest time that one watch waits.
    pub wait: Duration,
}

impl FollowOptions {
    /// Where nothing else tells that a watch misses writes. With the longest wait of a watch that
    /// stays silent (`wait` and the client's grace) a missed write goes unnoticed for 12 s at most.
    pub const STANDALONE: Self = Self {
        list_pause: Duration::ZERO,
        compare_interval: Duration::from_secs(6),
        first_allows_stale: false,
        change_pause: Duration::ZERO,
        wait: Duration::from_secs(4),
    };
}

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What a follower tells.
#[derive(Clone, Debug, PartialEq)]
pub enum FollowEvent {
    /// Writes since the previous update; empty if the platform record_answer that there are none.
    Changed(Vec<Change>),
    /// Everything there is, in place of what was told before.
    Listed(Listing),
    /// The platform did not answer; what was told before stands, and may be out of date.
    Failed(PlatformError),
}

/// A running follower; ends when dropped.
pub struct Follower {
    /// In milliseconds.
    change_pause: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Follower {
    /// Follows the objects under `prefix` until dropped or until `tx` is closed.
    pub fn spawn(
        platform: Arc<dyn Platform>,
        clock: Arc<dyn Clock>,
        prefix: &str,
        pace: FollowOptions,
        tx: mpsc::Sender<FollowEvent>,
    ) -> Self {
        let change_pause = Arc::new(AtomicU64::new(pace.change_pause.as_millis() as u64));
        let prefix = prefix.to_owned();
        let task = tokio::spawn(follow(platform, clock, prefix, pace, change_pause.clone(), tx));
        Self { change_pause, task }
    }

    /// From now on pauses that long after a change; see `FollowOptions::change_pause`.
    pub fn set_change_pause(&self, change_pause: Duration) {
        self.change_pause.store(change_pause.as_millis() as u64, Ordering::Relaxed);
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Step {
    Compare,
    List { allow_stale: bool },
    Pause(Duration),
    Watch { from: Version },
}

/// Decides what to do next; knows the version of each object.
#[derive(Debug)]
pub(super) struct FollowState {
    backoff: ExponentialBackoff,
    compared: Moment,
    is_first: bool,
    known: BTreeMap<Arc<str>, Version>,
    pace: FollowOptions,
    pause: Option<Duration>,
    seed: u64,
    version: Option<Version>,
}

impl FollowState {
    pub(super) fn new(seed: u64, pace: FollowOptions) -> Self {
        let backoff = pauses(seed);
        let (compared, known) = (Duration::ZERO, BTreeMap::new());
        let is_first = true;
        Self { backoff, compared, is_first, known, pace, pause: None, seed, version: None }
    }

    pub(super) fn next(&mut self, now: Moment) -> Step {
        if let Some(pause) = self.pause.take() {
            return Step::Pause(pause);
        }
        match self.version {
            None => Step::List { allow_stale: self.is_first && self.pace.first_allows_stale },
            Some(_) if self.pace.compare_interval <= now.saturating_sub(self.compared) => {
                Step::Compare
            }
            Some(from) => Step::Watch { from },
        }
    }

    pub(super) fn listed(&mut self, listing: &Listing, now: Moment) {
        let known = |entry: &Entry| (entry.key.clone(), entry.object.version);
        self.is_first = false;
        self.known = listing.entries.iter().map(known).collect();
        self.version = Some(listing.version);
        self.compared = now;
        self.backoff = pauses(self.seed);
    }

    /// Versions that differ from what the watch told: it has missed something.
    pub(super) fn compared(&mut self, found: &[KeyVersion], now: Moment) {
        let known = self.known.iter().map(|(key, version)| (key, *version));
        if !found.iter().map(|found| (&found.key, found.version)).eq(known) {
            self.version = None;
        }
        self.compared = now;
        self.backoff = pauses(self.seed);
    }

    pub(super) fn changed(&mut self, changes: &Changes) {
        for change in &changes.changes {
            match &change.object {
                None => self.known.remove(&change.key),
                Some(_) => self.known.insert(change.key.clone(), change.version),
            };
        }
        self.version = Some(changes.version);
        self.backoff = pauses(self.seed);
    }

    pub(super) fn failed(&mut self, err: &PlatformError) {
        self.is_first = false;
        if matches!(err, PlatformError::TooOld { .. }) {
            self.version = None;
        }
        let least = match err {
            PlatformError::RateLimited { retry_after } => *retry_after,
            _ => Duration::ZERO,
        };
        let pause = self.backoff.next().unwrap_or(LONGEST_PAUSE);
        self.pause = Some(pause.max(least));
    }
}

fn pauses(seed: u64) -> ExponentialBackoff {
    ExponentialBuilder::new()
        .with_min_delay(FIRST_PAUSE)
        .with_max_delay(LONGEST_PAUSE)
        .without_max_times()
        .with_jitter()
        .with_jitter_seed(seed)
        .build()
}

async fn follow(
    platform: Arc<dyn Platform>,
    clock: Arc<dyn Clock>,
    prefix: String,
    pace: FollowOptions,
    change_pause: Arc<AtomicU64>,
    tx: mpsc::Sender<FollowEvent>,
) {
    let mut state = FollowState::new(rand::random(), pace);
    loop {
        let told = match state.next(clock.now()) {
            Step::Compare => match platform.keys(&prefix).await {
                Ok(keys) => {
                    state.compared(&keys, clock.now());
                    None
                }
                Err(err) => Some(lost(&mut state, err)),
            },
            Step::List { allow_stale } => {
                let listing = match allow_stale {
                    true => platform.list_allow_stale(&prefix).await,
                    false => platform.list(&prefix).await,
                };
                match listing {
                    Ok(listing) => {
                        state.listed(&listing, clock.now());
                        Some(FollowEvent::Listed(listing))
                    }
                    Err(err) => Some(lost(&mut state, err)),
                }
            }
            Step::Pause(pause) => {
                tokio::time::sleep(pause).await;
                None
            }
            Step::Watch { from } => match platform.watch(&prefix, from, pace.wait).await {
                Ok(changes) => {
                    state.changed(&changes);
                    Some(FollowEvent::Changed(changes.changes))
                }
                Err(err) => Some(lost(&mut state, err)),
            },
        };
        let Some(told) = told else { continue };
        let pause = match &told {
            FollowEvent::Changed(changes) if changes.is_empty() => Duration::ZERO,
            FollowEvent::Changed(_) => Duration::from_millis(change_pause.load(Ordering::Relaxed)),
            FollowEvent::Listed(_) => pace.list_pause,
            FollowEvent::Failed(_) => Duration::ZERO,
        };
        if tx.send(told).await.is_err() {
            return;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

fn lost(state: &mut FollowState, err: PlatformError) -> FollowEvent {
    state.failed(&err);
    FollowEvent::Failed(err)
}
