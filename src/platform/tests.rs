use assert_matches::assert_matches;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_breaker_opens_probes_and_closes() {
    // The platform stops answering. Calls fail at once after the fourth one; when the pause is
    // over a single call finds out, and each further failure lengthens the pause.
    let mut breaker = Breaker::new(1);
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
    assert!(pauses[0] < pauses[9] && pauses[9] <= 16 * SECOND, "{pauses:?}");
    breaker.admit(now + 16 * SECOND).unwrap();
    breaker.abandoned(now + 16 * SECOND);
    breaker.admit(now + 16 * SECOND).unwrap();
    breaker.answered();
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn a_budget_allows_a_burst_and_then_its_rate() {
    let limits = Limits { reads: 2.0, watches: 1.0, writes: 1.0 };
    let mut budget = Budget::new(limits, Duration::ZERO);
    let mut taken = 0;
    for millis in 0..10_000 {
        taken += u32::from(budget.take(CallKind::Read, Duration::from_millis(millis)).is_ok());
    }
    assert!((29..=30).contains(&taken), "burst of 10 and 2 a second: {taken}");
    assert_eq!(budget.counts().reads, u64::from(taken));
    assert_eq!(budget.take(CallKind::Write, 10 * SECOND), Ok(()));
}
