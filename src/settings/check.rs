//! Checks of settings that their types can't express.

use ed25519_dalek::VerifyingKey;

use super::Settings;
use crate::yaml::{Finding, PathSegment};

pub(super) const KEY_FIX: &str = "give the 64 hex digits that `lavenderplank key new` prints";

/// Maximum length of the name of a member, region, zone, host, service or target, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// How to fix an invalid name, for error messages.
pub const NAME_FIX: &str =
    "use 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.', and begin with a letter or digit";

/// Whether `name` can be used in paths, headers and object keys without escaping.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= MAX_NAME_BYTES
        && name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.chars().all(is_allowed)
}

pub(super) fn verifying_key(hex_text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(hex_text).ok()?.try_into().ok()?;
    let key = VerifyingKey::from_bytes(&bytes).ok()?;
    (!key.is_weak()).then_some(key)
}

pub(super) fn check(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(settings, &mut findings);
    check_destinations(settings, &mut findings);
    check_ingress(settings, &mut findings);
    check_listeners(settings, &mut findings);
    if verifying_key(&settings.manifest_key).is_none() {
        let path = vec![PathSegment::Key("manifest_key")];
        findings.push(finding(path, "is not an Ed25519 public key", KEY_FIX));
    }
    findings
}

fn check_names(settings: &Settings, findings: &mut Vec<Finding>) {
    let names = [
        ("host", &settings.host),
        ("member", &settings.member),
        ("region", &settings.region),
        ("zone", &settings.zone),
    ];
    for (field, name) in names {
        if !is_valid_name(name) {
            findings.push(finding(vec![PathSegment::Key(field)], "is not a valid name", NAME_FIX));
        }
    }
}

/// Checks the addresses to which this host or others send. The OS can't choose their port.
fn check_destinations(settings: &Settings, findings: &mut Vec<Finding>) {
    let mut destinations = vec![(vec![PathSegment::Key("platform")], settings.platform)];
    let optional = [
        ("advertise_http", settings.advertise_http),
        ("advertise_rpc", settings.advertise_rpc),
        ("metrics", settings.metrics),
    ];
    for (field, address) in optional {
        destinations.extend(address.map(|address| (vec![PathSegment::Key(field)], address)));
    }
    for (index, peer) in settings.peers.iter().enumerate() {
        let path = vec![PathSegment::Key("peers"), PathSegment::Index(index)];
        if settings.peers[..index].contains(peer) {
            findings.push(finding(path.clone(), "lists a peer twice", "list each peer once"));
        }
        destinations.push((path, *peer));
    }
    for (path, address) in destinations {
        if address.port() == 0 {
            findings.push(finding(path.clone(), "has port 0", "give a port from 1 to 65535"));
        }
        if address.ip().is_unspecified() {
            findings.push(finding(path, "has no IP address", "give the address to send to"));
        }
    }
}

fn check_ingress(settings: &Settings, findings: &mut Vec<Finding>) {
    let limits = &settings.ingress;
    let ranges = [
        ("body_bytes", limits.body_bytes, 64 << 10, 1 << 40),
        ("connections", limits.connections as u64, 1, 1_000_000),
        ("silence_ms", limits.silence_ms, 10, 600_000),
    ];
    for (field, value, min, max) in ranges {
        if !(min..=max).contains(&value) {
            let path = vec![PathSegment::Key("ingress"), PathSegment::Key(field)];
            let fix = format!("give {min} to {max}");
            findings.push(finding(path, "is out of range", &fix));
        }
    }
}

/// Checks the listen addresses. A host that listens on all addresses can't tell which one others
/// are to use.
fn check_listeners(settings: &Settings, findings: &mut Vec<Finding>) {
    let pairs = [
        ("http", settings.http, "advertise_http", settings.advertise_http),
        ("rpc", settings.rpc, "advertise_rpc", settings.advertise_rpc),
    ];
    for (field, address, advertised_field, advertised) in pairs {
        if address.ip().is_unspecified() && advertised.is_none() {
            let fix = format!("give one address, or add `{advertised_field}`");
            findings.push(finding(vec![PathSegment::Key(field)], "listens on all addresses", &fix));
        }
    }
    if settings.http == settings.rpc && settings.http.port() != 0 {
        let fix = "give callers and peers different ports";
        findings.push(finding(
            vec![PathSegment::Key("rpc")],
            "has the same address as `http`",
            fix,
        ));
    }
}

fn finding(path: Vec<PathSegment>, wrong: &str, fix: &str) -> Finding {
    Finding { fix: fix.into(), path, wrong: wrong.into() }
}
