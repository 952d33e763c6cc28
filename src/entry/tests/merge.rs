//! Model of hosts that copy the store's objects, with the product's rules for merging and its
//! exchange between hosts, under random faults.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    entry::{
        Revisions, StorePart,
        merge::Statement,
        store_objects::{Difference, PartObjects, RawObject, RemovedObject, StoreObjects},
        sync::{PartDiff, Query, ReceivedState, ResponseCache},
    },
    prelude::*,
    store::StorePoint,
};

const PART: StorePart = StorePart::Evacuations;
const HOSTS: usize = 5;
const NAMES: u32 = 4;
const STEPS: u32 = 160;
const SEEDS: u64 = 3_000;

/// Share of the responses of hosts that are lost.
const LOST_SHARE: f64 = 0.1;

/// Share of the listings that end early, where the store has entries that lead to it.
const PARTIAL_SHARE: f64 = 0.5;

/// Number of rounds of watches and exchanges after the last fault, until all hosts are equal.
const SETTLE_ROUNDS: u32 = 4;

fn raw(name: &Arc<str>, revision: u64) -> RawObject {
    RawObject { name: name.clone(), revision, bytes: revision.to_string().into() }
}

/// The store, with the states that each name has had.
#[derive(Clone, Default)]
struct Store {
    now: StorePoint,
    objects: BTreeMap<Arc<str>, u64>,
    /// Writes and removals: the revision, and the state that was written or ended.
    events: Vec<(u64, Statement)>,
    compacted: u64,
}

impl Store {
    fn advance(&mut self) -> u64 {
        self.now.revision += 1;
        self.now.version()
    }

    fn write(&mut self, name: &Arc<str>) {
        let version = self.advance();
        self.objects.insert(name.clone(), version);
        self.events.push((version, Statement::Written(raw(name, version))));
    }

    fn remove(&mut self, name: &Arc<str>) {
        let Some(ended) = self.objects.remove(name) else { return };
        let version = self.advance();
        let removed = RemovedObject { name: name.clone(), ended };
        self.events.push((version, Statement::Removed(removed)));
    }

    /// The objects of a copy under the number of restores, as listings of the restored store state
    /// them.
    fn restored(copy: &Store, restores: u64) -> Store {
        let moved = |version: u64| {
            StorePoint { restores, revision: StorePoint::of(version).revision }.version()
        };
        let now = StorePoint { restores, ..copy.now };
        let objects = copy.objects.iter().map(|(name, at)| (name.clone(), moved(*at))).collect();
        Store { now, objects, events: Vec::new(), compacted: now.version() }
    }

    fn listing(&self) -> Message {
        let objects = self.objects.iter().map(|(name, version)| raw(name, *version)).collect();
        Message::Listing { objects, version: self.now.version() }
    }

    /// What a watch from `from` returns; `None` if its history is gone.
    fn watch(&self, from: u64) -> Option<Message> {
        if from < self.compacted || self.now.version() < from {
            return None;
        }
        let since = self.events.iter().filter(|(version, _)| from < *version);
        let statements = since
            .map(|(_, statement)| match statement.clone() {
                // As the client of the store has it: a removal is after the watched version.
                Statement::Removed(RemovedObject { name, ended }) => {
                    Statement::Removed(RemovedObject { name, ended: ended.max(from) })
                }
                written => written,
            })
            .collect();
        Some(Message::Changes { statements, version: self.now.version() })
    }
}

/// A message on its way to a host.
#[derive(Clone)]
enum Message {
    Changes {
        statements: Vec<Statement>,
        version: u64,
    },
    Listing {
        objects: Vec<RawObject>,
        version: u64,
    },
    /// A listing that ended early.
    PartialListing {
        objects: Vec<RawObject>,
        version: u64,
    },
    Response {
        from: usize,
        query: Query,
        received: ReceivedState,
    },
}

#[derive(Default)]
struct Host {
    /// Encoded answers to other hosts.
    cache: ResponseCache,
    inbox: Vec<Message>,
    objects: StoreObjects,
    /// The store does not answer this host.
    turned_away: bool,
    /// Version from which its watch continues; `None` before a listing.
    watched: Option<u64>,
}

impl Host {
    fn part(&self) -> &PartObjects {
        self.objects.part(PART)
    }

    fn state(&self) -> BTreeMap<Arc<str>, u64> {
        self.part().names().map(|(name, revision)| (name.clone(), revision)).collect()
    }
}

