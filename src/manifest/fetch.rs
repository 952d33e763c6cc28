//! From the platform into a host's store.

use super::{Head, ManifestError, ManifestStore, OfferOutcome, Part, PartId};
use crate::{
    prelude::*,
    store::{Platform, Result},
};

/// Reads the member's head and offers it, with the parts that it needs. `None` when there is none.
pub async fn fetch(
    platform: &dyn Platform,
    member: &MemberId,
    store: &mut ManifestStore,
) -> Result<Option<OfferOutcome>> {
    let Some(object) = platform.get(&Head::key(member)).await? else { return Ok(None) };
    let Some(head) = Head::decode(&object.value) else {
        return Ok(Some(OfferOutcome::Refused(ManifestError::Invalid(
            "the object is no head".into(),
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

/// Reads the parts of those names, as far as the platform has them whole.
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
