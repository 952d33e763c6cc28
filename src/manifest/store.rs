//! The highest manifest that a host has verified.

use ed25519_dalek::VerifyingKey;

use super::{Manifest, Part, PartError, PartId, SignedManifest, signed::assemble_parts};
use crate::{base::invariant, lookup::BlockPart, prelude::*};

/// Why a manifest was not taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ManifestError {
    #[error(
        "sequence {sequence} is in force with other content; give the new one a higher sequence"
    )]
    Conflict { sequence: Sequence },
    #[error("the manifest is not valid: {0}")]
    Invalid(Arc<str>),
    #[error("the manifest is of member {0}")]
    OtherMember(MemberId),
    #[error("the client blocks are not those that the manifest names")]
    PartsMismatch,
    #[error("the signature does not match the member's key")]
    InvalidSignature,
    #[error("the manifest is larger than allowed")]
    TooLarge,
}

impl ManifestError {
    pub(super) fn invalid(why: impl std::fmt::Display) -> Self {
        ManifestError::Invalid(why.to_string().into())
    }
}

/// What became of an offered manifest.
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// Its client blocks are needed first: `add_part`, then offer it again.
    Missing(Vec<PartId>),
    /// Now in force.
    Newer(Arc<Manifest>),
    /// A higher one is in force.
    Older,
    Refused(ManifestError),
    /// It is the one in force.
    Same,
}

/// Verifies what it is offered and only ever moves up. Holds the member's public key, so that
/// neither the platform nor a peer can put another member's or an older manifest in force.
#[derive(Debug)]
pub struct ManifestStore {
    current: Option<CurrentManifest>,
    key: VerifyingKey,
    member: MemberId,
    /// Parts of the manifest in force and of the one that is being fetched.
    parts: BTreeMap<PartId, CachedPart>,
    pending: Option<PendingManifest>,
}

/// A part whose content matches its name. Read once: with every manifest again it would cost a host
/// more than its share of a core at thousands of changes a day.
#[derive(Debug)]
struct CachedPart {
    blocks: Result<Arc<BlockPart>, PartError>,
    part: Part,
}

/// A manifest that lacks parts. It is offered again with them: verified and read twice, its text
/// would cost a host as much again as the changed part.
#[derive(Debug)]
struct PendingManifest {
    head: Manifest,
    signed: SignedManifest,
}

#[derive(Debug)]
struct CurrentManifest {
    manifest: Arc<Manifest>,
    signed: Arc<SignedManifest>,
}

impl ManifestStore {
    /// An empty store of one member.
    pub fn new(member: MemberId, key: VerifyingKey) -> Self {
        Self { current: None, key, member, parts: BTreeMap::new(), pending: None }
    }

    /// Puts `signed` in force if it is this member's, valid and higher than the one in force.
    pub fn offer(&mut self, signed: SignedManifest) -> OfferOutcome {
        // Peers offer the one in force all the time: no signature check for it.
        if self.current.as_ref().is_some_and(|current| *current.signed == signed) {
            return OfferOutcome::Same;
        }
        let head = match self.verified(&signed) {
            Ok(head) => head,
            Err(reason) => return OfferOutcome::Refused(reason),
        };
        if let Some(current) = &self.current {
            let held = current.manifest.sequence;
            if head.sequence < held {
                return OfferOutcome::Older;
            }
            if head.sequence == held && signed.digest() == current.signed.digest() {
                return OfferOutcome::Same;
            }
            if head.sequence == held {
                return OfferOutcome::Refused(ManifestError::Conflict { sequence: held });
            }
        }
        self.put_in_force(head, signed)
    }

    /// Keeps a part that a waiting manifest names. Others are refused: `false`.
    pub fn add_part(&mut self, part: Part) -> bool {
        let id = part.id();
        let wanted = self.pending.as_ref().is_some_and(|wait| wait.signed.parts.contains(&id));
        if !wanted {
            return false;
        }
        let blocks = part.build_table().map(Arc::new);
        self.parts.insert(id, CachedPart { blocks, part });
        true
    }

    /// A part of the manifest in force, for peers that lack it.
    pub fn part(&self, id: &str) -> Option<&Part> {
        self.parts.get(id).map(|kept| &kept.part)
    }

    /// The manifest in force, decoded and as signed.
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
            Some(wait) if wait.signed == *signed => Ok(wait.head.clone()),
            _ => signed.verify(&self.member, &self.key),
        }
    }

    fn put_in_force(&mut self, head: Manifest, signed: SignedManifest) -> OfferOutcome {
        let lacking = |id: &&PartId| !self.parts.contains_key(*id);
        let missing: Vec<PartId> = signed.parts.iter().filter(lacking).cloned().collect();
        if !missing.is_empty() {
            self.pending = Some(PendingManifest { head, signed });
            return OfferOutcome::Missing(missing);
        }
        let blocks = signed.parts.iter().map(|id| self.parts[id].blocks.clone());
        let assembled = match blocks.collect::<Result<Vec<_>, PartError>>() {
            Ok(blocks) => assemble_parts(head, &blocks),
            Err(err) => Err(ManifestError::invalid(err)),
        };
        let manifest = match assembled {
            Ok(manifest) => Arc::new(manifest),
            Err(reason) => return OfferOutcome::Refused(reason),
        };
        let before = self.sequence();
        invariant::check(before < Some(manifest.sequence), "manifest-only-moves-up", || {
            format!("from {before:?} to {}", manifest.sequence)
        });
        self.parts.retain(|id, _| signed.parts.contains(id));
        self.pending = None;
        self.current =
            Some(CurrentManifest { manifest: manifest.clone(), signed: Arc::new(signed) });
        OfferOutcome::Newer(manifest)
    }
}
