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

/// Signs parts that were cut by hand.
fn signed(sequence: u64, parts: &[Part]) -> SignedManifest {
    let body = numbered(sequence);
    let ids: Vec<PartId> = parts.iter().map(Part::id).collect();
    let signature = key(1).sign(&super::super::signed::signing_input(&body, &ids));
    let signature = hex::encode(signature.to_bytes()).into();
    SignedManifest { body: body.into(), parts: ids, signature }
}

fn give(store: &mut ManifestStore, signed: &SignedManifest, parts: &[Part]) -> OfferOutcome {
    assert_matches!(store.offer(signed.clone()), OfferOutcome::Missing(_));
    for part in parts {
        store.add_part(part.clone());
    }
    store.offer(signed.clone())
}

fn tables(manifest: &Manifest) -> Vec<Arc<BlockPart>> {
    manifest.client_blocks.table().parts().skip(1).cloned().collect()
}

// A pipeline's own tool cuts the parts wrongly and signs them. A host that took them would find
// another home for some callers than the manifest says; it refuses and what is in force stays.
#[test]
fn parts_that_make_no_table_change_nothing() {
    let mut store = store();
    store.offer(sign(&numbered(7), &key(1)).unwrap());
    let held = store.current();
    let table: [(&[&str], &str); 6] = [
        (&["10.3.0.0/16 bagmati\n10.2.0.0/16 bagmati\n"], "10.2.0.0/16 is there twice or out of"),
        (&["10.3.0.0/16 bagmati\n", "10.2.0.0/16 bagmati\n"], "10.2.0.0/16 begins a part but"),
        (&["10.2.0.0/16 bagmati\n10.2.0.0/16 bagmati\n"], "10.2.0.0/16 is there twice"),
        (&["10.1.0.0/16 bagmati\n"], "block 10.1.0.0/16 is listed twice; list it only once"),
        (&["10.2.0.1/16 bagmati\n"], "10.2.0.1/16 has bits set past its prefix; write 10.2.0.0/16"),
        (&["10.2.0.0/16 east\n"], "client_blocks: there is no region east"),
    ];
    for (number, (texts, expected)) in (8..).zip(table) {
        let parts: Vec<Part> = texts.iter().map(|text| part(text)).collect();
        let signed = signed(number, &parts);
        let refused = give(&mut store, &signed, &parts);
        let why =
            assert_matches!(refused, OfferOutcome::Refused(ManifestError::Invalid(why)) => why);
        assert!(why.contains(expected), "{why}");
        assert_eq!(store.current(), held);
    }
}

// One block changes its home. A host that built all tables anew would spend more than its share of
// a core on 2,900 changes a day, and hold all of them twice meanwhile.
#[test]
fn a_change_shares_the_parts_that_it_leaves_alone() {
    let texts = ["10.2.0.0/16 bagmati\n", "10.3.0.0/16 bagmati\n", "10.4.0.0/16 bagmati\n"];
    let parts = texts.map(part);
    let mut store = store();
    let before = give(&mut store, &signed(8, &parts), &parts);
    let before = assert_matches!(before, OfferOutcome::Newer(manifest) => manifest);
    let changed = part("10.3.0.0/17 bagmati\n");
    let parts = [parts[0].clone(), changed.clone(), parts[2].clone()];
    let after = give(&mut store, &signed(9, &parts), &[changed]);
    let after = assert_matches!(after, OfferOutcome::Newer(manifest) => manifest);
    let pairs: Vec<bool> = tables(&before)
        .iter()
        .zip(&tables(&after))
        .map(|(before, after)| Arc::ptr_eq(before, after))
        .collect();
    assert_eq!(pairs, [true, false, true]);
    assert_ne!(before, after);
}

// The peer that holds the new manifest goes away before it has given all parts. What is in force
// goes on, and only what is still lacking is asked for, again and again.
#[test]
fn a_part_that_does_not_come_leaves_the_manifest_in_force() {
    let parts = ["10.2.0.0/16 bagmati\n", "10.3.0.0/16 bagmati\n"].map(part);
    let mut store = store();
    store.offer(sign(&numbered(7), &key(1)).unwrap());
    let signed = signed(8, &parts);
    for _ in 0..2 {
        let lacking = assert_matches!(give(&mut store, &signed, &parts[..1]), OfferOutcome::Missing(ids) => ids);
        assert_eq!(lacking, [parts[1].id()]);
        assert_eq!(store.sequence(), Some(7));
        parts.iter().skip(1).for_each(|part| assert!(store.part(&part.id()).is_none()));
    }
    assert!(store.add_part(parts[1].clone()));
    assert_matches!(store.offer(signed), OfferOutcome::Newer(_));
}

// A manifest waits for its parts while a higher one without parts gets in force. When the parts come
// at last, the waiting one is older: taken then, it would move the host back.
#[test]
fn a_manifest_that_waited_too_long_is_older() {
    let parts = [part("10.2.0.0/16 bagmati\n")];
    let mut store = store();
    let waiting = signed(8, &parts);
    assert_matches!(store.offer(waiting.clone()), OfferOutcome::Missing(_));
    store.add_part(parts[0].clone());
    assert_matches!(store.offer(sign(&numbered(9), &key(1)).unwrap()), OfferOutcome::Newer(_));
    assert_eq!(store.offer(waiting), OfferOutcome::Older);
    assert_eq!(store.sequence(), Some(9));
}

// A manifest waits for its parts, already verified. A rival offers another text under the same part
// names: taken for the one that waits, it would get in force without a signature.
#[test]
fn what_is_offered_beside_a_waiting_manifest_is_verified() {
    let parts = [part("10.2.0.0/16 bagmati\n")];
    let mut store = store();
    let waiting = signed(8, &parts);
    assert_matches!(store.offer(waiting.clone()), OfferOutcome::Missing(_));
    let body = waiting.body.replace("slots: 3", "slots: 9").into();
    let altered = SignedManifest { body, ..waiting };
    assert_eq!(store.offer(altered), OfferOutcome::Refused(ManifestError::InvalidSignature));
}

// A trace holds the view as the decisions saw it. Read back, every caller has the same home.
#[test]
fn blocks_in_parts_round_trip_as_a_list() {
    let parts = ["10.2.0.0/16 bagmati\n", "10.3.0.0/16 bagmati\n"].map(part);
    let mut store = store();
    let offer = give(&mut store, &signed(8, &parts), &parts);
    let manifest = assert_matches!(offer, OfferOutcome::Newer(manifest) => manifest);
    let text = serde_json::to_string(&*manifest).unwrap();
    let read: Manifest = serde_json::from_str(&text).unwrap();
    assert_eq!(read, *manifest);
    let names: BTreeSet<String> =
        read.client_blocks.listed().iter().map(|block| block.block.to_string()).collect();
    assert_eq!(names, ["10.1.0.0/16", "10.2.0.0/16", "10.3.0.0/16"].map(String::from).into());
}
