use assert_matches::assert_matches;

use super::*;
use crate::{
    prelude::*,
    store::{
        BreakerState, Expect, HttpPlatform, Platform, PlatformError, PutOutcome, RateLimits,
        new_operation_id, put_confirmed,
    },
};

async fn standin() -> (PlatformStandin, HttpPlatform) {
    let standin = PlatformStandin::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let clock = Arc::new(crate::base::BootClock);
    let client = HttpPlatform::with_limits(standin.address(), RateLimits::OPERATOR, clock);
    (standin, client)
}

#[tokio::test]
async fn objects_are_written_conditionally_listed_and_watched() {
    let (_standin, client) = standin().await;
    assert_eq!(client.get("a/1").await, Ok(None));
    let first = client.put("a/1", Expect::Absent, "one".into(), "op-1".into()).await.unwrap();
    let second = client.put("b/1", Expect::Absent, "two".into(), "op-2".into()).await.unwrap();
    let object = client.get("a/1").await.unwrap().unwrap();
    assert_eq!(
        (&*object.operation, &object.value[..], object.version),
        ("op-1", &b"one"[..], first)
    );
    let conflict = client.put("a/1", Expect::Absent, "x".into(), "op-3".into()).await;
    assert_eq!(conflict, Err(PlatformError::Conflict { current: Some(first) }));
    let listing = client.list("a/").await.unwrap();
    assert_eq!((listing.entries.len(), listing.version), (1, second));
    let changes = client.watch("", first, Duration::from_secs(1)).await.unwrap();
    assert_eq!((&*changes.changes[0].key, changes.version), ("b/1", second));
    let deleted = client.delete("b/1", Expect::Version(second), "op-4".into()).await.unwrap();
    let changes = client.watch("b/", second, Duration::from_secs(1)).await.unwrap();
    assert_eq!((changes.changes[0].object.clone(), changes.version), (None, deleted));
}

#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    // A pipeline writes; the write takes effect, but the connection breaks before the answer. A
    // second blind write would meet a conflict with itself, and the pipeline would be told that
    // somebody else won. Reading back its own operation id tells it that it was accepted.
    let (standin, client) = standin().await;
    standin.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let operation = new_operation_id();
    let lost = client.put("m", Expect::Absent, "one".into(), operation.clone()).await;
    assert_matches!(lost, Err(PlatformError::Unavailable { may_have_applied: true, .. }));
    standin.set_faults(Faults { lose_answers: 2, ..Faults::default() });
    let version = client.get("m").await.unwrap().unwrap().version;
    let expect = Expect::Version(version);
    let settled =
        put_confirmed(&client, "m", expect, "two".into(), new_operation_id()).await.unwrap();
    let held = client.get("m").await.unwrap().unwrap();
    assert_eq!(settled, PutOutcome::Written(held.version));
    assert_eq!(held.value, "two");
}

#[tokio::test]
async fn faults_come_as_the_errors_they_stand_for() {
    let (standin, client) = standin().await;
    standin.compact();
    standin.jump(100);
    assert_matches!(
        client.watch("", 1000, Duration::ZERO).await,
        Err(PlatformError::TooOld { .. })
    );
    let large = vec![0; crate::store::MAX_VALUE_BYTES + 1].into();
    let too_large = client.put("a", Expect::Absent, large, new_operation_id()).await;
    assert_eq!(too_large, Err(PlatformError::TooLarge));
    standin.set_faults(Faults { writes_per_second: 1, ..Faults::default() });
    let mut limited = 0;
    for key in ["a", "b", "c", "d"] {
        let put = client.put(key, Expect::Absent, "x".into(), new_operation_id()).await;
        limited += usize::from(matches!(put, Err(PlatformError::RateLimited { .. })));
    }
    assert!(1 <= limited);
    standin.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    let down = client.put("e", Expect::Absent, "x".into(), new_operation_id()).await;
    assert_matches!(down, Err(PlatformError::Unavailable { may_have_applied: false, .. }));
}

#[tokio::test]
async fn a_platform_that_hangs_and_stays_down_opens_the_breaker() {
    // The platform takes a write and never answers: after the deadline nobody knows whether it
    // took effect. It then stays down; after four failures calls end at once and no longer reach
    // it, and the state is there for the operator. When it is back, a single call finds out.
    let (standin, client) = standin().await;
    standin.set_faults(Faults { outage: Outage::Hang, ..Faults::default() });
    let put = client.put("m", Expect::Absent, "x".into(), new_operation_id()).await;
    assert_matches!(put, Err(PlatformError::Unavailable { may_have_applied: true, .. }));
    standin.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    for _ in 0..3 {
        assert!(client.delete("m", Expect::Absent, new_operation_id()).await.is_err());
    }
    assert_matches!(client.state().breaker, BreakerState::Open { .. });
    let sent = standin.door().counts();
    let held = client.get("m").await;
    assert_matches!(held, Err(PlatformError::Unavailable { may_have_applied: false, .. }));
    assert!(standin.door().counts().reads <= sent.reads + 1, "a read and its repeats are held");
    standin.set_faults(Faults::default());
    let settled = put_confirmed(&client, "m", Expect::Absent, "x".into(), new_operation_id()).await;
    assert_matches!(settled, Ok(PutOutcome::Written(_)));
    assert_eq!(client.state().breaker, BreakerState::Closed);
}

#[tokio::test]
async fn the_host_list_shows_late() {
    let standin = PlatformStandin::in_memory();
    standin.set_faults(Faults { hosts_lag_ms: 50, ..Faults::default() });
    let late = standin.door().put("hosts/m", Expect::Absent, "[]".into(), new_operation_id());
    let reader = standin.open_door();
    let (written, seen) = tokio::join!(late, reader.get("hosts/m"));
    assert_eq!(seen, Ok(None));
    assert!(written.is_ok());
}
