//! The verified manifest with the highest sequence that a host has received.

use ed25519_dalek::VerifyingKey;

use super::{Manifest, Part, PartError, PartId, SignedManifest, signed::assemble_parts};
use crate::{base::invariant, lookup::BlockPart, prelude::*};

/// Why a manifest was refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ManifestError {
    #[error(
        "sequence {sequence} is in force with other content; give the new one a higher sequence"
    )]
    Conflict { sequence: Sequence },
    #[error("the manifest is not valid: {0}")]
    Invalid(Arc<str>),
    #[error("the manifest belongs to member {0}")]
    OtherMember(MemberId),
    #[error("the client blocks don't match the part ids in the manifest")]
    PartsMismatch,
    #[error("the signature does not match the member's key")]
    InvalidSignature,
    #[error("the manifest exceeds the size limit")]
    TooLarge,
}

impl ManifestError {
    pub(super) fn invalid(why: impl std::fmt::Display) -> Self {
        ManifestError::Invalid(why.to_string().into())
    }
}

/// Result of offering a manifest to a store.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// These parts are missing: pass them to `add_part`, then offer the manifest again.
    Missing(Vec<PartId>),
    /// The manifest is now in force.
    Newer(Arc<Manifest>),
    /// A manifest with a higher sequence is in force.
    Older,
    Refused(ManifestError),
    /// The manifest was already in force.
    Same,
}

/// Verifies offered manifests and puts one in force only if its sequence is higher. Verification
/// uses the member's public key, so that neither the platform nor a peer can put another member's
/// or an older manifest in force.
#[derive(Debug)]
pub struct ManifestStore {
    current: Option<CurrentManifest>,
    key: VerifyingKey,
    member: MemberId,
    /// Parts of the manifest in force and of the pending one.
    parts: BTreeMap<PartId, CachedPart>,
    pending: Option<PendingManifest>,
}

/// A part whose content matches its id, decoded once: decoding all parts again for every manifest
/// would exceed a host's CPU budget at thousands of changes a day.
#[derive(Debug)]
struct CachedPart {
    blocks: Result<Arc<BlockPart>, PartError>,
    part: Part,
}

/// A verified manifest that lacks parts. Kept decoded until it is offered again with its parts:
/// verifying and decoding the text twice would cost a host as much as processing the changed part.
#[derive(Debug)]
struct PendingManifest {
    /// Without the client blocks of the parts.
    manifest: Manifest,
    signed: SignedManifest,
}

#[derive(Debug)]
struct CurrentManifest {
    manifest: Arc<Manifest>,
    signed: Arc<SignedManifest>,
}

impl ManifestStore {
    /// Creates an empty store for one member.
    pub fn new(member: MemberId, key: VerifyingKey) -> Self {
        Self { current: None, key, member, parts: BTreeMap::new(), pending: None }
    }

    /// Puts `signed` in force if it is valid, belongs to this member and has a higher sequence than
    /// the manifest in force.
    pub fn offer(&mut self, signed: SignedManifest) -> OfferOutcome {
        // Peers keep offering the manifest in force; skip its signature check.
        if self.current.as_ref().is_some_and(|current| *current.signed == signed) {
            return OfferOutcome::Same;
        }
        let manifest = match self.verified(&signed) {
            Ok(manifest) => manifest,
            Err(reason) => return OfferOutcome::Refused(reason),
        };
        if let Some(current) = &self.current {
            let current_sequence = current.manifest.sequence;
            if manifest.sequence < current_sequence {
                return OfferOutcome::Older;
            }
            if manifest.sequence == current_sequence && signed.digest() == current.signed.digest() {
                return OfferOutcome::Same;
            }
            if manifest.sequence == current_sequence {
                return OfferOutcome::Refused(ManifestError::Conflict {
                    sequence: current_sequence,
                });
            }
        }
        self.apply_verified(manifest, signed)
    }

    /// Stores a part of the pending manifest. Returns `false` for any other part.
    pub fn add_part(&mut self, part: Part) -> bool {
        let id = part.id();
        let is_needed =
            self.pending.as_ref().is_some_and(|pending| pending.signed.parts.contains(&id));
        if !is_needed {
            return false;
        }
        let blocks = part.build_table().map(Arc::new);
        self.parts.insert(id, CachedPart { blocks, part });
        true
    }

    /// Returns a stored part, for peers that lack it.
    pub fn part(&self, id: &str) -> Option<&Part> {
        self.parts.get(id).map(|cached| &cached.part)
    }

    /// The manifest in force, decoded and signed.
    pub fn current(&self) -> Option<(Arc<Manifest>, Arc<SignedManifest>)> {
        let current = self.current.as_ref()?;
        Some((current.manifest.clone(), current.signed.clone()))
    }

    /// Sequence of the manifest in force.
    pub fn sequence(&self) -> Option<Sequence> {
        self.current.as_ref().map(|current| current.manifest.sequence)
    }

    fn verified(&self, signed: &SignedManifest) -> Result<Manifest, ManifestError> {
        match &self.pending {
            Some(pending) if pending.signed == *signed => Ok(pending.manifest.clone()),
            _ => signed.verify(&self.member, &self.key),
        }
    }

    /// Puts a verified manifest in force, or keeps it as pending if parts are missing.
    fn apply_verified(&mut self, manifest: Manifest, signed: SignedManifest) -> OfferOutcome {
        let is_missing = |id: &&PartId| !self.parts.contains_key(*id);
        let missing: Vec<PartId> = signed.parts.iter().filter(is_missing).cloned().collect();
        if !missing.is_empty() {
            self.pending = Some(PendingManifest { manifest, signed });
            return OfferOutcome::Missing(missing);
        }
        let blocks = signed.parts.iter().map(|id| self.parts[id].blocks.clone());
        let assembled = match blocks.collect::<Result<Vec<_>, PartError>>() {
            Ok(blocks) => assemble_parts(manifest, &blocks),
            Err(err) => Err(ManifestError::invalid(err)),
        };
        let manifest = match assembled {
            Ok(manifest) => Arc::new(manifest),
            Err(reason) => return OfferOutcome::Refused(reason),
        };
        let previous = self.sequence();
        invariant::check(previous < Some(manifest.sequence), "manifest-only-moves-up", || {
            format!("from {previous:?} to {}", manifest.sequence)
        });
        self.parts.retain(|id, _| signed.parts.contains(id));
        self.pending = None;
        self.current =
            Some(CurrentManifest { manifest: manifest.clone(), signed: Arc::new(signed) });
        OfferOutcome::Newer(manifest)
    }
}
