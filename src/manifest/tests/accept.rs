use std::sync::Mutex;

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;

use super::*;
use crate::{
    prelude::*,
    standin::platform::{Door, Faults, Outage, PlatformStandin},
    store::{
        Changes, Expect, Listing, OperationId, Platform, PlatformError, Result as Answer, Version,
        VersionedObject, new_operation_id,
    },
};

fn proposal(sequence: u64) -> Proposal {
    with_blocks(sequence, "")
}

fn with_blocks(sequence: u64, blocks: &str) -> Proposal {
    let blocks = parse_blocks(blocks).unwrap();
    let (signed, parts) = sign_with_blocks(&numbered(sequence), &blocks, &key(1)).unwrap();
    Proposal { member: "himalaya-tara".into(), parts, signed }
}

async fn offer(platform: &dyn Platform, proposal: &Proposal) -> Result<AcceptOutcome, AcceptError> {
    accept(platform, proposal, &key(1).verifying_key(), &LoadShares::uniform(0.1)).await
}

async fn held(platform: &dyn Platform) -> Option<Sequence> {
    let mut store = ManifestStore::new("himalaya-tara".into(), key(1).verifying_key());
    fetch(platform, &"himalaya-tara".into(), &mut store).await.unwrap();
    store.sequence()
}

/// Lets another pipeline act between this one's reading of the head and its write, or between its
/// write and the answer to it, which is then lost.
struct Raced {
    after: Mutex<Option<Proposal>>,
    before: Mutex<Option<Proposal>>,
    door: Door,
}

impl Raced {
    fn new(standin: &PlatformStandin, before: Option<Proposal>, after: Option<Proposal>) -> Self {
        Self { after: Mutex::new(after), before: Mutex::new(before), door: standin.open_door() }
    }
}

#[async_trait]
impl Platform for Raced {
    async fn delete(&self, key: &str, expect: Expect, op: OperationId) -> Answer<Version> {
        self.door.delete(key, expect, op).await
    }

    async fn get(&self, key: &str) -> Answer<Option<VersionedObject>> {
        self.door.get(key).await
    }

    async fn list(&self, prefix: &str) -> Answer<Listing> {
        self.door.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        op: OperationId,
    ) -> Answer<Version> {
        let is_head = key == Head::key("himalaya-tara");
        let before = self.before.lock().unwrap().take_if(|_| is_head);
        if let Some(before) = before {
            offer(&self.door, &before).await.unwrap();
        }
        let written = self.door.put(key, expect, value, op).await;
        let after = self.after.lock().unwrap().take_if(|_| is_head);
        if let Some(after) = after {
            offer(&self.door, &after).await.unwrap();
            return Err(PlatformError::Unavailable {
                detail: "lost".into(),
                may_have_applied: true,
            });
        }
        written
    }

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> Answer<Changes> {
        self.door.watch(prefix, from, wait).await
    }
}

#[tokio::test]
async fn only_a_higher_one_of_the_member_itself_is_accepted() {
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    assert_matches!(offer(door, &proposal(7)).await, Ok(AcceptOutcome::Accepted { .. }));
    assert_eq!(offer(door, &proposal(7)).await, Ok(AcceptOutcome::Unchanged));
    assert_eq!(offer(door, &proposal(6)).await, Err(AcceptError::Older { accepted: 7 }));
    let mut other = proposal(7);
    other.signed = sign(&numbered(7).replace("slots: 3", "slots: 4"), &key(1)).unwrap();
    let conflict = ManifestError::Conflict { sequence: 7 };
    assert_eq!(offer(door, &other).await, Err(AcceptError::Refused(conflict)));
    let rival = Proposal { signed: sign(&numbered(9), &key(2)).unwrap(), ..proposal(9) };
    assert_eq!(
        offer(door, &rival).await,
        Err(AcceptError::Refused(ManifestError::InvalidSignature))
    );
    let member = Proposal { member: "gradski-servis".into(), ..proposal(9) };
    assert_matches!(
        offer(door, &member).await,
        Err(AcceptError::Refused(ManifestError::OtherMember(_)))
    );
    assert_eq!(door.counts().writes, 1);
    assert_eq!(held(door).await, Some(7));
}

#[tokio::test]
async fn a_change_past_the_limits_is_refused_with_its_figure() {
    let standin = PlatformStandin::in_memory();
    offer(standin.door(), &proposal(7)).await.unwrap();
    let text = numbered(8).replace("- zone: bagmati-b", "- zone: bagmati-a");
    let drained = Proposal { signed: sign(&text, &key(1)).unwrap(), ..proposal(8) };
    let err = offer(standin.door(), &drained).await.unwrap_err();
    assert!(err.to_string().contains("100.0 % of bagmati's traffic"), "{err}");
    assert_eq!(held(standin.door()).await, Some(7));
}

