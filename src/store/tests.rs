mod contact;
mod damaged_list;

use assert_matches::assert_matches;

use super::{
    follow::{FollowState, Step},
    *,
};
use crate::{
    base::Clock,
    standin::platform::{Faults, PlatformStandin},
};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn breaker_opens_probes_and_closes() {
    // The platform stops answering. After four failures, calls fail immediately. After each pause a
    // single probe is allowed, and each failed probe lengthens the pause.
    let mut breaker = CircuitBreaker::new(1);
    let mut now = Duration::ZERO;
    for _ in 0..4 {
        assert_eq!(breaker.admit(now), Ok(()));
        breaker.record_failure(now);
    }
    let mut pauses = Vec::new();
    for _ in 0..10 {
        let until = assert_matches!(breaker.state(), BreakerState::Open { until } => until);
        assert!(breaker.admit(now).is_err());
        pauses.push(until - now);
        now = until;
        assert_eq!(breaker.admit(now), Ok(()));
        assert!(breaker.admit(now).is_err(), "one probe at a time");
        breaker.record_failure(now);
    }
    assert!(pauses[0] < pauses[9] && pauses[9] <= 4 * SECOND, "{pauses:?}");
    breaker.admit(now + 4 * SECOND).unwrap();
    breaker.record_abandoned(now + 4 * SECOND);
    breaker.admit(now + 4 * SECOND).unwrap();
    breaker.record_answer();
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn rate_limiter_allows_a_burst_and_then_its_rate() {
    let limits = RateLimits { reads: 2.0, watches: 1.0, writes: 1.0 };
    let mut limiter = CallRateLimiter::new(limits, Duration::ZERO);
    let mut taken = 0;
    for millis in 0..10_000 {
        taken += u32::from(limiter.take(CallKind::Read, Duration::from_millis(millis)).is_ok());
    }
    assert!((29..=30).contains(&taken), "burst of 10, then 2 per second: {taken}");
    assert_eq!(limiter.counts().reads, u64::from(taken));
    assert_eq!(limiter.take(CallKind::Write, 10 * SECOND), Ok(()));
}

#[test]
fn follower_lists_again_after_missed_changes() {
    // A watch stays silent while a manifest is written. The comparison of versions finds the change
    // and causes a listing. So does a store that has compacted the requested version.
    let mut state = FollowState::new(1, FollowOptions::STANDALONE);
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
    let versioned =
        |version| VersionedObject { operation: "op".into(), value: "x".into(), version };
    let entry = |version| Entry { key: "a".into(), object: versioned(version) };
    state.record_listing(&Listing { entries: vec![entry(4)], gap: None, version: 9 }, SECOND);
    assert_eq!(state.next(SECOND), Step::Watch { from: 9 });
    assert_eq!(state.next(10 * SECOND), Step::Compare);
    state.record_versions(&[KeyVersion { key: "a".into(), version: 4 }], 10 * SECOND);
    assert_eq!(state.next(10 * SECOND), Step::Watch { from: 9 });
    state.record_versions(&[KeyVersion { key: "a".into(), version: 11 }], 20 * SECOND);
    assert_eq!(state.next(20 * SECOND), Step::List { allow_stale: false });
    state
        .record_listing(&Listing { entries: vec![entry(11)], gap: None, version: 12 }, 20 * SECOND);
    state.record_failure(&PlatformError::TooOld { oldest: 20 });
    assert_matches!(state.next(20 * SECOND), Step::Pause(_));
    assert_eq!(state.next(20 * SECOND), Step::List { allow_stale: false });
}

#[test]
fn only_first_listing_allows_stale_data() {
    // A host starts with a cheap listing that is seconds old, and its watch returns the changes
    // since. Then the store compacts its history. If the next listing were stale as well, the
    // changes in between would be missed. The same holds after a failure, when the store has just
    // recovered.
    let options = FollowOptions { first_allows_stale: true, ..FollowOptions::STANDALONE };
    let mut state = FollowState::new(1, options);
    assert_eq!(state.next(SECOND), Step::List { allow_stale: true });
    state.record_listing(&Listing { entries: Vec::new(), gap: None, version: 9 }, SECOND);
    state.record_failure(&PlatformError::TooOld { oldest: 20 });
    assert_matches!(state.next(SECOND), Step::Pause(_));
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
    let mut state = FollowState::new(1, options);
    state.record_failure(&PlatformError::Unavailable {
        detail: "down".into(),
        may_have_applied: false,
    });
    assert_matches!(state.next(SECOND), Step::Pause(_));
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
}

/// Guards against a follower that watches from before the store's first revision: its first listing
/// may be old, has no objects, and so doesn't show how old it is.
#[test]
fn a_first_listing_without_a_revision_is_read_again() {
    let options = FollowOptions { first_allows_stale: true, ..FollowOptions::STANDALONE };
    let mut state = FollowState::new(1, options);
    let empty = |version| Listing { entries: Vec::new(), gap: None, version };
    assert!(!state.record_listing(&empty(0), SECOND));
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
    assert!(state.record_listing(&empty(9), SECOND));
    assert_eq!(state.next(SECOND), Step::Watch { from: 9 });
}

/// Guards against a follower that lists for ever where no listing can be complete, and against one that
/// does not list again after a page was lost.
#[test]
fn a_listing_with_a_gap_is_read_again_only_if_that_may_help() {
    let gap = |error| Listing { entries: Vec::new(), gap: Some(error), version: 9 };
    let mut state = FollowState::new(1, FollowOptions::STANDALONE);
    assert!(state.record_listing(&gap(PlatformError::NoNextPage), SECOND));
    assert_eq!(state.next(SECOND), Step::Watch { from: 9 });
    let mut state = FollowState::new(1, FollowOptions::STANDALONE);
    let lost = PlatformError::Unavailable { detail: "down".into(), may_have_applied: false };
    assert!(state.record_listing(&gap(lost), SECOND));
    assert_matches!(state.next(SECOND), Step::Pause(_));
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
}

/// Clock that follows tokio's time, which a test can pause.
struct TokioClock(tokio::time::Instant);

impl Clock for TokioClock {
    fn now(&self) -> crate::base::Moment {
        self.0.elapsed()
    }
}

#[tokio::test(start_paused = true)]
async fn follower_reports_writes_after_watch_faults() {
    // Between two writes, a watch goes silent, the store compacts its history, or its version
    // jumps. The follower must report the second write although its watch did not return it.
    type Fault = fn(&PlatformStandin);
    let table: [(&str, Fault); 3] = [
        ("silent", |store| store.set_faults(Faults { silent_watch: true, ..Faults::default() })),
        ("compaction", PlatformStandin::compact),
        ("jump", |store| store.jump(1000)),
    ];
    for (name, fault) in table {
        let standin = PlatformStandin::in_memory();
        let writer = standin.open_door();
        let put =
            |key: &'static str| writer.put(key, Expect::Absent, "x".into(), new_operation_id());
        put("p/1").await.unwrap();
        let (tx, mut rx) = tokio::sync::mpsc::channel(8);
        let standin = std::sync::Arc::new(standin);
        let clock = std::sync::Arc::new(TokioClock(tokio::time::Instant::now()));
        let reader = std::sync::Arc::new(WithTimeout(standin.clone()));
        let _follower = Follower::spawn(reader, clock, "p/", FollowOptions::STANDALONE, tx);
        assert_matches!(rx.recv().await, Some(FollowEvent::Listed(_)), "{name}");
        fault(&standin);
        put("p/2").await.unwrap();
        let reports_write = |event: &FollowEvent| match event {
            FollowEvent::Changed(changes) => {
                changes.changes.iter().any(|change| &*change.key == "p/2")
            }
            FollowEvent::Listed(listing) => {
                listing.entries.iter().any(|entry| &*entry.key == "p/2")
            }
            FollowEvent::Failed(_) => false,
        };
        let reported = tokio::time::timeout(15 * SECOND, async {
            while !reports_write(&rx.recv().await.expect("the follower is running")) {}
        });
        assert!(reported.await.is_ok(), "{name}");
    }
}

/// Calls the platform stand-in directly, with a timeout as the HTTP client has it.
struct WithTimeout(std::sync::Arc<PlatformStandin>);

impl WithTimeout {
    async fn with_timeout<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        let timed_out =
            PlatformError::Unavailable { detail: "timed out".into(), may_have_applied: true };
        tokio::time::timeout(6 * SECOND, call).await.unwrap_or(Err(timed_out))
    }
}

