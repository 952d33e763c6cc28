//! Settings, manifests and signed files from anywhere: a clear answer, never a panic.

use ed25519_dalek::SigningKey;
use lavenderplank::{
    manifest::{
        Head, Manifest, ManifestStore, OfferOutcome, Part, Proposal, SignedManifest, parse_blocks,
        sign,
    },
    settings::Settings,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const MANIFEST: &str = include_str!("../examples/gradski-servis/manifest.yaml");
const HOST: &str = include_str!("../examples/gradski-servis/host.yaml");
const CASES: u32 = 300;

/// The same cases in every run.
fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// A text with a run of characters replaced by others.
fn damaged(text: &'static str) -> impl Strategy<Value = String> {
    let part = prop_oneof!["\\PC{0,12}", "[-:{}\\[\\]#&*!|>'\"%@ \\n0-9]{0,12}"];
    (0..text.len(), 0..40_usize, part).prop_map(move |(start, len, part)| {
        let end = (start + len).min(text.len());
        format!("{}{part}{}", &text[..start], &text[end..])
    })
}

#[test]
fn texts_are_read_or_refused_with_a_remedy() {
    let texts = prop_oneof![damaged(MANIFEST), damaged(HOST), "\\PC{0,200}"];
    let check = |text: String| {
        if let Err(problems) = Manifest::parse(&text, "f") {
            prop_assert!(!problems.is_empty());
            prop_assert!(problems.iter().all(|problem| !problem.fix.is_empty()));
        }
        if let Err(problem) = Settings::parse(&text, "f") {
            prop_assert!(!problem.fix.is_empty() && !problem.wrong.is_empty());
        }
        let _ = parse_blocks(&text);
        let _ = Part { text: text.as_str().into() }.blocks();
        let _ = Head::decode(text.as_bytes());
        let _ = serde_json::from_str::<Proposal>(&text);
        Ok(())
    };
    runner().run(&texts, check).unwrap();
}

#[test]
fn a_manifest_that_passes_is_read_back_the_same() {
    let check = |text: String| {
        let Ok(manifest) = Manifest::parse(&text, "f") else { return Ok(()) };
        let written = serde_norway::to_string(&manifest).unwrap();
        prop_assert_eq!(Manifest::parse(&written, "f").unwrap(), manifest);
        Ok(())
    };
    runner().run(&damaged(MANIFEST), check).unwrap();
}

#[test]
fn nothing_but_the_signed_text_gets_in_force() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let signed = sign(MANIFEST, &key).unwrap();
    let check = |(body, signature, parts): (String, String, Vec<String>)| {
        let mut store = ManifestStore::new("gradski-servis".into(), key.verifying_key());
        let parts = parts.into_iter().map(Into::into).collect();
        let altered = SignedManifest { body: body.into(), parts, ..signed.clone() };
        // A damage that changes nothing is no forgery.
        let is_altered = altered != signed;
        let forged = SignedManifest { signature: signature.into(), ..signed.clone() };
        prop_assert!(matches!(store.offer(forged), OfferOutcome::Refused(_)));
        if is_altered {
            prop_assert!(matches!(store.offer(altered), OfferOutcome::Refused(_)));
        }
        prop_assert!(store.current().is_none());
        Ok(())
    };
    let parts = prop::collection::vec("[0-9a-f]{0,64}", 0..3);
    let inputs = (damaged(MANIFEST), "[0-9a-f]{120,130}", parts);
    runner().run(&inputs, check).unwrap();
}
