//! Ranges that the types of the settings can't express.

use ed25519_dalek::VerifyingKey;

use super::Settings;
use crate::yaml::{Finding, PathSegment};

pub(super) const KEY_FIX: &str = "give the 64 hex digits that `lavenderplank key new` prints";

/// Longest name of a member, region, zone, host, service or target, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// What a name may be made of, for error texts.
pub const NAME_FIX: &str =
    "use 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.', and begin with a letter or digit";

/// Whether `name` can stand in paths, headers and object keys without escaping.
pub fn is_valid_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= MAX_NAME_BYTES
        && name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(plain)
}

pub(super) fn verifying_key(hex_text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(hex_text).ok()?.try_into().ok()?;
    let key = VerifyingKey::from_bytes(&bytes).ok()?;
    (!key.is_weak()).then_some(key)
}

pub(super) fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    names(settings, &mut findings);
    destinations(settings, &mut findings);
    ingress(settings, &mut findings);
    listeners(settings, &mut findings);
    if verifying_key(&settings.manifest_key).is_none() {
        let path = vec![PathSegment::Key("manifest_key")];
        findings.push(finding(path, "is no Ed25519 public key", KEY_FIX));
    }
    findings
}

fn names(settings: &Settings, findings: &mut Vec<Finding>) {
    let names = [
        ("host", &settings.host),
        ("member", &settings.member),
        ("region", &settings.region),
        ("zone", &settings.zone),
    ];
    for (field, name) in names {
        if !is_valid_name(name) {
            findings.push(finding(vec![PathSegment::Key(field)], "is no name", NAME_FIX));
        }
    }
}

/// Addresses that this host sends to: the OS can't choose their port.
fn destinations(settings: &Settings, findings: &mut Vec<Finding>) {
    let mut all = vec![(vec![PathSegment::Key("platform")], settings.platform)];
    let optional = [
        ("advertise_http", settings.advertise_http),
        ("advertise_rpc", settings.advertise_rpc),
        ("metrics", settings.metrics),
    ];
    for (field, address) in optional {
        all.extend(address.map(|address| (vec![PathSegment::Key(field)], address)));
    }
    for (index, peer) in settings.peers.iter().enumerate() {
        let path = vec![PathSegment::Key("peers"), PathSegment::Index(index)];
        if settings.peers[..index].contains(peer) {
            findings.push(finding(path.clone(), "names a peer twice", "name each peer once"));
        }
        all.push((path, *peer));
    }
    for (path, address) in all {
        if address.port() == 0 {
            findings.push(finding(path.clone(), "has port 0", "give a port from 1 to 65535"));
        }
        if address.ip().is_unspecified() {
            findings.push(finding(path, "has no IP address", "give the address to send to"));
        }
    }
}

fn ingress(settings: &Settings, findings: &mut Vec<Finding>) {
    let limits = &settings.ingress;
    let ranges = [
        ("body_bytes", limits.body_bytes, 64 << 10, 1 << 40),
        ("connections", limits.connections as u64, 1, 1_000_000),
        ("silence_ms", limits.silence_ms, 10, 600_000),
    ];
    for (field, value, least, most) in ranges {
        if !(least..=most).contains(&value) {
            let path = vec![PathSegment::Key("ingress"), PathSegment::Key(field)];
            let fix = format!("give {least} to {most}");
            findings.push(finding(path, "is out of range", &fix));
        }
    }
}

/// A host that listens on every address can't tell others which one to use.
fn listeners(settings: &Settings, findings: &mut Vec<Finding>) {
    let pairs = [
        ("http", settings.http, "advertise_http", settings.advertise_http),
        ("rpc", settings.rpc, "advertise_rpc", settings.advertise_rpc),
    ];
    for (field, address, advertised, given) in pairs {
        if address.ip().is_unspecified() && given.is_none() {
            let fix = format!("give one address, or add `{advertised}`");
            findings.push(finding(vec![PathSegment::Key(field)], "listens on every address", &fix));
        }
    }
    if settings.http == settings.rpc && settings.http.port() != 0 {
        let fix = "give callers and peers different ports";
        findings.push(finding(vec![PathSegment::Key("rpc")], "is the address of `http` too", fix));
    }
}

fn finding(path: Vec<PathSegment>, wrong: &str, fix: &str) -> Finding {
    Finding { fix: fix.into(), path, wrong: wrong.into() }
}