#[async_trait::async_trait]
impl Platform for WithTimeout {
    async fn delete(&self, key: &str, expect: Expect, operation: OperationId) -> Result<Version> {
        self.with_timeout(self.0.door().delete(key, expect, operation)).await
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        self.with_timeout(self.0.door().get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.with_timeout(self.0.door().list(prefix)).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version> {
        self.with_timeout(self.0.door().put(key, expect, value, operation)).await
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        self.with_timeout(self.0.door().watch(prefix, from, wait)).await
    }
}

/// A store in which every watch returns a change immediately; counts the watches.
#[derive(Default)]
struct ChangingStore(std::sync::atomic::AtomicU64);

#[async_trait::async_trait]
impl Platform for ChangingStore {
    async fn delete(&self, _: &str, _: Expect, _: OperationId) -> Result<Version> {
        Ok(0)
    }

    async fn get(&self, _: &str) -> Result<Option<VersionedObject>> {
        Ok(None)
    }

    async fn list(&self, _: &str) -> Result<Listing> {
        Ok(Listing { entries: Vec::new(), gap: None, version: 1 })
    }

    async fn put(&self, _: &str, _: Expect, _: Bytes, _: OperationId) -> Result<Version> {
        Ok(0)
    }

    async fn watch(&self, _: &str, from: Version, _: Duration) -> Result<Changes> {
        self.0.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let change = Change { key: "a".into(), object: None, version: from + 1 };
        Ok(Changes { changes: vec![change], version: from + 1 })
    }
}

#[tokio::test(start_paused = true)]
async fn change_pause_limits_watch_calls() {
    // Targets change constantly, and each change ends a watch immediately. The pause after a change
    // limits the rate of calls. A standby host uses a longer pause, and returns to the shorter one
    // when the active host is lost.
    let store = std::sync::Arc::new(ChangingStore::default());
    let clock = std::sync::Arc::new(TokioClock(tokio::time::Instant::now()));
    let options = FollowOptions { change_pause: SECOND / 10, ..FollowOptions::STANDALONE };
    let options = FollowOptions { compare_interval: 1_000 * SECOND, ..options };
    let (tx, mut rx) = tokio::sync::mpsc::channel(16);
    let follower = Follower::spawn(store.clone(), clock, "a/", options, tx);
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
    let mut previous = 0;
    for (change_pause, min, max) in
        [(SECOND / 10, 90, 110), (SECOND, 9, 12), (SECOND / 10, 85, 110)]
    {
        follower.set_change_pause(change_pause);
        tokio::time::sleep(10 * SECOND).await;
        let total = store.0.load(std::sync::atomic::Ordering::Relaxed);
        assert!(
            (min..=max).contains(&(total - previous)),
            "{change_pause:?}: {}",
            total - previous
        );
        previous = total;
    }
}
