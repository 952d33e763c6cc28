//! Replaces the callers' keys in the stored configuration by digests.

use bytes::Bytes;
use serde_json::value::RawValue;

use crate::{
    entry::{DecodeError, KeyDigest},
    prelude::*,
};

/// Fields that hold a team's keys, and the digests of its keys.
const KEYS_FIELD: &str = "apiKeys";
const DIGESTS_FIELD: &str = "keyDigests";

/// Fields with undecoded values: most of a large configuration is copied without decoding it.
type Fields<'a> = BTreeMap<&'a str, &'a RawValue>;

#[derive(Deserialize)]
struct Object<'a> {
    #[serde(borrow)]
    spec: Fields<'a>,
}

/// Replaces the keys of all teams by their digests. An object without keys is returned unchanged.
pub fn replace_by_digests(object: Bytes) -> Result<Bytes, DecodeError> {
    let decoded: Object<'_> = serde_json::from_slice(&object).map_err(decode_error)?;
    let Some(tenants) = decoded.spec.get("tenants") else { return Ok(object) };
    let tenants: Vec<BTreeMap<&str, &RawValue>> =
        serde_json::from_str(tenants.get()).map_err(decode_error)?;
    if !tenants.iter().any(|tenant| tenant.contains_key(KEYS_FIELD)) {
        return Ok(object.clone());
    }
    let mut digested = Vec::new();
    for tenant in tenants {
        digested.push(replace_tenant_keys(tenant)?);
    }
    let digested = serde_json::value::to_raw_value(&digested).map_err(decode_error)?;
    let mut spec = decoded.spec;
    spec.insert("tenants", &digested);
    let object = BTreeMap::from([("spec", spec)]);
    Ok(serde_json::to_vec(&object).map_err(decode_error)?.into())
}

fn replace_tenant_keys(tenant: Fields<'_>) -> Result<Box<RawValue>, DecodeError> {
    let texts = |name: &str| -> Result<Vec<String>, DecodeError> {
        let Some(texts) = tenant.get(name) else { return Ok(Vec::new()) };
        serde_json::from_str(texts.get()).map_err(decode_error)
    };
    let mut digests = texts(DIGESTS_FIELD)?;
    digests.extend(texts(KEYS_FIELD)?.iter().map(|key| KeyDigest::of(key.as_bytes()).text()));
    let digests = serde_json::value::to_raw_value(&digests).map_err(decode_error)?;
    let mut digested: Fields<'_> = tenant.clone();
    digested.remove(KEYS_FIELD);
    digested.insert(DIGESTS_FIELD, &digests);
    serde_json::value::to_raw_value(&digested).map_err(decode_error)
}

/// Reports only the position of the error, since the content may be a key.
fn decode_error(error: serde_json::Error) -> DecodeError {
    let (line, column) = (error.line(), error.column());
    DecodeError(format!("line {line}, column {column}: invalid JSON or wrong type").into())
}
