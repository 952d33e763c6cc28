//! `docs/REFERENCE.md` names every field of settings and manifests, and no other.

use std::collections::BTreeSet;

use lavenderplank::{manifest::Manifest, settings::Settings};
use serde_norway::{Mapping, Value};

const REFERENCE: &str = include_str!("../docs/REFERENCE.md");
const HOST: &str = include_str!("../examples/himalaya-tara/host.yaml");
const MANIFEST: &str = include_str!("../examples/himalaya-tara/manifest.yaml");

/// First column of the first table after `heading`.
fn documented(heading: &str) -> BTreeSet<String> {
    let (_, rest) = REFERENCE.split_once(&format!("{heading}\n")).expect("the heading is there");
    let rows = rest.lines().skip_while(|line| !line.starts_with('|'));
    let rows = rows.take_while(|line| line.starts_with('|')).skip(2);
    rows.map(|row| row.split('|').nth(1).expect("a cell").trim().trim_matches('`').to_owned())
        .collect()
}

fn fields(value: &Value) -> BTreeSet<String> {
    let mapping: &Mapping = value.as_mapping().expect("a mapping");
    mapping.keys().map(|key| key.as_str().expect("a name").to_owned()).collect()
}

#[test]
fn every_field_is_documented_and_every_documented_one_is_there() {
    // Serialized with every default, so that a field that no example gives counts too.
    let settings = serde_norway::to_value(Settings::parse(HOST, "host").unwrap()).unwrap();
    let manifest = serde_norway::to_value(Manifest::parse(MANIFEST, "m").unwrap()).unwrap();
    let service = &manifest["services"][0];
    let table = [
        ("## Settings of a host", &settings),
        ("## Manifest", &manifest),
        ("Each of `regions`:", &manifest["regions"][0]),
        ("Each of `services`:", service),
        ("Each of `targets`:", &service["targets"][0]),
        ("Each of `client_blocks`:", &manifest["client_blocks"][0]),
    ];
    for (heading, value) in table {
        assert_eq!(documented(heading), fields(value), "{heading}");
    }
    for field in fields(&settings["log"]) {
        assert!(REFERENCE.contains(&format!("`{field}` (")), "log.{field}");
    }
}
