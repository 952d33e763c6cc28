//! Publishes a manifest on the platform by one conditional write of the member's head object.

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

/// Result of `accept` or `preview`.
pub type Result<T> = std::result::Result<T, AcceptError>;

/// A signed manifest with the client-block parts that it refers to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    pub member: MemberId,
    #[serde(default)]
    pub parts: Vec<Part>,
    pub signed: SignedManifest,
}

/// Outcome of a successful `accept`.
#[derive(Clone, Debug, PartialEq)]
pub enum AcceptOutcome {
    /// The manifest was accepted.
    Accepted { change: ManifestDiff, version: Version },
    /// It was already the accepted one; nothing was written.
    Unchanged,
    /// It was accepted, and a later one has replaced it since then.
    Superseded { by: Sequence },
}

/// Why a manifest was not accepted. Unless the variant says otherwise, nothing in force changed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AcceptError {
    #[error("the change would exceed {} limits: {}", .0.breaches.len(), describe_breaches(.0))]
    LimitsExceeded(ManifestDiff),
    #[error(
        "sequence {accepted} from another pipeline was accepted first; build on it and try again"
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
    #[error("no response to the write: it is unknown whether it was accepted; apply it again")]
    OutcomeUnknown,
}

/// The accepted manifest as stored on the platform.
struct AcceptedState {
    head: Option<Head>,
    manifest: Option<Manifest>,
    object: Option<VersionedObject>,
}

