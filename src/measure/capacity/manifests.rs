//! A change of the manifest on its way into force.

use std::hint::black_box;

use ed25519_dalek::SigningKey;

use super::{
    figure::{Figure, Load, Resource, RoleCost, Scale},
    fleet,
    gauge::{cost_ns, packed_len, plain_len, thread_time},
    target,
};
use crate::{
    manifest::{
        self, Acceptance, ClientBlock, Manifest, ManifestStore, Part, SignedManifest,
        sign_with_blocks,
    },
    peer::{ManifestReply, PartReply},
    prelude::*,
    store::new_operation_id,
};

const BLOCK_SIZES: [usize; 4] = [50_000, 100_000, 200_000, 400_000];
/// Changes measured at each size; the lowest counts.
const CHANGES: u64 = 4;

const SITE_SIZES: [usize; 4] = [30, 60, 120, target::SITES];

/// What the platform's answers to listings and watches make of each byte.
const BASE64: f64 = 4.0 / 3.0;

/// Bytes of a question for the head's version and of its answer, with HTTP heads.
const KEYS: f64 = 600.0;

/// Acceptances that the head on the platform remembers.
const HISTORY: usize = 32;

/// Seconds until a host whose zone's watches stay silent reads the platform for itself.
const READ_EVERY: f64 = 10.0;

pub fn measure(scale: Scale) -> RoleCost {
    let sites = SITE_SIZES.map(|size| scale.size(size));
    let names = fleet::blocks(scale.size(target::BLOCKS));
    let mut heads = Vec::new();
    let head = Figure::sweep(
        "signed text and history, as the platform has it",
        "bytes",
        "sites",
        sites,
        target::SITES,
        |size| {
            let head = Head::new(size, &names);
            let len = head.object_len();
            heads.push(head);
            len
        },
    );
    let mut packed = heads.iter().map(|head| packed_len(&head.reply()) as f64);
    let packed_head =
        Figure::sweep("signed text, compressed", "bytes", "sites", sites, target::SITES, |_| {
            packed.next().unwrap_or_default()
        });
    let mut verified = heads.iter();
    let verify =
        Figure::sweep("text verified and read", "ns", "sites", sites, target::SITES, |_| {
            verified.next().map_or(0.0, Head::verify_cost)
        });
    let blocks = BLOCK_SIZES.map(|size| scale.size(size));
    let change = Figure::sweep(
        "change of one part taken over",
        "ns",
        "client blocks",
        blocks,
        target::BLOCKS,
        change_cost,
    );
    let part = Figure::sweep(
        "parts of client blocks",
        "bytes",
        "client blocks",
        blocks,
        target::BLOCKS,
        |size| parts(size).iter().map(|part| part.text.len() as f64).sum(),
    );
    let packed_part = Figure::sweep(
        "one part, compressed",
        "bytes",
        "client blocks",
        blocks,
        target::BLOCKS,
        |size| mean(&parts(size), packed_len),
    );
    let all = parts(scale.size(target::BLOCKS));
    let mean_part = all.iter().map(|part| part.text.len() as f64).sum::<f64>() / all.len() as f64;
    let per_change = verify.value + change.value;
    let rate = target::changes_per_second();
    let from_platform = head.value * BASE64 + mean_part;
    let handed_on = packed_head.value + packed_part.value;
    let loads = vec![
        Load::measured(
            Resource::ControlCpu,
            per_change * target::changes_per_second() / 1e9,
            "each host verifies the text, reads, checks and builds the changed part, and shares the \
             others",
        ),
        Load::measured(
            Resource::ControlWire,
            from_platform * rate,
            format!(
                "relays alone: each change read from the platform, the text in base64 and one part \
                 of {mean_part:.0} bytes; other hosts fetch both from a peer for {:.0} bytes/s",
                handed_on * rate,
            ),
        ),
        Load::measured(
            Resource::ControlWire,
            handed_on * rate,
            "each change handed on once in the mean, compressed",
        ),
        Load::worked_out(
            Resource::ControlWire,
            KEYS / READ_EVERY,
            format!("the version of the head read every {READ_EVERY} s where nothing is watched"),
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
        figures: vec![head, packed_head, verify, part, packed_part, change],
        loads,
        mechanism: "two relays a zone watch; peers spread it; parts are named by their content",
        messages: "the signed text and the parts that a host lacks, compressed between hosts",
        role: "relay and manifest in force",
        state: "the manifest, its signed text, its parts",
    }
}

struct Head {
    key: SigningKey,
    signed: SignedManifest,
}

impl Head {
    fn new(sites: usize, blocks: &[ClientBlock]) -> Self {
        let key = SigningKey::from_bytes(&[7; 32]);
        let manifest = fleet::manifest(sites, Vec::new());
        let text = serde_norway::to_string(&manifest).unwrap_or_default();
        let (signed, _) =
            sign_with_blocks(&text, blocks, &key).expect("the made-up manifest is valid");
        Self { key, signed }
    }

    fn object_len(&self) -> f64 {
        let done = Acceptance {
            digest: self.signed.digest(),
            operation: new_operation_id(),
            sequence: 1_000_000,
        };
        let history = vec![done; HISTORY];
        let head = manifest::Head { history, signed: self.signed.clone() };
        plain_len(&head) as f64
    }

    fn reply(&self) -> ManifestReply {
        ManifestReply { signed: Some(self.signed.clone()) }
    }

    fn verify_cost(&self) -> f64 {
        let (member, key): (MemberId, _) = ("member".into(), self.key.verifying_key());
        cost_ns(|| {
            let _ = black_box(self.signed.verify(&member, &key));
        })
    }
}

fn parts(blocks: usize) -> Vec<Part> {
    crate::manifest::split_blocks(&fleet::blocks(blocks))
}

/// Mean size of an answer with one part.
fn mean(parts: &[Part], len: fn(&PartReply) -> usize) -> f64 {
    let reply = |part: &Part| PartReply { part: Some(part.clone()) };
    let sum: usize = parts.iter().map(|part| len(&reply(part))).sum();
    sum as f64 / parts.len() as f64
}

/// What a host that has `blocks` blocks in force spends on one that changes its home: the signed
/// text of a small head, the changed part and its place among the others.
fn change_cost(blocks: usize) -> f64 {
    let key = SigningKey::from_bytes(&[7; 32]);
    let mut store = ManifestStore::new("member".into(), key.verifying_key());
    let mut blocks = fleet::blocks(blocks);
    let mut next = |sequence: Sequence| {
        let middle = blocks.len() / 2;
        blocks[middle].home = fleet::region(sequence as usize);
        let manifest = Manifest { sequence, ..fleet::manifest(4, Vec::new()) };
        let text = serde_norway::to_string(&manifest).unwrap_or_default();
        sign_with_blocks(&text, &blocks, &key).expect("the made-up manifest is valid")
    };
    take_over(&mut store, next(1));
    let costs = (2..2 + CHANGES).map(|sequence| take_over(&mut store, next(sequence)));
    costs.fold(f64::INFINITY, f64::min)
}

/// Nanoseconds from the offer to in force, as a host does it.
fn take_over(store: &mut ManifestStore, (signed, parts): (SignedManifest, Vec<Part>)) -> f64 {
    let new = parts.into_iter().filter(|part| store.part(&part.id()).is_none());
    let new: Vec<Part> = new.collect();
    let start = thread_time();
    let _ = black_box(store.offer(signed.clone()));
    for part in new {
        store.add_part(part);
    }
    let _ = black_box(store.offer(signed));
    (thread_time() - start).as_nanos() as f64
}
