//! Reads manifests and their parts from the platform.

use super::{Head, ManifestError, ManifestStore, OfferOutcome, Part, PartId};
use crate::{
    prelude::*,
    store::{Platform, Result},
};

/// Reads the member's head object and offers its manifest, with missing parts, to `store`. `None`
/// if there is no head.
pub async fn fetch(
    platform: &dyn Platform,
    member: &MemberId,
    store: &mut ManifestStore,
) -> Result<Option<OfferOutcome>> {
    let Some(object) = platform.get(&Head::key(member)).await? else { return Ok(None) };
    let Some(head) = Head::decode(&object.value) else {
        return Ok(Some(OfferOutcome::Refused(ManifestError::Invalid(
            "the platform's object is not a manifest head".into(),
        ))));
    };
    match store.offer(head.signed.clone()) {
        OfferOutcome::Missing(ids) => {
            for part in fetch_parts(platform, member, &ids).await? {
                store.add_part(part);
            }
            Ok(Some(store.offer(head.signed)))
        }
        offer => Ok(Some(offer)),
    }
}

/// Reads the parts with these ids, except those that are missing or whose content doesn't match.
pub async fn fetch_parts(
    platform: &dyn Platform,
    member: &MemberId,
    ids: &[PartId],
) -> Result<Vec<Part>> {
    let mut parts = Vec::new();
    for id in ids {
        let object = platform.get(&Head::part_key(member, id)).await?;
        let part = object.as_ref().and_then(|object| Part::decode(&object.value));
        parts.extend(part.filter(|part| part.id() == *id));
    }
    Ok(parts)
}