/// The place of the state that a host holds among those that a name has had. States that are absent
/// count too, so that a host may only move on.
#[derive(Default)]
struct Progress {
    /// For each name, all states in order: the version that existed, or `None`.
    states: BTreeMap<Arc<str>, Vec<Option<u64>>>,
    /// For each host and name, the first state that it can hold.
    reached: BTreeMap<(usize, Arc<str>), usize>,
}

impl Progress {
    fn record(&mut self, store: &Store, names: &[Arc<str>]) {
        for name in names {
            let state = store.objects.get(name).copied();
            let states = self.states.entry(name.clone()).or_insert_with(|| vec![None]);
            if states.last() != Some(&state) {
                states.push(state);
            }
        }
    }

    /// Checks that no name went back at a host.
    fn check(&mut self, at: usize, host: &Host, names: &[Arc<str>]) -> Result<(), String> {
        for name in names {
            let held = host.part().revision_of(name);
            let reached = self.reached.entry((at, name.clone())).or_default();
            let states = &self.states[name];
            match states[*reached..].iter().position(|state| *state == held) {
                Some(on) => *reached += on,
                None => {
                    let before = states[*reached];
                    return Err(format!("host {at}: {name} went back from {before:?} to {held:?}"));
                }
            }
        }
        Ok(())
    }
}

struct Model {
    copy: Store,
    hosts: Vec<Host>,
    /// Share of the responses of hosts that are lost.
    lost: f64,
    names: Vec<Arc<str>>,
    /// Share of the listings that end early.
    partial: f64,
    progress: Progress,
    rng: ChaCha8Rng,
    store: Store,
}

impl Model {
    fn new(seed: u64) -> Self {
        let names: Vec<Arc<str>> = (0..NAMES).map(|at| format!("zone-{at}").into()).collect();
        let store = Store { now: StorePoint { restores: 0, revision: 1 }, ..Store::default() };
        let mut progress = Progress::default();
        progress.record(&store, &names);
        let hosts = (0..HOSTS).map(|_| Host::default()).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let lost = LOST_SHARE;
        let partial = 0.0;
        Self { copy: store.clone(), hosts, lost, names, partial, progress, rng, store }
    }

    /// A listing, which may end early.
    fn listing(&mut self) -> Message {
        let listing = self.store.listing();
        let Message::Listing { mut objects, version } = listing else { return listing };
        if self.partial == 0.0 || !self.rng.random_bool(self.partial) {
            return Message::Listing { objects, version };
        }
        objects.retain(|_| self.rng.random_bool(0.5));
        Message::PartialListing { objects, version }
    }

    /// A host's next call to the store.
    fn call_store(&mut self, at: usize) {
        if self.hosts[at].turned_away {
            return;
        }
        let answer = self.hosts[at].watched.and_then(|from| self.store.watch(from));
        let answer = answer.unwrap_or_else(|| self.listing());
        let host = &mut self.hosts[at];
        host.watched = Some(self.store.now.version());
        host.inbox.push(answer);
    }

    fn query(&mut self, at: usize, from: usize, query: Query) {
        let other = &mut self.hosts[from];
        let known = other.objects.served_revisions();
        let encoded = other.cache.response(&other.objects, known, &query);
        let received = ReceivedState::decode(&encoded.expect("it can be encoded"));
        let received = received.expect("it can be decoded");
        self.hosts[at].inbox.push(Message::Response { from, query, received });
    }

    /// Has a host ask another one that knows more, as their stamps show it.
    fn exchange(&mut self, at: usize, from: usize) {
        let (own, other) = (&self.hosts[at], &self.hosts[from]);
        let is_ahead = own.part().revision() < other.objects.served_revisions().of(PART);
        if is_ahead && own.part().digest() != other.part().digest() {
            self.query(at, from, Query::since(own.objects.revisions()));
        }
    }

    fn receive(&mut self, at: usize, message: Message) {
        let host = &mut self.hosts[at];
        let objects = host.objects.part_mut(PART);
        match message {
            Message::Changes { statements, version } => {
                objects.merge_changes(statements, version);
            }
            Message::Listing { objects: listed, version } => {
                objects.merge_listing(listed, version);
            }
            Message::PartialListing { objects: listed, version } => {
                objects.merge_partial_listing(listed, version);
            }
            Message::Response { from, query, received } => {
                let mut is_different = received.too_old.contains(&PART);
                for diff in received.parts.iter().filter(|diff| diff.part == PART) {
                    let PartDiff { digest, .. } = diff;
                    let objects = host.objects.part_mut(PART);
                    if objects.merge_difference(diff, query.digests_of(PART)).is_none() {
                        continue;
                    }
                    is_different |= objects.digest() != *digest && !query.compares(PART);
                    host.cache.cache_received(&received, PART, &host.objects, &query);
                }
                if is_different {
                    let digests = vec![(PART, host.part().digests())];
                    let since = self.hosts[at].objects.revisions();
                    self.query(at, from, Query { since, digests });
                }
            }
        }
    }