/// Verifies the proposal, compares it with the accepted manifest and, unless a limit is exceeded,
/// writes the parts first and the head last.
pub async fn accept(
    platform: &dyn Platform,
    proposal: &Proposal,
    key: &VerifyingKey,
    loads: &LoadShares,
) -> Result<AcceptOutcome> {
    let manifest = verified(proposal, key)?;
    let accepted = read_accepted(platform, &proposal.member, key).await?;
    if is_same(&accepted, &proposal.signed) {
        return Ok(AcceptOutcome::Unchanged);
    }
    let change = check_change(&accepted, &manifest, loads)?;
    let operation = new_operation_id();
    let acceptance = Acceptance {
        digest: proposal.signed.digest(),
        operation: operation.clone(),
        sequence: manifest.sequence,
    };
    let head = Head::next(accepted.head.as_ref(), proposal.signed.clone(), acceptance);
    let value = head.encode().ok_or(AcceptError::TooLarge)?;
    write_parts(platform, proposal, &accepted).await?;
    let head_key = Head::key(&proposal.member);
    let expect = Expect::unchanged(accepted.object.as_ref());
    match put_confirmed(platform, &head_key, expect, value, operation.clone()).await {
        Ok(PutOutcome::Written(version)) => {
            // Leftover parts only cost storage; the next accepted manifest deletes them.
            let _ = delete_unused_parts(platform, &proposal.member, &head, &accepted).await;
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

/// Returns what `accept` would change; writes nothing.
pub async fn preview(
    platform: &dyn Platform,
    proposal: &Proposal,
    key: &VerifyingKey,
    loads: &LoadShares,
) -> Result<ManifestDiff> {
    let manifest = verified(proposal, key)?;
    let accepted = read_accepted(platform, &proposal.member, key).await?;
    if is_same(&accepted, &proposal.signed) {
        return Ok(ManifestDiff::default());
    }
    check_change(&accepted, &manifest, loads)
}

fn verified(proposal: &Proposal, key: &VerifyingKey) -> Result<Manifest> {
    let manifest = proposal.signed.verify(&proposal.member, key)?;
    Ok(proposal.signed.assemble(manifest, &proposal.parts)?)
}

fn is_same(accepted: &AcceptedState, signed: &SignedManifest) -> bool {
    let digest = accepted.head.as_ref().map(|head| head.signed.digest());
    accepted.manifest.is_some() && digest == Some(signed.digest())
}

/// Compares `new` with the accepted manifest and checks its sequence and the limits.
fn check_change(
    accepted: &AcceptedState,
    new: &Manifest,
    loads: &LoadShares,
) -> Result<ManifestDiff> {
    let Some(old) = &accepted.manifest else { return Ok(ManifestDiff::default()) };
    if new.sequence < old.sequence {
        return Err(AcceptError::Older { accepted: old.sequence });
    }
    if new.sequence == old.sequence {
        return Err(ManifestError::Conflict { sequence: old.sequence }.into());
    }
    let change = diff_with_loads(old, new, loads);
    if change.breaches.is_empty() { Ok(change) } else { Err(AcceptError::LimitsExceeded(change)) }
}

/// Reads the accepted manifest. An object that does not verify was not written by the member's
/// pipeline. It is treated as absent, so that it can't block the member's next manifest.
async fn read_accepted(
    platform: &dyn Platform,
    member: &MemberId,
    key: &VerifyingKey,
) -> Result<AcceptedState> {
    let object = platform.get(&Head::key(member)).await?;
    let mut accepted = AcceptedState { head: None, manifest: None, object };
    let Some(head) = accepted.object.as_ref().and_then(|object| Head::decode(&object.value)) else {
        return Ok(accepted);
    };
    let Ok(manifest) = head.signed.verify(member, key) else { return Ok(accepted) };
    let parts = fetch_parts(platform, member, &head.signed.parts).await?;
    // Without its parts the accepted manifest still has a sequence and limits to compare with.
    let assembled = head.signed.assemble(manifest.clone(), &parts);
    accepted.manifest = Some(assembled.unwrap_or(manifest));
    accepted.head = Some(head);
    Ok(accepted)
}

/// Writes each part that the accepted head does not refer to, even if it already exists: the write
/// raises its version, which protects it from another pipeline's `delete_unused_parts`.
async fn write_parts(
    platform: &dyn Platform,
    proposal: &Proposal,
    accepted: &AcceptedState,
) -> Result<()> {
    let referenced = accepted.head.as_ref().map(|head| &head.signed.parts[..]).unwrap_or_default();
    for part in &proposal.parts {
        let key = Head::part_key(&proposal.member, &part.id());
        let found = platform.get(&key).await?;
        let value = bytes::Bytes::copy_from_slice(part.text.as_bytes());
        let is_intact = found.as_ref().is_some_and(|object| object.value == value);
        if is_intact && referenced.contains(&part.id()) {
            continue;
        }
        let expect = Expect::unchanged(found.as_ref());
        match put_confirmed(platform, &key, expect, value.clone(), new_operation_id()).await? {
            PutOutcome::Written(_) => {}
            // The id is a hash of the content, so an equal value is the same part whoever wrote it.
            PutOutcome::Conflict { current: Some(current), .. } if current.value == value => {}
            PutOutcome::Conflict { .. } => {
                return Err(AcceptError::Refused(ManifestError::PartsMismatch));
            }
        }
    }
    Ok(())
}

/// Deletes parts that neither the new nor the replaced head refers to and that are older than the
/// replaced head.
///
/// Safe against a concurrent pipeline that has written its parts but not yet its head: it reads the
/// head before it writes the parts, so parts older than the replaced head belong to an attempt
/// whose conditional write can only fail. Readers of the replaced head still find its parts;
/// readers of an older head find some missing and read the head again.
async fn delete_unused_parts(
    platform: &dyn Platform,
    member: &MemberId,
    head: &Head,
    replaced: &AcceptedState,
) -> crate::store::Result<()> {
    let Some(replaced_head) = &replaced.object else { return Ok(()) };
    let replaced_ids =
        replaced.head.as_ref().map(|head| &head.signed.parts[..]).unwrap_or_default();
    let prefix = Head::parts_prefix(member);
    for found in platform.keys(&prefix).await? {
        let id: PartId = found.key[prefix.len()..].into();
        let is_referenced = head.signed.parts.contains(&id) || replaced_ids.contains(&id);
        if !is_referenced && found.version < replaced_head.version {
            let expect = Expect::Version(found.version);
            match platform.delete(&found.key, expect, new_operation_id()).await {
                Ok(_) | Err(PlatformError::Conflict { .. }) => {}
                Err(err) => return Err(err),
            }
        }
    }
    Ok(())
}

/// Decides how the attempt ended after a conditional write found another head. If the result of the
/// write is uncertain, the history of that head tells whether it took effect.
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

fn describe_breaches(change: &ManifestDiff) -> String {
    let breaches: Vec<String> = change.breaches.iter().map(ToString::to_string).collect();
    breaches.join("; ")
}
