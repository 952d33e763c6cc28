//! Accepting a manifest: one conditional update of the member's head decides.

use ed25519_dalek::VerifyingKey;

use super::{
    Acceptance, Head, LoadShares, Manifest, ManifestDiff, ManifestError, Part, PartId,
    SignedManifest, diff_with_loads, fetch::fetch_parts,
};
use crate::{
    prelude::*,
    store::{
        Expect, OperationId, Platform, PlatformError, PutOutcome, Version, VersionedObject,
        new_operation_id, put_confirmed,
    },
};

/// Result of an attempt at acceptance.
pub type Result<T> = std::result::Result<T, AcceptError>;

/// A signed manifest and the parts that it names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    pub member: MemberId,
    #[serde(default)]
    pub parts: Vec<Part>,
    pub signed: SignedManifest,
}

/// How an attempt ended well.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// It is the accepted one now.
    Accepted { change: ManifestDiff, version: Version },
    /// It was the accepted one already: nothing was changed.
    Unchanged,
    /// It was accepted, and a later one has replaced it since.
    Superseded { by: Sequence },
}

/// Why a manifest was not accepted. Nothing in force changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AcceptError {
    #[error("it would break {} limits: {}", .0.breaches.len(), breaches(.0))]
    LimitsExceeded(ManifestDiff),
    #[error(
        "another pipeline was faster: sequence {accepted} is accepted now; build on it and try again"
    )]
    Conflict { accepted: Sequence },
    #[error("sequence {accepted} is accepted already; give this one a higher sequence")]
    Older { accepted: Sequence },
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error(transparent)]
    Refused(#[from] ManifestError),
    #[error("the manifest is larger than one object; give its client blocks with `sign --blocks`")]
    TooLarge,
    #[error("no answer came and it can't be told whether it was accepted; apply it again")]
    OutcomeUnknown,
}

/// The accepted manifest, as found on the platform.
struct AcceptedState {
    head: Option<Head>,
    manifest: Option<Manifest>,
    object: Option<VersionedObject>,
}

/// Verifies, compares and, unless a limit breaks, writes parts first and the head last.
pub async fn accept(
    platform: &dyn Platform,
    proposal: &Proposal,
    key: &VerifyingKey,
    loads: &LoadShares,
) -> Result<AcceptOutcome> {
    let manifest = verified(proposal, key)?;
    let held = read_accepted(platform, &proposal.member, key).await?;
    if is_same(&held, &proposal.signed) {
        return Ok(AcceptOutcome::Unchanged);
    }
    let change = check_change(&held, &manifest, loads)?;
    let operation = new_operation_id();
    let done = Acceptance {
        digest: proposal.signed.digest(),
        operation: operation.clone(),
        sequence: manifest.sequence,
    };
    let head = Head::next(held.head.as_ref(), proposal.signed.clone(), done);
    let value = head.encode().ok_or(AcceptError::TooLarge)?;
    write_parts(platform, proposal, &held).await?;
    let head_key = Head::key(&proposal.member);
    let expect = Expect::unchanged(held.object.as_ref());
    match put_confirmed(platform, &head_key, expect, value, operation.clone()).await {
        Ok(PutOutcome::Written(version)) => {
            // What is left over costs room only: a failure here is made good by the next one.
            let _ = delete_unused_parts(platform, &proposal.member, &head, &held).await;
            Ok(AcceptOutcome::Accepted { change, version })
        }
        Ok(PutOutcome::Conflict { current, uncertain }) => {
            resolve_conflict(current, uncertain, &operation, &proposal.member, key)
        }
        Err(PlatformError::Unavailable { may_have_applied: true, .. }) => {
            Err(AcceptError::OutcomeUnknown)
        }
        Err(err) => Err(err.into()),
    }
}

/// What `accept` would change; writes nothing.
pub async fn preview(
    platform: &dyn Platform,
    proposal: &Proposal,
    key: &VerifyingKey,
    loads: &LoadShares,
) -> Result<ManifestDiff> {
    let manifest = verified(proposal, key)?;
    let held = read_accepted(platform, &proposal.member, key).await?;
    if is_same(&held, &proposal.signed) {
        return Ok(ManifestDiff::default());
    }
    check_change(&held, &manifest, loads)
}

fn verified(proposal: &Proposal, key: &VerifyingKey) -> Result<Manifest> {
    let head = proposal.signed.verify(&proposal.member, key)?;
    Ok(proposal.signed.assemble(head, &proposal.parts)?)
}

fn is_same(held: &AcceptedState, signed: &SignedManifest) -> bool {
    let digest = held.head.as_ref().map(|head| head.signed.digest());
    held.manifest.is_some() && digest == Some(signed.digest())
}

