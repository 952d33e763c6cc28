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
fn a_breaker_opens_probes_and_closes() {
    // The platform stops answering. Calls fail at once after the fourth one; when the pause is
    // over a single call finds out, and each further failure lengthens the pause.
    let mut breaker = CircuitBreaker::new(1);
    let mut now = Duration::ZERO;
    for _ in 0..4 {
        assert_eq!(breaker.admit(now), Ok(()));
        breaker.failed(now);
    }
    let mut pauses = Vec::new();
    for _ in 0..10 {
        let until = assert_matches!(breaker.state(), BreakerState::Open { until } => until);
        assert!(breaker.admit(now).is_err());
        pauses.push(until - now);
        now = until;
        assert_eq!(breaker.admit(now), Ok(()));
        assert!(breaker.admit(now).is_err(), "one probe at a time");
        breaker.failed(now);
    }
    assert!(pauses[0] < pauses[9] && pauses[9] <= 4 * SECOND, "{pauses:?}");
    breaker.admit(now + 4 * SECOND).unwrap();
    breaker.record_abandoned(now + 4 * SECOND);
    breaker.admit(now + 4 * SECOND).unwrap();
    breaker.record_answer();
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn a_budget_allows_a_burst_and_then_its_rate() {
    let limits = RateLimits { reads: 2.0, watches: 1.0, writes: 1.0 };
    let mut budget = CallRateLimiter::new(limits, Duration::ZERO);
    let mut taken = 0;
    for millis in 0..10_000 {
        taken += u32::from(budget.take(CallKind::Read, Duration::from_millis(millis)).is_ok());
    }
    assert!((29..=30).contains(&taken), "burst of 10 and 2 a second: {taken}");
    assert_eq!(budget.counts().reads, u64::from(taken));
    assert_eq!(budget.take(CallKind::Write, 10 * SECOND), Ok(()));
}

#[test]
fn a_follower_lists_again_when_a_watch_missed_something() {
    // The watch stays open and tells nothing while a manifest is accepted. Comparing the versions
    // finds it; a store that forgot the version asked for is listed again as well.
    let mut state = FollowState::new(1, FollowOptions::STANDALONE);
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
    let versioned =
        |version| VersionedObject { operation: "op".into(), value: "x".into(), version };
    let entry = |version| Entry { key: "a".into(), object: versioned(version) };
    state.listed(&Listing { entries: vec![entry(4)], version: 9 }, SECOND);
    assert_eq!(state.next(SECOND), Step::Watch { from: 9 });
    assert_eq!(state.next(10 * SECOND), Step::Compare);
    state.compared(&[KeyVersion { key: "a".into(), version: 4 }], 10 * SECOND);
    assert_eq!(state.next(10 * SECOND), Step::Watch { from: 9 });
    state.compared(&[KeyVersion { key: "a".into(), version: 11 }], 20 * SECOND);
    assert_eq!(state.next(20 * SECOND), Step::List { allow_stale: false });
    state.listed(&Listing { entries: vec![entry(11)], version: 12 }, 20 * SECOND);
    state.failed(&PlatformError::TooOld { oldest: 20 });
    assert_matches!(state.next(20 * SECOND), Step::Pause(_));
    assert_eq!(state.next(20 * SECOND), Step::List { allow_stale: false });
}

#[test]
fn only_the_first_listing_may_lag() {
    // A host starts and takes a cheap listing that is seconds old; its watch brings the rest. The
    // store then forgets its history: what was missed in between would stay unknown if the next
    // listing were old as well. So too after a failure, when the store has just returned.
    let pace = FollowOptions { first_allows_stale: true, ..FollowOptions::STANDALONE };
    let mut state = FollowState::new(1, pace);
    assert_eq!(state.next(SECOND), Step::List { allow_stale: true });
    state.listed(&Listing { entries: Vec::new(), version: 9 }, SECOND);
    state.failed(&PlatformError::TooOld { oldest: 20 });
    assert_matches!(state.next(SECOND), Step::Pause(_));
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
    let mut state = FollowState::new(1, pace);
    state.failed(&PlatformError::Unavailable { detail: "down".into(), may_have_applied: false });
    assert_matches!(state.next(SECOND), Step::Pause(_));
    assert_eq!(state.next(SECOND), Step::List { allow_stale: false });
}

/// Tokio's clock, which a test can pause.
struct PausedClock(tokio::time::Instant);

impl Clock for PausedClock {
    fn now(&self) -> crate::base::Moment {
        self.0.elapsed()
    }
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_a_compaction_and_a_jump_hide_no_write() {
    // Each fault comes between two writes. The follower of the same prefix must be told of the
    // second one, however the watch that should have told it ended.
    type Fault = fn(&PlatformStandin);
    let table: [(&str, Fault); 3] = [
        ("silent", |it| it.set_faults(Faults { silent_watch: true, ..Faults::default() })),
        ("compaction", PlatformStandin::compact),
        ("jump", |it| it.jump(1000)),
    ];
    for (what, fault) in table {
        let standin = PlatformStandin::in_memory();
        let writer = standin.open_door();
        let put =
            |key: &'static str| writer.put(key, Expect::Absent, "x".into(), new_operation_id());
        put("p/1").await.unwrap();
        let (tx, mut rx) = tokio::sync::mpsc::channel(8);
        let standin = std::sync::Arc::new(standin);
        let clock = std::sync::Arc::new(PausedClock(tokio::time::Instant::now()));
        let reader = std::sync::Arc::new(Hurried(standin.clone()));
        let _follower = Follower::spawn(reader, clock, "p/", FollowOptions::STANDALONE, tx);
        assert_matches!(rx.recv().await, Some(FollowEvent::Listed(_)), "{what}");
        fault(&standin);
        put("p/2").await.unwrap();
        let is_told = |told: &FollowEvent| match told {
            FollowEvent::Changed(changes) => changes.iter().any(|change| &*change.key == "p/2"),
            FollowEvent::Listed(listing) => {
                listing.entries.iter().any(|entry| &*entry.key == "p/2")
            }
            FollowEvent::Failed(_) => false,
        };
        let told = tokio::time::timeout(15 * SECOND, async {
            while !is_told(&rx.recv().await.expect("the follower goes on")) {}
        });
        assert!(told.await.is_ok(), "{what}");
    }
}

/// The stand-in's door with the client's deadlines.
struct Hurried(std::sync::Arc<PlatformStandin>);

impl Hurried {
    async fn within<T>(&self, call: impl Future<Output = Result<T>>) -> Result<T> {
        let late = PlatformError::Unavailable { detail: "late".into(), may_have_applied: true };
        tokio::time::timeout(6 * SECOND, call).await.unwrap_or(Err(late))
    }
}

#[async_trait::async_trait]
impl Platform for Hurried {
    async fn delete(&self, key: &str, expect: Expect, operation: OperationId) -> Result<Version> {
        self.within(self.0.door().delete(key, expect, operation)).await
    }

    async fn get(&self, key: &str) -> Result<Option<VersionedObject>> {
        self.within(self.0.door().get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        self.within(self.0.door().list(prefix)).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        operation: OperationId,
    ) -> Result<Version> {
        self.within(self.0.door().put(key, expect, value, operation)).await
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Result<Changes> {
        self.within(self.0.door().watch(prefix, from, wait)).await
    }
}

/// A store in which something changes all the time; counts its watches.
#[derive(Default)]
struct Restless(std::sync::atomic::AtomicU64);

#[async_trait::async_trait]
impl Platform for Restless {
    async fn delete(&self, _: &str, _: Expect, _: OperationId) -> Result<Version> {
        Ok(0)
    }

    async fn get(&self, _: &str) -> Result<Option<VersionedObject>> {
        Ok(None)
    }

    async fn list(&self, _: &str) -> Result<Listing> {
        Ok(Listing { entries: Vec::new(), version: 1 })
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
async fn a_follower_settles_for_as_long_as_it_is_told() {
    // Targets come and go all the time, and each change ends a watch at once. The pause after a
    // change bounds the calls; a host that only stands by for another takes a longer one, and goes
    // back when that host is lost.
    let store = std::sync::Arc::new(Restless::default());
    let clock = std::sync::Arc::new(PausedClock(tokio::time::Instant::now()));
    let pace = FollowOptions { change_pause: SECOND / 10, ..FollowOptions::STANDALONE };
    let pace = FollowOptions { compare_interval: 1_000 * SECOND, ..pace };
    let (tx, mut rx) = tokio::sync::mpsc::channel(16);
    let follower = Follower::spawn(store.clone(), clock, "a/", pace, tx);
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
    let mut counted = 0;
    for (change_pause, least, most) in
        [(SECOND / 10, 90, 110), (SECOND, 9, 12), (SECOND / 10, 85, 110)]
    {
        follower.set_change_pause(change_pause);
        tokio::time::sleep(10 * SECOND).await;
        let all = store.0.load(std::sync::atomic::Ordering::Relaxed);
        assert!((least..=most).contains(&(all - counted)), "{change_pause:?}: {}", all - counted);
        counted = all;
    }
}
