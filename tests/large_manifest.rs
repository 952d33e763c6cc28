//! A manifest with as many client blocks as the design is meant for.
//!
//! `cargo test --release --locked --test large_manifest -- --nocapture` prints sizes and times.

#![allow(clippy::print_stdout, clippy::unwrap_used, reason = "a test that prints its figures")]

use std::{collections::BTreeSet, fmt::Write, sync::Arc, time::Instant};

use ed25519_dalek::SigningKey;
use lavenderplank::{
    manifest::{
        AcceptOutcome, Head, LoadShares, MAX_PART_BYTES, ManifestStore, OfferOutcome, Proposal,
        accept, fetch, parse_blocks, sign_with_blocks,
    },
    standin::platform::PlatformStandin,
    store::Platform,
};

const MANIFEST: &str = include_str!("../examples/himalaya-tara/manifest.yaml");
const MEMBER: &str = "himalaya-tara";

/// The unoptimised build is slower by an order of magnitude.
const BLOCKS: usize = if cfg!(debug_assertions) { 77_000 } else { 770_000 };

fn proposal(sequence: u64, blocks: &str, key: &SigningKey) -> Proposal {
    let text = MANIFEST.replace("sequence: 1", &format!("sequence: {sequence}"));
    let (signed, parts) = sign_with_blocks(&text, &parse_blocks(blocks).unwrap(), key).unwrap();
    Proposal { member: MEMBER.into(), parts, signed }
}

fn blocks() -> String {
    let mut text = String::new();
    for index in 0..BLOCKS {
        let home = ["bagmati", "gandaki", "lumbini"][index % 3];
        let (high, middle, low) = (16 + (index >> 16), (index >> 8) & 255, index & 255);
        writeln!(text, "{high}.{middle}.{low}.0/24 {home}").unwrap();
    }
    text
}

#[tokio::test]
async fn hundreds_of_thousands_of_blocks_pass_and_change_by_parts() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let public = key.verifying_key();
    let standin = PlatformStandin::in_memory();
    let door = standin.door();
    let mut store = ManifestStore::new(MEMBER.into(), public);
    let timed =
        |what: &str, begun: Instant| println!("{what}: {:.2} s", begun.elapsed().as_secs_f64());

    let text = blocks();
    let begun = Instant::now();
    let first = proposal(1, &text, &key);
    timed("check, split and sign", begun);
    assert!(first.parts.iter().all(|part| part.text.len() <= MAX_PART_BYTES));
    let begun = Instant::now();
    let accepted = accept(door, &first, &public, &LoadShares::uniform(0.1)).await;
    timed("accept", begun);
    assert!(matches!(accepted, Ok(AcceptOutcome::Accepted { .. })));
    let head = door.get(&Head::key(MEMBER)).await.unwrap().unwrap();
    let bytes: usize = first.parts.iter().map(|part| part.text.len()).sum();
    println!(
        "{BLOCKS} blocks: {} parts, {bytes} bytes, head {} bytes",
        first.parts.len(),
        head.value.len()
    );
    let begun = Instant::now();
    let offer = fetch(door, &MEMBER.into(), &mut store).await.unwrap();
    timed("fetch, verify and assemble at a host", begun);
    assert!(matches!(offer, Some(OfferOutcome::Newer(_))));

    // One block added in the middle: hosts fetch the part that it falls into, and no other.
    let changed = format!("{text}17.5.5.128/25 lumbini\n");
    let second = proposal(2, &changed, &key);
    let ids = |proposal: &Proposal| -> BTreeSet<Arc<str>> {
        proposal.signed.parts.iter().cloned().collect()
    };
    let new: Vec<_> = ids(&second).difference(&ids(&first)).cloned().collect();
    println!("one more block: {} of {} parts are new", new.len(), second.parts.len());
    assert!((1..=2).contains(&new.len()));
    accept(door, &second, &public, &LoadShares::uniform(0.1)).await.unwrap();
    let reads = door.counts().reads;
    let begun = Instant::now();
    let offer = fetch(door, &MEMBER.into(), &mut store).await.unwrap();
    timed("fetch, verify and assemble the change", begun);
    let Some(OfferOutcome::Newer(manifest)) = offer else { panic!("{offer:?}") };
    assert_eq!(manifest.client_blocks.len(), BLOCKS + 5);
    assert_eq!(door.counts().reads - reads, 1 + new.len() as u64);
}
