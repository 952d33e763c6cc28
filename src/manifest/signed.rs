//! A manifest with the signature of its pipeline, as stored on the platform and sent between hosts.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use sha2::{Digest, Sha256};

use super::{ClientBlock, Manifest, ManifestError, Part, PartError, PartId, split_blocks};
use crate::{lookup::BlockPart, prelude::*};

/// Largest signed text. With history, part ids and signature the head stays within the platform's
/// limit on values.
pub const MAX_BODY_BYTES: usize = 900_000;

/// Maximum number of parts of one manifest.
const MAX_PARTS: usize = 1024;

/// Domain separation: a manifest's signature is not valid for anything else that the key signs.
const SIGNING_DOMAIN: &[u8] = b"lavenderplank manifest 1\n";

/// The signed text and the ids of its parts. Member and sequence are inside the text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SignedManifest {
    /// The manifest's YAML.
    pub body: Arc<str>,
    /// Parts with the client blocks that are not in `body`, in ascending order.
    #[serde(default)]
    pub parts: Vec<PartId>,
    /// Ed25519 signature over body and part ids, 128 hex digits.
    pub signature: Arc<str>,
}

/// Why a manifest was not signed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SignError {
    #[error(
        "the manifest is larger than {MAX_BODY_BYTES} bytes; give its client blocks with `--blocks`"
    )]
    BodyTooLarge,
    #[error("the manifest has {} invalid fields", .0.len())]
    Problems(Vec<super::Problem>),
    #[error("the client blocks need more than {MAX_PARTS} parts; merge neighbouring blocks")]
    TooManyParts,
}

/// Signs a manifest whose text contains all its client blocks.
pub fn sign(text: &str, key: &SigningKey) -> Result<SignedManifest, SignError> {
    sign_with_blocks(text, &[], key).map(|(signed, _)| signed)
}

/// Signs a manifest with further client blocks, which are split into parts.
pub fn sign_with_blocks(
    text: &str,
    blocks: &[ClientBlock],
    key: &SigningKey,
) -> Result<(SignedManifest, Vec<Part>), SignError> {
    if MAX_BODY_BYTES < text.len() {
        return Err(SignError::BodyTooLarge);
    }
    let manifest = Manifest::parse(text, "manifest").map_err(SignError::Problems)?;
    let problems = manifest.check_with(&[manifest.client_blocks.listed(), blocks].concat());
    if !problems.is_empty() {
        return Err(SignError::Problems(problems));
    }
    let parts = split_blocks(blocks);
    if MAX_PARTS < parts.len() {
        return Err(SignError::TooManyParts);
    }
    let ids: Vec<PartId> = parts.iter().map(Part::id).collect();
    let signature = key.sign(&signing_input(text, &ids));
    let signature = hex::encode(signature.to_bytes()).into();
    Ok((SignedManifest { body: text.into(), parts: ids, signature }, parts))
}

impl SignedManifest {
    /// Verifies the signature before anything else is decoded, then decodes and checks the text.
    /// Client blocks in parts are not in the result; see `assemble`.
    pub fn verify(&self, member: &MemberId, key: &VerifyingKey) -> Result<Manifest, ManifestError> {
        let manifest = self.verify_any_member(key)?;
        if manifest.member != *member {
            return Err(ManifestError::OtherMember(manifest.member));
        }
        Ok(manifest)
    }

    /// Like `verify`, but accepts any member, for the owner of the key.
    pub fn verify_any_member(&self, key: &VerifyingKey) -> Result<Manifest, ManifestError> {
        if MAX_BODY_BYTES < self.body.len() || MAX_PARTS < self.parts.len() {
            return Err(ManifestError::TooLarge);
        }
        let signature: [u8; 64] = hex::decode(&*self.signature)
            .ok()
            .and_then(|bytes| bytes.try_into().ok())
            .ok_or(ManifestError::InvalidSignature)?;
        key.verify_strict(
            &signing_input(&self.body, &self.parts),
            &Signature::from_bytes(&signature),
        )
        .map_err(|_| ManifestError::InvalidSignature)?;
        Manifest::parse(&self.body, "manifest")
            .map_err(|problems| ManifestError::invalid(&problems[0]))
    }

    /// Adds the client blocks of `parts` to a verified manifest and checks the result.
    pub fn assemble(&self, manifest: Manifest, parts: &[Part]) -> Result<Manifest, ManifestError> {
        if !parts.iter().map(Part::id).eq(self.parts.iter().cloned()) {
            return Err(ManifestError::PartsMismatch);
        }
        let parts = parts.iter().map(|part| part.build_table().map(Arc::new));
        let parts = parts.collect::<Result<Vec<_>, PartError>>().map_err(ManifestError::invalid)?;
        assemble_parts(manifest, &parts)
    }

    /// SHA-256 hash of the signed data, as hex digits. Manifests with equal digests are the same.
    pub fn digest(&self) -> Arc<str> {
        hex::encode(Sha256::digest(signing_input(&self.body, &self.parts))).into()
    }
}

/// Adds the client blocks of `parts` to `manifest` and checks the result.
pub(super) fn assemble_parts(
    mut manifest: Manifest,
    parts: &[Arc<BlockPart>],
) -> Result<Manifest, ManifestError> {
    manifest.client_blocks =
        manifest.client_blocks.with_parts(parts).map_err(ManifestError::invalid)?;
    match manifest.check().first() {
        Some(problem) => Err(ManifestError::invalid(problem)),
        None => Ok(manifest),
    }
}

/// The data that is signed. The length prefixes make the boundaries of text and part ids
/// unambiguous.
pub(super) fn signing_input(body: &str, parts: &[PartId]) -> Vec<u8> {
    let mut buf = SIGNING_DOMAIN.to_vec();
    buf.extend_from_slice(&(body.len() as u64).to_be_bytes());
    buf.extend_from_slice(body.as_bytes());
    for part in parts {
        buf.extend_from_slice(&(part.len() as u64).to_be_bytes());
        buf.extend_from_slice(part.as_bytes());
    }
    buf
}