#[tokio::test]
async fn of_two_racing_pipelines_one_wins_and_one_is_told() {
    // Both read sequence 7. The second one writes while the first is still comparing. The first
    // one's write would take back what the second one set; it must fail, and say who won.
    let standin = PlatformStandin::in_memory();
    offer(standin.door(), &proposal(7)).await.unwrap();
    let raced = Raced::new(&standin, Some(proposal(8)), None);
    assert_eq!(offer(&raced, &proposal(9)).await, Err(AcceptError::Conflict { accepted: 8 }));
    assert_eq!(held(standin.door()).await, Some(8));
}

#[tokio::test]
async fn a_lost_answer_and_a_racing_pipeline_are_told_apart() {
    // The write takes effect, its answer is lost, and before the pipeline reads back another one
    // is accepted on top of it. Reading back finds the other's operation: told "conflict", the
    // pipeline would believe that its targets were never in force. The head's history shows it.
    let standin = PlatformStandin::in_memory();
    let raced = Raced::new(&standin, None, Some(proposal(8)));
    assert_eq!(offer(&raced, &proposal(7)).await, Ok(AcceptOutcome::Superseded { by: 8 }));
    assert_eq!(held(standin.door()).await, Some(8));
}

#[tokio::test(start_paused = true)]
async fn a_platform_that_is_down_is_told_and_nothing_changes() {
    let standin = PlatformStandin::in_memory();
    offer(standin.door(), &proposal(7)).await.unwrap();
    standin.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    let err = offer(standin.door(), &proposal(8)).await;
    assert_matches!(err, Err(AcceptError::Platform(PlatformError::Unavailable { .. })));
    standin.set_faults(Faults { delay_ms: 1500, lose_answers: 3, ..Faults::default() });
    assert_matches!(offer(standin.door(), &proposal(8)).await, Ok(AcceptOutcome::Accepted { .. }));
}

#[tokio::test]
async fn what_a_rival_wrote_over_the_head_does_not_stay() {
    // A rival with write access replaces the head by garbage, or by a well-formed head that its own
    // key signed with a high number. Hosts refuse it and keep theirs; the member's next manifest
    // takes its place.
    let signed = sign(&numbered(1000), &key(2)).unwrap();
    let forged = Head { history: Vec::new(), signed }.encode().unwrap();
    for written in [Bytes::from("garbage"), forged] {
        let standin = PlatformStandin::in_memory();
        let door = standin.door();
        offer(door, &proposal(7)).await.unwrap();
        let key = Head::key("himalaya-tara");
        let expect = Expect::unchanged(door.get(&key).await.unwrap().as_ref());
        door.put(&key, expect, written, new_operation_id()).await.unwrap();
        assert_eq!(held(door).await, None);
        assert_matches!(offer(door, &proposal(8)).await, Ok(AcceptOutcome::Accepted { .. }));
        assert_eq!(held(door).await, Some(8));
    }
}

#[tokio::test]
async fn parts_come_before_the_head_and_old_ones_go() {
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    let mut counts = Vec::new();
    for (sequence, block) in [(7, "10.2.0.0/16"), (8, "10.3.0.0/16"), (9, "10.4.0.0/16")] {
        let proposal = with_blocks(sequence, &format!("{block} bagmati"));
        assert_matches!(offer(door, &proposal).await, Ok(AcceptOutcome::Accepted { .. }));
        counts.push(door.list("manifest-parts/").await.unwrap().entries.len());
    }
    // The replaced head's parts stay for its readers; the ones before it are gone.
    assert_eq!(counts, [1, 2, 2]);
    assert_eq!(held(door).await, Some(9));
}

#[tokio::test]
async fn a_clean_up_takes_no_parts_from_a_pipeline_under_way() {
    // One pipeline has written its parts and not yet its head when another is accepted, which
    // cleans up. Its parts must stay until its own write has failed.
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    offer(door, &proposal(7)).await.unwrap();
    let slow = with_blocks(9, "10.2.0.0/16 bagmati");
    let raced = Raced::new(&standin, Some(with_blocks(8, "10.3.0.0/16 bagmati")), None);
    assert_eq!(offer(&raced, &slow).await, Err(AcceptError::Conflict { accepted: 8 }));
    assert_eq!(door.list("manifest-parts/").await.unwrap().entries.len(), 2);
    assert_matches!(offer(door, &slow).await, Ok(AcceptOutcome::Accepted { .. }));
    assert_eq!(held(door).await, Some(9));
}
