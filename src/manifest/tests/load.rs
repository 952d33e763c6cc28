use super::*;
use assert_matches::assert_matches;

fn store() -> ManifestStore {
    ManifestStore::new("himalaya-tara".into(), key(1).verifying_key())
}

#[test]
fn manifest_round_trips() {
    let manifest = Manifest::parse(TEXT, "m.yaml").unwrap();
    assert_eq!(manifest.drains, [DrainScope::Zone("bagmati-b".into())]);
    let text = serde_norway::to_string(&manifest).unwrap();
    assert_eq!(Manifest::parse(&text, "m.yaml").unwrap(), manifest);
}

#[test]
fn problems_name_line_field_and_fix() {
    let table = [
        ("[bagmati-a, bagmati-b]", "[bagmati-a, bagmati-a]", "m.yaml:7: regions[0].zones[1]: zone"),
        ("reserve: 0.2", "reserve: 1.2", "m.yaml:6: regions[0].reserve: is 1.2; give a share"),
        ("shift_cap: 0.2", "shift_cap: 120", "m.yaml:11: services[0].shift_cap: is 120; give"),
        ("shift_cap: 0.2", "shift_cap: .nan", "m.yaml:11: services[0].shift_cap: is NaN; give"),
        ("slots: 3", "slots: 0", "m.yaml:16: services[0].targets[0].slots: is 0; give 1 to"),
        ("7001", "0", "m.yaml:16: services[0].targets[0].address: has port 0; give a port"),
        ("timeout_ms: 2000", "timeout_ms: 0", "m.yaml:14: services[0].timeout_ms: is 0; give 1"),
        (
            "home: bagmati",
            "home: east",
            "m.yaml:18: client_blocks[0].home: there is no region east",
        ),
        ("zone: bagmati-a,", "zone: east,", "m.yaml:16: services[0].targets[0].zone: there is no"),
        ("- zone: bagmati-b", "- zone: east", "m.yaml:20: drains[0]: there is no zone east; name"),
        ("weighing:", "colour:", "m.yaml:3: colour: unknown field `colour`; expected one of"),
    ];
    for (from, to, expected) in table {
        let text = TEXT.replacen(from, to, 1);
        let problems = Manifest::parse(&text, "m.yaml").unwrap_err();
        assert!(problems[0].to_string().starts_with(expected), "{}", problems[0]);
    }
}

#[test]
fn lists_every_problem_in_line_order() {
    let text = TEXT.replace("slots: 3", "slots: 0").replace("reserve: 0.2", "reserve: -1");
    let lines: Vec<_> = Manifest::parse(&text, "").unwrap_err().iter().map(|p| p.line).collect();
    assert_eq!(lines, [6, 16]);
}

#[test]
fn store_takes_only_higher_sequence() {
    // The platform and peers offer manifests to a host in any order. Hosts that returned to an
    // older one would use caps and targets that were withdrawn.
    let mut store = store();
    let seven = sign(&numbered(7), &key(1)).unwrap();
    assert_matches!(store.offer(seven.clone()), OfferOutcome::Newer(_));
    assert_eq!(store.offer(seven), OfferOutcome::Same);
    assert_eq!(store.offer(sign(&numbered(6), &key(1)).unwrap()), OfferOutcome::Older);
    let other = sign(&numbered(7).replace("slots: 3", "slots: 4"), &key(1)).unwrap();
    assert_eq!(store.offer(other), OfferOutcome::Refused(ManifestError::Conflict { sequence: 7 }));
    assert_matches!(store.offer(sign(&numbered(9), &key(1)).unwrap()), OfferOutcome::Newer(_));
    assert_eq!(store.sequence(), Some(9));
}

#[test]
fn refuses_manifest_not_signed_by_member() {
    // An attacker with write access to the platform stores a manifest of another member, one for
    // this member signed with another key, or this member's text with a changed line. The manifest
    // in force must not change.
    let mut store = store();
    store.offer(sign(TEXT, &key(1)).unwrap());
    let current = store.current();
    let forged = sign(&numbered(8), &key(2)).unwrap();
    assert_eq!(store.offer(forged), OfferOutcome::Refused(ManifestError::InvalidSignature));
    let other = numbered(8).replace("himalaya-tara", "gradski-servis");
    let other = sign(&other, &key(1)).unwrap();
    assert_matches!(store.offer(other), OfferOutcome::Refused(ManifestError::OtherMember(_)));
    let mut altered = sign(&numbered(8), &key(1)).unwrap();
    altered.body = altered.body.replace("slots: 3", "slots: 9").into();
    assert_eq!(store.offer(altered), OfferOutcome::Refused(ManifestError::InvalidSignature));
    assert_eq!(store.current(), current);
}

#[test]
fn waits_for_parts_and_checks_them() {
    let blocks = parse_blocks("10.2.0.0/16 bagmati\n# more\n2001:db8::/32 bagmati\n").unwrap();
    let (signed, parts) = sign_with_blocks(TEXT, &blocks, &key(1)).unwrap();
    let mut store = store();
    let missing = assert_matches!(store.offer(signed.clone()), OfferOutcome::Missing(ids) => ids);
    assert_eq!(missing, signed.parts);
    assert!(!store.add_part(Part { text: "10.9.0.0/16 bagmati\n".into() }));
    for part in parts {
        assert!(store.add_part(part));
    }
    let manifest = assert_matches!(store.offer(signed), OfferOutcome::Newer(manifest) => manifest);
    assert_eq!(manifest.client_blocks.len(), 3);
}