    fn receive_next(&mut self, at: usize) {
        let inbox = &mut self.hosts[at].inbox;
        if inbox.is_empty() {
            return;
        }
        // Responses of the store come in order; those of hosts may overtake them.
        let is_from_store = |message: &Message| !matches!(message, Message::Response { .. });
        let responses: Vec<usize> =
            (0..inbox.len()).filter(|at| !is_from_store(&inbox[*at])).collect();
        let first = inbox.iter().position(is_from_store);
        let choices: Vec<usize> = first.into_iter().chain(responses).collect();
        let chosen = choices[self.rng.random_range(0..choices.len())];
        let message = inbox.remove(chosen);
        let is_lost =
            matches!(message, Message::Response { .. }) && self.rng.random_bool(self.lost);
        if !is_lost {
            self.receive(at, message);
        }
    }

    fn step(&mut self) {
        let at = self.rng.random_range(0..HOSTS);
        let name = self.names[self.rng.random_range(0..self.names.len())].clone();
        match self.rng.random_range(0..100_u32) {
            0..12 => self.store.write(&name),
            12..22 => self.store.remove(&name),
            22..26 => _ = self.store.advance(),
            26..40 => self.call_store(at),
            40..56 => {
                let from = self.rng.random_range(0..HOSTS);
                self.exchange(at, from);
            }
            56..86 => self.receive_next(at),
            86..92 => self.hosts[at].turned_away ^= true,
            92..94 => {
                // Killed, and started again.
                self.hosts[at] = Host::default();
                self.progress.reached.retain(|(host, _), _| *host != at);
            }
            94..96 => {
                self.store.compacted = self.store.now.version();
                self.store.events.clear();
            }
            96..98 => self.copy = self.store.clone(),
            98 => self.store = Store::restored(&self.copy, self.store.now.restores + 1),
            _ => self.hosts[at].watched = None,
        }
    }

    fn check_progress(&mut self) -> Result<(), String> {
        self.progress.record(&self.store, &self.names);
        for (at, host) in self.hosts.iter().enumerate() {
            self.progress.check(at, host, &self.names)?;
        }
        Ok(())
    }

    /// Plays faults and their end; describes what is wrong.
    fn run(&mut self) -> Result<(), String> {
        for _ in 0..STEPS {
            self.step();
            self.check_progress()?;
        }
        self.lost = 0.0;
        if 0.0 < self.partial {
            // What stood in the way of the listings is gone.
            self.partial = 0.0;
            self.hosts.iter_mut().for_each(|host| host.watched = None);
        }
        for _ in 0..SETTLE_ROUNDS {
            // Only two hosts watch; the others learn from them.
            for at in 0..2 {
                self.hosts[at].turned_away = false;
                self.call_store(at);
            }
            for at in 0..HOSTS {
                self.exchange(at, 0);
                self.exchange(at, 1);
                while !self.hosts[at].inbox.is_empty() {
                    self.receive_next(at);
                    self.check_progress()?;
                }
            }
        }
        for (at, host) in self.hosts.iter().enumerate() {
            if host.state() != self.store.objects {
                let (held, stored) = (host.state(), &self.store.objects);
                return Err(format!("host {at} holds {held:?}, the store {stored:?}"));
            }
        }
        Ok(())
    }
}

/// Guards against hosts that go back from what they have applied, or differ from the store for good,
/// because an older removal, write or listing reached them after a newer one.
#[test]
fn copies_never_go_back_and_become_equal() {
    let failed: Vec<String> = (0..SEEDS)
        .filter_map(|seed| Model::new(seed).run().err().map(|error| format!("{seed}: {error}")))
        .collect();
    assert!(failed.is_empty(), "{} of {SEEDS} seeds, first {:?}", failed.len(), failed.first());
}

/// Guards against hosts that end objects which a listing could not read, at themselves or at others.
#[test]
fn copies_never_go_back_by_listings_that_end_early() {
    let run = |seed| Model { partial: PARTIAL_SHARE, ..Model::new(seed) }.run();
    let failed: Vec<String> = (0..SEEDS)
        .filter_map(|seed| run(seed).err().map(|error| format!("{seed}: {error}")))
        .collect();
    assert!(failed.is_empty(), "{} of {SEEDS} seeds, first {:?}", failed.len(), failed.first());
}

