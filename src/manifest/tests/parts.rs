use std::collections::BTreeSet;

use assert_matches::assert_matches;
use ed25519_dalek::Signer;

use super::*;
use crate::{lookup::BlockPart, prelude::*};

fn store() -> ManifestStore {
    ManifestStore::new("himalaya-tara".into(), key(1).verifying_key())
}

fn part(text: &str) -> Part {
    Part { text: text.into() }
}

/// Signs the given parts without checking or splitting them.
fn signed(sequence: u64, parts: &[Part]) -> SignedManifest {
    let body = numbered(sequence);
    let ids: Vec<PartId> = parts.iter().map(Part::id).collect();
    let signature = key(1).sign(&super::super::signed::signing_input(&body, &ids));
    let signature = hex::encode(signature.to_bytes()).into();
    SignedManifest { body: body.into(), parts: ids, signature }
}

fn offer_with_parts(
    store: &mut ManifestStore,
    signed: &SignedManifest,
    parts: &[Part],
) -> OfferOutcome {
    assert_matches!(store.offer(signed.clone()), OfferOutcome::Missing(_));
    for part in parts {
        store.add_part(part.clone());
    }
    store.offer(signed.clone())
}

fn tables(manifest: &Manifest) -> Vec<Arc<BlockPart>> {
    manifest.client_blocks.table().all_parts().skip(1).cloned().collect()
}

// A pipeline's own tool splits the blocks wrongly and signs the parts. A host that accepted them
// would find a wrong home region for some clients; it must refuse them and keep the manifest in
// force.
#[test]
fn refuses_invalid_parts() {
    let mut store = store();
    store.offer(sign(&numbered(7), &key(1)).unwrap());
    let current = store.current();
    let table: [(&[&str], &str); 6] = [
        (&["10.3.0.0/16 bagmati\n10.2.0.0/16 bagmati\n"], "10.2.0.0/16 is listed twice or out of"),
        (&["10.3.0.0/16 bagmati\n", "10.2.0.0/16 bagmati\n"], "10.2.0.0/16 begins a part but"),
        (&["10.2.0.0/16 bagmati\n10.2.0.0/16 bagmati\n"], "10.2.0.0/16 is listed twice"),
        (
            &["10.1.0.0/16 bagmati\n"],
            "block 10.1.0.0/16 is both in the manifest's list and in a part; list it only once",
        ),
        (&["10.2.0.1/16 bagmati\n"], "10.2.0.1/16 has bits set past its prefix; write 10.2.0.0/16"),
        (&["10.2.0.0/16 east\n"], "client_blocks: there is no region east"),
    ];
    for (number, (texts, expected)) in (8..).zip(table) {
        let parts: Vec<Part> = texts.iter().map(|text| part(text)).collect();
        let signed = signed(number, &parts);
        let refused = offer_with_parts(&mut store, &signed, &parts);
        let why =
            assert_matches!(refused, OfferOutcome::Refused(ManifestError::Invalid(why)) => why);
        assert!(why.contains(expected), "{why}");
        assert_eq!(store.current(), current);
    }
}

// One block changes. Rebuilding all tables would exceed a host's CPU budget at 2,900 changes a day
// and hold all tables in memory twice meanwhile.
#[test]
fn manifests_share_unchanged_parts() {
    let texts = ["10.2.0.0/16 bagmati\n", "10.3.0.0/16 bagmati\n", "10.4.0.0/16 bagmati\n"];
    let parts = texts.map(part);
    let mut store = store();
    let before = offer_with_parts(&mut store, &signed(8, &parts), &parts);
    let before = assert_matches!(before, OfferOutcome::Newer(manifest) => manifest);
    let changed = part("10.3.0.0/17 bagmati\n");
    let parts = [parts[0].clone(), changed.clone(), parts[2].clone()];
    let after = offer_with_parts(&mut store, &signed(9, &parts), &[changed]);
    let after = assert_matches!(after, OfferOutcome::Newer(manifest) => manifest);
    let pairs: Vec<bool> = tables(&before)
        .iter()
        .zip(&tables(&after))
        .map(|(before, after)| Arc::ptr_eq(before, after))
        .collect();
    assert_eq!(pairs, [true, false, true]);
    assert_ne!(before, after);
}

// The peer that has the new manifest stops before it has sent all parts. The manifest in force
// stays, and each offer of the new one reports only the parts that are still missing.
#[test]
fn missing_part_leaves_manifest_in_force() {
    let parts = ["10.2.0.0/16 bagmati\n", "10.3.0.0/16 bagmati\n"].map(part);
    let mut store = store();
    store.offer(sign(&numbered(7), &key(1)).unwrap());
    let signed = signed(8, &parts);
    for _ in 0..2 {
        let missing = assert_matches!(
            offer_with_parts(&mut store, &signed, &parts[..1]),
            OfferOutcome::Missing(ids) => ids
        );
        assert_eq!(missing, [parts[1].id()]);
        assert_eq!(store.sequence(), Some(7));
        parts.iter().skip(1).for_each(|part| assert!(store.part(&part.id()).is_none()));
    }
    assert!(store.add_part(parts[1].clone()));
    assert_matches!(store.offer(signed), OfferOutcome::Newer(_));
}

// A manifest waits for its parts while one with a higher sequence and no parts gets in force. When
// the parts arrive, the pending manifest must not replace the newer one.
#[test]
fn pending_manifest_does_not_replace_newer_one() {
    let parts = [part("10.2.0.0/16 bagmati\n")];
    let mut store = store();
    let pending = signed(8, &parts);
    assert_matches!(store.offer(pending.clone()), OfferOutcome::Missing(_));
    store.add_part(parts[0].clone());
    assert_matches!(store.offer(sign(&numbered(9), &key(1)).unwrap()), OfferOutcome::Newer(_));
    assert_eq!(store.offer(pending), OfferOutcome::Older);
    assert_eq!(store.sequence(), Some(9));
}

// A verified manifest waits for its parts. An attacker offers another text with the same part ids.
// If it were mistaken for the pending one, it would get in force without a valid signature.
#[test]
fn verifies_offer_while_manifest_is_pending() {
    let parts = [part("10.2.0.0/16 bagmati\n")];
    let mut store = store();
    let pending = signed(8, &parts);
    assert_matches!(store.offer(pending.clone()), OfferOutcome::Missing(_));
    let body = pending.body.replace("slots: 3", "slots: 9").into();
    let altered = SignedManifest { body, ..pending };
    assert_eq!(store.offer(altered), OfferOutcome::Refused(ManifestError::InvalidSignature));
}

// A trace records the manifest that decisions were based on. When it is read back, every client
// must have the same home region.
#[test]
fn blocks_in_parts_round_trip_as_list() {
    let parts = ["10.2.0.0/16 bagmati\n", "10.3.0.0/16 bagmati\n"].map(part);
    let mut store = store();
    let offer = offer_with_parts(&mut store, &signed(8, &parts), &parts);
    let manifest = assert_matches!(offer, OfferOutcome::Newer(manifest) => manifest);
    let text = serde_json::to_string(&*manifest).unwrap();
    let read: Manifest = serde_json::from_str(&text).unwrap();
    assert_eq!(read, *manifest);
    let names: BTreeSet<String> =
        read.client_blocks.listed().iter().map(|block| block.block.to_string()).collect();
    assert_eq!(names, ["10.1.0.0/16", "10.2.0.0/16", "10.3.0.0/16"].map(String::from).into());
}