fn check_change(held: &AcceptedState, new: &Manifest, loads: &LoadShares) -> Result<ManifestDiff> {
    let Some(old) = &held.manifest else { return Ok(ManifestDiff::default()) };
    if new.sequence < old.sequence {
        return Err(AcceptError::Older { accepted: old.sequence });
    }
    if new.sequence == old.sequence {
        return Err(ManifestError::Conflict { sequence: old.sequence }.into());
    }
    let change = diff_with_loads(old, new, loads);
    if change.breaches.is_empty() { Ok(change) } else { Err(AcceptError::LimitsExceeded(change)) }
}

/// Reads the accepted manifest. What does not verify was not put there by the member's pipeline:
/// it counts as absent, so that a rival's garbage can't keep the member from its own settings.
async fn read_accepted(
    platform: &dyn Platform,
    member: &MemberId,
    key: &VerifyingKey,
) -> Result<AcceptedState> {
    let object = platform.get(&Head::key(member)).await?;
    let mut held = AcceptedState { head: None, manifest: None, object };
    let Some(head) = held.object.as_ref().and_then(|object| Head::decode(&object.value)) else {
        return Ok(held);
    };
    let Ok(manifest) = head.signed.verify(member, key) else { return Ok(held) };
    let parts = fetch_parts(platform, member, &head.signed.parts).await?;
    // Without its parts the old manifest still has a sequence and limits to compare with.
    let whole = head.signed.assemble(manifest.clone(), &parts);
    held.manifest = Some(whole.unwrap_or(manifest));
    held.head = Some(head);
    Ok(held)
}

/// Writes each part that the accepted head does not name, also one that is there already: the write
/// raises its version, which keeps another pipeline's clean-up from removing it (see `delete_unused_parts`).
async fn write_parts(
    platform: &dyn Platform,
    proposal: &Proposal,
    held: &AcceptedState,
) -> Result<()> {
    let named = held.head.as_ref().map(|head| &head.signed.parts[..]).unwrap_or_default();
    for part in &proposal.parts {
        let key = Head::part_key(&proposal.member, &part.id());
        let found = platform.get(&key).await?;
        let value = bytes::Bytes::copy_from_slice(part.text.as_bytes());
        let is_whole = found.as_ref().is_some_and(|object| object.value == value);
        if is_whole && named.contains(&part.id()) {
            continue;
        }
        let expect = Expect::unchanged(found.as_ref());
        match put_confirmed(platform, &key, expect, value.clone(), new_operation_id()).await? {
            PutOutcome::Written(_) => {}
            // The content is in the name: whoever wrote it, it is the same, or it is garbage.
            PutOutcome::Conflict { current: Some(current), .. } if current.value == value => {}
            PutOutcome::Conflict { .. } => {
                return Err(AcceptError::Refused(ManifestError::PartsMismatch));
            }
        }
    }
    Ok(())
}

/// Removes parts that neither the new nor the replaced head names and that are older than the
/// replaced head.
///
/// Safe against a pipeline that has written its parts and not yet its head: it read the head first
/// and wrote the parts after, so parts older than the replaced head belong to an attempt whose own
/// conditional update can only fail. Readers of the replaced head still find its parts; readers of
/// an older one find some missing and read the head again.
async fn delete_unused_parts(
    platform: &dyn Platform,
    member: &MemberId,
    head: &Head,
    replaced: &AcceptedState,
) -> crate::store::Result<()> {
    let Some(before) = &replaced.object else { return Ok(()) };
    let kept = replaced.head.as_ref().map(|head| &head.signed.parts[..]).unwrap_or_default();
    let prefix = Head::parts_prefix(member);
    for found in platform.keys(&prefix).await? {
        let id: PartId = found.key[prefix.len()..].into();
        let is_named = head.signed.parts.contains(&id) || kept.contains(&id);
        if !is_named && found.version < before.version {
            let expect = Expect::Version(found.version);
            match platform.delete(&found.key, expect, new_operation_id()).await {
                Ok(_) | Err(PlatformError::Conflict { .. }) => {}
                Err(err) => return Err(err),
            }
        }
    }
    Ok(())
}

fn resolve_conflict(
    current: Option<VersionedObject>,
    uncertain: bool,
    operation: &OperationId,
    member: &MemberId,
    key: &VerifyingKey,
) -> Result<AcceptOutcome> {
    let head = current.and_then(|object| Head::decode(&object.value));
    let Some(head) = head else { return Err(AcceptError::OutcomeUnknown) };
    let accepted = head.signed.verify(member, key).map(|manifest| manifest.sequence).unwrap_or(0);
    if uncertain && head.has_accepted(operation) {
        return Ok(AcceptOutcome::Superseded { by: accepted });
    }
    Err(AcceptError::Conflict { accepted })
}

fn breaches(change: &ManifestDiff) -> String {
    let breaches: Vec<String> = change.breaches.iter().map(ToString::to_string).collect();
    breaches.join("; ")
}