/// Guards against a host that states its copy to others as complete although it lacks objects, or that
/// never does so again.
#[test]
fn a_copy_that_lacks_objects_does_not_count_as_complete() {
    let (listed, unlisted): (Arc<str>, Arc<str>) = ("t-1".into(), "t-2".into());
    let mut objects = PartObjects::default();
    let changes = objects.merge_partial_listing(vec![raw(&listed, 3)], 9);
    assert_eq!((changes.len(), objects.revision()), (1, 0));
    let changes = objects.merge_changes(vec![Statement::Written(raw(&unlisted, 12))], 12);
    assert_eq!((changes.len(), objects.revision()), (1, 0));
    objects.forget_unlisted();
    objects.merge_changes(Vec::new(), 14);
    assert_eq!(objects.revision(), 14);
    // What was known before stays, and so does the revision up to which it was.
    assert_eq!(objects.merge_partial_listing(Vec::new(), 20), []);
    assert_eq!((objects.names().count(), objects.revision()), (2, 14));
    assert!(objects.merge_listing(vec![raw(&listed, 3)], 21));
    assert_eq!((objects.names().count(), objects.revision()), (1, 21));
}

/// Guards against a host that takes its copy for complete after another host sent what had changed:
/// if the comparison that finds the rest fails, it never asks again and lacks an evacuation for good.
#[test]
fn a_copy_that_differs_stays_behind_until_it_is_compared() {
    let (missed, changed): (Arc<str>, Arc<str>) = ("north-a".into(), "north-b".into());
    let mut other = StoreObjects::default();
    other.part_mut(PART).merge_listing(vec![raw(&missed, 3), raw(&changed, 8)], 9);
    let mut host = PartObjects::default();
    // It has missed an object although its revision is later.
    host.record_revision(5);
    let difference = Difference { changed: vec![raw(&changed, 8)], ..Difference::default() };
    let digest = other.part(PART).digest();
    let diff = PartDiff { part: PART, revision: 9, digest, difference };
    assert!(host.merge_difference(&diff, None).is_some());
    assert_eq!(host.revision(), 5);
    let digests = host.digests();
    let difference = other.part(PART).difference_from(&digests);
    let diff = PartDiff { part: PART, revision: 9, digest, difference };
    assert!(host.merge_difference(&diff, Some(&digests)).is_some());
    assert_eq!((host.revision(), host.digest()), (9, digest));
    assert_eq!(host.revision_of(&missed), Some(3));
}

/// Guards against an evacuation that the whole fleet loses: a host's watch returned it when another
/// host's copy, which lacked it, had raised the revision of this one beyond it.
#[test]
fn a_watch_restores_what_another_host_left_out() {
    let zone: Arc<str> = "north-b".into();
    let written = || vec![Statement::Written(raw(&zone, 7))];
    let mut objects = PartObjects::default();
    objects.merge_listing(Vec::new(), 5);
    objects.record_revision(9);
    assert_eq!(objects.merge_changes(written(), 8), [], "the copy may know of its end");
    assert_eq!(objects.merge_changes(written(), 12).len(), 1);
    // The same where the other host's copy has ended it.
    let mut objects = PartObjects::default();
    objects.merge_listing(vec![raw(&zone, 7)], 7);
    objects.merge_listing(Vec::new(), 9);
    assert_eq!(objects.merge_changes(written(), 12).len(), 1);
    assert_eq!((objects.revision(), objects.revision_of(&zone)), (12, Some(7)));
}

/// Guards against a removal that ends an object which was created after it: a watch that continues
/// late returns both, when another host has already sent the creation.
#[test]
fn an_older_removal_does_not_end_a_newer_object() {
    let zone: Arc<str> = "north-b".into();
    let mut objects = PartObjects::default();
    objects.merge_listing(vec![raw(&zone, 5)], 5);
    let diff = PartDiff {
        part: PART,
        revision: 9,
        digest: 0,
        difference: Difference { changed: vec![raw(&zone, 9)], ..Difference::default() },
    };
    assert!(objects.merge_difference(&diff, None).is_some());
    let removed = Statement::Removed(RemovedObject { name: zone.clone(), ended: 5 });
    let changes = objects.merge_changes(vec![removed, Statement::Written(raw(&zone, 9))], 12);
    assert_eq!(changes, []);
    assert_eq!(objects.revision_of(&zone), Some(9));
    assert_eq!(objects.revision(), 12);
    let since = Revisions { evacuations: 9, ..Revisions::default() };
    let difference = objects.changes_since(since.evacuations).expect("the history reaches back");
    assert_eq!(difference, Default::default(), "there is nothing to spread");
}
