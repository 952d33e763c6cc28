use super::*;
use crate::prelude::*;

fn secs(secs: u64) -> Moment {
    Duration::from_secs(secs)
}

fn owned(inherited: bool, provisional: bool) -> OwnedTarget {
    OwnedTarget { inherited, provisional, slots: 3, target: "a".into() }
}

#[test]
fn inherited_slots_are_occupied_until_proven_free() {
    // A host dies with three requests running on its target. The new owner must not start three
    // more beside them: the target would run six and tip over. It waits for the longest time a
    // request may run, or for a report that was taken after the change.
    let target: TargetId = "a".into();
    let mut slots = Slots::new(secs(5));
    slots.set_owned(&[owned(true, false)], secs(10));
    assert_eq!(slots.acquire(&target, 3, secs(10)), None);
    slots.report(&target, 0, secs(9));
    assert_eq!(slots.free(&target, 3, secs(11)), 0, "the report is older than the change");
    slots.report(&target, 1, secs(11));
    assert_eq!(slots.free(&target, 3, secs(11)), 2);
    assert_eq!(slots.free(&target, 3, secs(15)), 3);
}

#[test]
fn stand_in_owner_runs_one_at_a_time() {
    let target: TargetId = "a".into();
    let mut slots = Slots::new(secs(5));
    slots.set_owned(&[owned(false, true)], secs(0));
    let slot = slots.acquire(&target, 3, secs(0)).unwrap();
    assert_eq!(slots.acquire(&target, 3, secs(0)), None);
    slots.release(&target, slot, secs(0));
    assert!(slots.acquire(&target, 3, secs(0)).is_some());
}

#[test]
fn hopeless_requests_make_room() {
    let mut queue = Queue::new(2, secs(1));
    queue.push("old".into(), secs(2), secs(0)).unwrap();
    queue.push("young".into(), secs(9), secs(0)).unwrap();
    assert_eq!(queue.push("third".into(), secs(9), secs(0)), Err(Full));
    queue.push("third".into(), secs(9), secs(2)).unwrap();
    assert_eq!(queue.expire(secs(2)), ["old".into()]);
    assert_eq!(queue.pop(secs(2)).as_deref(), Some("young"));
    assert_eq!(queue.pop(secs(9)), None);
    assert_eq!(queue.expire(secs(9)), ["third".into()]);
}

#[test]
fn retries_stay_a_share_of_traffic() {
    let mut budget = RetryBudget::new();
    for _ in 0..100 {
        budget.noted(secs(20));
    }
    let taken = (0..100).filter(|_| budget.take(secs(21))).count();
    assert_eq!(taken, 13);
    assert!(!budget.take(secs(29)));
    assert!(budget.take(secs(31)), "the window has moved on");
}
