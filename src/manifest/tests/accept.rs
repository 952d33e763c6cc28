use std::sync::Mutex;

use assert_matches::assert_matches;
use async_trait::async_trait;
use bytes::Bytes;

use super::*;
use crate::{
    prelude::*,
    standin::platform::{Door, Faults, Outage, PlatformStandin},
    store::{
        Changes, Expect, Listing, OperationId, Platform, PlatformError, Result as StoreResult,
        Version, VersionedObject, new_operation_id,
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

async fn accepted_sequence(platform: &dyn Platform) -> Option<Sequence> {
    let mut store = ManifestStore::new("himalaya-tara".into(), key(1).verifying_key());
    fetch(platform, &"himalaya-tara".into(), &mut store).await.unwrap();
    store.sequence()
}

/// A platform on which another pipeline is accepted between a read of the head and its write
/// (`before`), or after the write, whose response is then lost (`after`).
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
    async fn delete(&self, key: &str, expect: Expect, op: OperationId) -> StoreResult<Version> {
        self.door.delete(key, expect, op).await
    }

    async fn get(&self, key: &str) -> StoreResult<Option<VersionedObject>> {
        self.door.get(key).await
    }

    async fn list(&self, prefix: &str) -> StoreResult<Listing> {
        self.door.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        expect: Expect,
        value: Bytes,
        op: OperationId,
    ) -> StoreResult<Version> {
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

    async fn watch(&self, prefix: &str, from: Version, wait: Duration) -> StoreResult<Changes> {
        self.door.watch(prefix, from, wait).await
    }
}

#[tokio::test]
async fn accepts_only_higher_sequence_of_same_member() {
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    assert_matches!(offer(door, &proposal(7)).await, Ok(AcceptOutcome::Accepted { .. }));
    assert_eq!(offer(door, &proposal(7)).await, Ok(AcceptOutcome::Unchanged));
    assert_eq!(offer(door, &proposal(6)).await, Err(AcceptError::Older { accepted: 7 }));
    let mut other = proposal(7);
    other.signed = sign(&numbered(7).replace("slots: 3", "slots: 4"), &key(1)).unwrap();
    let conflict = ManifestError::Conflict { sequence: 7 };
    assert_eq!(offer(door, &other).await, Err(AcceptError::Refused(conflict)));
    let forged = Proposal { signed: sign(&numbered(9), &key(2)).unwrap(), ..proposal(9) };
    assert_eq!(
        offer(door, &forged).await,
        Err(AcceptError::Refused(ManifestError::InvalidSignature))
    );
    let other_member = Proposal { member: "gradski-servis".into(), ..proposal(9) };
    assert_matches!(
        offer(door, &other_member).await,
        Err(AcceptError::Refused(ManifestError::OtherMember(_)))
    );
    assert_eq!(door.counts().writes, 1);
    assert_eq!(accepted_sequence(door).await, Some(7));
}

#[tokio::test]
async fn rejects_change_that_exceeds_limits() {
    let standin = PlatformStandin::in_memory();
    offer(standin.door(), &proposal(7)).await.unwrap();
    let text = numbered(8).replace("- zone: bagmati-b", "- zone: bagmati-a");
    let drained = Proposal { signed: sign(&text, &key(1)).unwrap(), ..proposal(8) };
    let err = offer(standin.door(), &drained).await.unwrap_err();
    assert!(err.to_string().contains("100.0 % of bagmati's traffic"), "{err}");
    assert_eq!(accepted_sequence(standin.door()).await, Some(7));
}

#[tokio::test]
async fn concurrent_pipelines_conflict() {
    // Both pipelines read sequence 7. The second writes while the first is still comparing. The
    // first one's write would undo the second one's change; it must fail and report the sequence
    // that won.
    let standin = PlatformStandin::in_memory();
    offer(standin.door(), &proposal(7)).await.unwrap();
    let raced = Raced::new(&standin, Some(proposal(8)), None);
    assert_eq!(offer(&raced, &proposal(9)).await, Err(AcceptError::Conflict { accepted: 8 }));
    assert_eq!(accepted_sequence(standin.door()).await, Some(8));
}

#[tokio::test]
async fn lost_response_followed_by_another_write_is_not_a_conflict() {
    // The write takes effect, its response is lost, and another manifest is accepted before the
    // pipeline reads the head back. The head then has the other operation. If that were reported as
    // a conflict, the pipeline would assume that its targets were never in force. The history shows
    // that they were.
    let standin = PlatformStandin::in_memory();
    let raced = Raced::new(&standin, None, Some(proposal(8)));
    assert_eq!(offer(&raced, &proposal(7)).await, Ok(AcceptOutcome::Superseded { by: 8 }));
    assert_eq!(accepted_sequence(standin.door()).await, Some(8));
}

#[tokio::test(start_paused = true)]
async fn reports_platform_outage_and_retries_lost_responses() {
    let standin = PlatformStandin::in_memory();
    offer(standin.door(), &proposal(7)).await.unwrap();
    standin.set_faults(Faults { outage: Outage::Refuse, ..Faults::default() });
    let err = offer(standin.door(), &proposal(8)).await;
    assert_matches!(err, Err(AcceptError::Platform(PlatformError::Unavailable { .. })));
    standin.set_faults(Faults { delay_ms: 1500, lose_answers: 3, ..Faults::default() });
    assert_matches!(offer(standin.door(), &proposal(8)).await, Ok(AcceptOutcome::Accepted { .. }));
}

#[tokio::test]
async fn forged_head_does_not_block_next_manifest() {
    // An attacker with write access replaces the head by garbage, or by a well-formed head with a
    // high sequence signed with another key. Hosts refuse it and keep their manifest, and the
    // member's next manifest replaces it.
    let signed = sign(&numbered(1000), &key(2)).unwrap();
    let forged = Head { history: Vec::new(), signed }.encode().unwrap();
    for written in [Bytes::from("garbage"), forged] {
        let standin = PlatformStandin::in_memory();
        let door = standin.door();
        offer(door, &proposal(7)).await.unwrap();
        let key = Head::key("himalaya-tara");
        let expect = Expect::unchanged(door.get(&key).await.unwrap().as_ref());
        door.put(&key, expect, written, new_operation_id()).await.unwrap();
        assert_eq!(accepted_sequence(door).await, None);
        assert_matches!(offer(door, &proposal(8)).await, Ok(AcceptOutcome::Accepted { .. }));
        assert_eq!(accepted_sequence(door).await, Some(8));
    }
}

#[tokio::test]
async fn deletes_unreferenced_parts() {
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    let mut counts = Vec::new();
    for (sequence, block) in [(7, "10.2.0.0/16"), (8, "10.3.0.0/16"), (9, "10.4.0.0/16")] {
        let proposal = with_blocks(sequence, &format!("{block} bagmati"));
        assert_matches!(offer(door, &proposal).await, Ok(AcceptOutcome::Accepted { .. }));
        counts.push(door.list("manifest-parts/").await.unwrap().entries.len());
    }
    // The parts of the replaced head stay for its readers; those of older heads are deleted.
    assert_eq!(counts, [1, 2, 2]);
    assert_eq!(accepted_sequence(door).await, Some(9));
}

#[tokio::test]
async fn keeps_parts_of_concurrent_pipeline() {
    // One pipeline has written its parts but not yet its head when another manifest is accepted,
    // which deletes unreferenced parts. The first one's parts must stay until its own write has
    // failed.
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    offer(door, &proposal(7)).await.unwrap();
    let slow = with_blocks(9, "10.2.0.0/16 bagmati");
    let raced = Raced::new(&standin, Some(with_blocks(8, "10.3.0.0/16 bagmati")), None);
    assert_eq!(offer(&raced, &slow).await, Err(AcceptError::Conflict { accepted: 8 }));
    assert_eq!(door.list("manifest-parts/").await.unwrap().entries.len(), 2);
    assert_matches!(offer(door, &slow).await, Ok(AcceptOutcome::Accepted { .. }));
    assert_eq!(accepted_sequence(door).await, Some(9));
}
