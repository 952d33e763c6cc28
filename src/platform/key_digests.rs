//! Replaces callers' keys in the configuration's object by digests.

use bytes::Bytes;
use serde_json::value::RawValue;

use crate::{
    entry::{DecodeError, KeyDigest},
    prelude::*,
};

/// Names of the fields with keys and with their digests.
const KEYS: &str = "apiKeys";
const DIGESTS: &str = "keyDigests";

/// Undecoded fields, so that the rest of a large configuration is copied without decoding it.
type Fields<'a> = BTreeMap<&'a str, &'a RawValue>;

#[derive(Deserialize)]
struct Object<'a> {
    #[serde(borrow)]
    spec: Fields<'a>,
}

/// Replaces the keys of all teams by their digests. An object without keys is returned unchanged.
pub fn replace_by_digests(object: Bytes) -> Result<Bytes, DecodeError> {
    let read: Object<'_> = serde_json::from_slice(&object).map_err(unreadable)?;
    let Some(tenants) = read.spec.get("tenants") else { return Ok(object) };
    let tenants: Vec<BTreeMap<&str, &RawValue>> =
        serde_json::from_str(tenants.get()).map_err(unreadable)?;
    if !tenants.iter().any(|tenant| tenant.contains_key(KEYS)) {
        return Ok(object.clone());
    }
    let mut digested = Vec::new();
    for tenant in tenants {
        digested.push(tenant_without_keys(tenant)?);
    }
    let digested = serde_json::value::to_raw_value(&digested).map_err(unreadable)?;
    let mut spec = read.spec;
    spec.insert("tenants", &digested);
    let object = BTreeMap::from([("spec", spec)]);
    Ok(serde_json::to_vec(&object).map_err(unreadable)?.into())
}

fn tenant_without_keys(tenant: Fields<'_>) -> Result<Box<RawValue>, DecodeError> {
    let texts = |name: &str| -> Result<Vec<String>, DecodeError> {
        let Some(texts) = tenant.get(name) else { return Ok(Vec::new()) };
        serde_json::from_str(texts.get()).map_err(unreadable)
    };
    let mut digests = texts(DIGESTS)?;
    digests.extend(texts(KEYS)?.iter().map(|key| KeyDigest::of(key.as_bytes()).text()));
    let digests = serde_json::value::to_raw_value(&digests).map_err(unreadable)?;
    let mut digested: Fields<'_> = tenant.clone();
    digested.remove(KEYS);
    digested.insert(DIGESTS, &digests);
    serde_json::value::to_raw_value(&digested).map_err(unreadable)
}

/// Reports only the position of the error, since the content may be a key.
fn unreadable(error: serde_json::Error) -> DecodeError {
    let (line, column) = (error.line(), error.column());
    DecodeError(format!("line {line}, column {column}: invalid JSON or wrong type").into())
}
