//! A change of the manifest on its way into force.

use std::hint::black_box;

use ed25519_dalek::SigningKey;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fleet,
    gauge::cost_ns,
    target,
};
use crate::{
    manifest::{Part, sign_split},
    prelude::*,
};

const BLOCK_SIZES: [usize; 4] = [50_000, 100_000, 200_000, 400_000];
const SITE_SIZES: [usize; 4] = [30, 60, 120, target::SITES];

/// Seconds until a host whose zone's watches stay silent reads the platform for itself.
const READ_EVERY: f64 = 10.0;

pub fn measure(scale: Scale) -> RoleCost {
    let sites = SITE_SIZES.map(|size| scale.size(size));
    let mut heads = Vec::new();
    let head = Figure::sweep("signed text", "bytes", "sites", sites, target::SITES, |size| {
        let head = Head::new(size);
        let len = head.signed_len();
        heads.push(head);
        len
    });
    let mut verified = heads.iter();
    let verify =
        Figure::sweep("text verified and read", "ns", "sites", sites, target::SITES, |_| {
            verified.next().map_or(0.0, Head::verify_cost)
        });
    let blocks = BLOCK_SIZES.map(|size| scale.size(size));
    let assemble = Figure::sweep(
        "blocks read and checked",
        "ns",
        "client blocks",
        blocks,
        target::BLOCKS,
        assemble_cost,
    );
    let part = Figure::sweep(
        "parts of client blocks",
        "bytes",
        "client blocks",
        blocks,
        target::BLOCKS,
        |size| parts(size).iter().map(|part| part.text.len() as f64).sum(),
    );
    let part_count = parts(scale.size(BLOCK_SIZES[3]));
    let mean_part =
        part_count.iter().map(|part| part.text.len() as f64).sum::<f64>() / part_count.len() as f64;
    let per_change = verify.value + assemble.value;
    // Every host fetches the head and one part; in the mean it also hands each on once.
    let wire = 2.0 * (head.value + mean_part) * target::changes_per_second();
    let loads = vec![
        Load::measured(
            Resource::ControlCpu,
            per_change * target::changes_per_second() / 1e9,
            "each host verifies the text and checks all blocks anew at each change",
        ),
        Load::measured(
            Resource::ControlWire,
            wire,
            format!(
                "each change: the text and one part of {mean_part:.0} bytes, fetched once and \
                 handed on once",
            ),
        ),
        Load::measured(Resource::Memory, part.value, "parts kept for peers that lack them"),
        Load::worked_out(
            Resource::InForce,
            READ_EVERY + 2.0 * per_change / 1e9,
            format!(
                "where both watches of a zone stay silent, its other hosts read the platform \
                 within {READ_EVERY} s; then the change is read at the first and the last host",
            ),
        ),
    ];
    RoleCost {
        figures: vec![head, verify, part, assemble],
        loads,
        mechanism: "two relays a zone watch; peers spread it; parts are named by their content",
        messages: "the signed text and the parts that a host lacks",
        role: "relay and manifest in force",
        state: "the manifest, its signed text, its parts",
    }
}

struct Head {
    key: SigningKey,
    signed: crate::manifest::SignedManifest,
}

impl Head {
    fn new(sites: usize) -> Self {
        let key = SigningKey::from_bytes(&[7; 32]);
        let manifest = fleet::manifest(sites, Vec::new());
        let text = serde_norway::to_string(&manifest).unwrap_or_default();
        let (signed, _) = sign_split(&text, &[], &key).expect("the made-up manifest is valid");
        Self { key, signed }
    }

    fn signed_len(&self) -> f64 {
        serde_json::to_string(&self.signed).unwrap_or_default().len() as f64
    }

    fn verify_cost(&self) -> f64 {
        let (member, key): (MemberId, _) = ("member".into(), self.key.verifying_key());
        cost_ns(|| {
            let _ = black_box(self.signed.verify(&member, &key));
        })
    }
}

fn parts(blocks: usize) -> Vec<Part> {
    crate::manifest::split(&fleet::blocks(blocks))
}

fn assemble_cost(blocks: usize) -> f64 {
    let key = SigningKey::from_bytes(&[7; 32]);
    let text = serde_norway::to_string(&fleet::manifest(4, Vec::new())).unwrap_or_default();
    let (signed, parts) =
        sign_split(&text, &fleet::blocks(blocks), &key).expect("the made-up manifest is valid");
    let head = signed.verify(&"member".into(), &key.verifying_key());
    let head = head.expect("it was signed with this key");
    cost_ns(|| {
        let _ = black_box(signed.assemble(head.clone(), &parts));
    })
}
