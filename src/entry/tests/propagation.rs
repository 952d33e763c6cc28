//! Propagation of a change to the hosts of a region: a replay of their queries, without sockets.
//!
//! All hosts are of the smallest size. The model charges compression to their processors and answers
//! to their links; sizes and rates are a tenth of real ones.

use std::collections::VecDeque;

use super::secs;
use crate::{
    entry::{
        Revisions, Stamp, StorePart,
        peer_queries::{PeerQueries, QueryOutcome},
        sync::{MAX_CONCURRENT_RESPONSES, QUERY_TIMEOUT, RawObjects, ReceivedState, ResponseCache},
    },
    fleet::StateSource,
    prelude::*,
};

/// Step of the model's time.
const STEP: Duration = Duration::from_millis(10);

/// Bytes of objects that a tenth of a core compresses in a second.
const PACKED_PER_S: f64 = 100_000.0;

/// Bandwidth of a link, in bytes a second.
const LINK_PER_S: f64 = 125_000.0;

/// Routes of a declaration close to the store's largest object.
const ROUTES: u32 = 400;

/// Time within which a change is to be in force and a retiring target gets nothing more.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Delays with which the two watchers of the region receive a change.
const WATCHERS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// A change at the store.
#[derive(Clone)]
struct Change {
    at: Moment,
    name: Arc<str>,
    object: bytes::Bytes,
    part: StorePart,
    revision: u64,
}

struct Query {
    from: usize,
    since: Revisions,
}

/// An answer in transit; without content where the query was rejected.
struct Answer {
    at: Moment,
    from: usize,
    since: Revisions,
    packed: Option<bytes::Bytes>,
}

struct Host {
    answers: ResponseCache,
    busy_until: Moment,
    incoming: VecDeque<Answer>,
    link_free: Moment,
    queries: VecDeque<Query>,
    questions: PeerQueries,
    /// Arrival times of its answers in transit.
    sending: Vec<Moment>,
    raw: RawObjects,
    revisions: Revisions,
    /// The stamp of its last heartbeat.
    announced: Stamp,
    /// The host that it has queried, and when.
    pending: Option<(usize, Moment)>,
}

impl Host {
    fn stamp(&self) -> Stamp {
        let Revisions { declared, targets, .. } = self.revisions;
        Stamp { declared, evacuations: 0, revisions: self.revisions, targets }
    }

    fn take(&mut self, change: &Change) {
        let key = (change.part, change.name.clone());
        self.raw.insert(key, (change.revision, change.object.clone()));
        self.saw(change.part, change.revision);
    }

    fn saw(&mut self, part: StorePart, revision: u64) {
        match part {
            StorePart::Declared => self.revisions.declared = revision,
            StorePart::Evacuations => self.revisions.evacuations = revision,
            StorePart::Targets => self.revisions.targets = revision,
        }
    }

    fn learn(&mut self, received: &ReceivedState, since: Revisions) {
        for difference in &received.diff.parts {
            let (part, revision) = (difference.part, difference.revision);
            if revision <= self.revisions.of(part) {
                continue;
            }
            let objects = difference.apply_to(&self.raw);
            self.raw.retain(|(kept, _), _| *kept != part);
            for (name, version, object) in objects {
                self.raw.insert((part, name), (version, object));
            }
            self.saw(part, revision);
            self.answers.cache_received(received, part, &self.raw, since);
        }
    }

    /// Answers the next query; returns it with the answer and the time of its arrival.
    fn answer_next(&mut self, now: Moment) -> Option<(Query, Moment, bytes::Bytes)> {
        let query = self.queries.pop_front()?;
        let before = self.answers.compressed_bytes();
        let packed = self.answers.response(&self.raw, self.revisions, query.since).expect("packed");
        let work = (self.answers.compressed_bytes() - before) as f64 / PACKED_PER_S;
        self.busy_until = now + Duration::from_secs_f64(work);
        let sent = Duration::from_secs_f64(packed.len() as f64 / LINK_PER_S);
        self.link_free = self.link_free.max(self.busy_until) + sent;
        self.sending.push(self.link_free);
        Some((query, self.link_free, packed))
    }
}

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host as u16 + 1))
}

/// Two zones of a region, in turn.
struct Region {
    changes: Vec<Change>,
    hosts: Vec<Host>,
    now: Moment,
}

impl Region {
    fn new(count: usize, changes: Vec<Change>) -> Self {
        let host = |at| Host {
            answers: ResponseCache::default(),
            busy_until: Moment::ZERO,
            incoming: VecDeque::new(),
            link_free: Moment::ZERO,
            queries: VecDeque::new(),
            questions: PeerQueries::new(addr(at)),
            raw: RawObjects::new(),
            revisions: Revisions::default(),
            sending: Vec::new(),
            announced: Stamp::default(),
            pending: None,
        };
        Self { changes, hosts: (0..count).map(host).collect(), now: secs(1.0) }
    }

    /// The stamps that a host receives: of each host of its zone, and of the other zone's most
    /// up-to-date host for each part.
    fn informed(&self, of: usize) -> Vec<StateSource> {
        let informed_host =
            |at: usize| StateSource { control: addr(at), stamp: self.hosts[at].announced };
        let (near, far): (Vec<usize>, Vec<usize>) =
            (0..self.hosts.len()).filter(|at| *at != of).partition(|at| at % 2 == of % 2);
        let mut informed: Vec<StateSource> = near.into_iter().map(informed_host).collect();
        for part in [StorePart::Declared, StorePart::Targets] {
            let most = far.iter().max_by_key(|at| self.hosts[**at].announced.revisions.of(part));
            informed.extend(most.map(|at| informed_host(*at)));
        }
        informed
    }

    fn step(&mut self) {
        self.now += STEP;
        for (watcher, delay) in WATCHERS.into_iter().enumerate() {
            self.watch(watcher, self.now.saturating_sub(delay));
        }
        for at in 0..self.hosts.len() {
            if self.hosts[at].busy_until <= self.now {
                self.receive(at);
                self.serve(at);
                self.query(at);
            }
        }
    }

    /// A watcher takes in changes only while its control thread is free.
    fn watch(&mut self, at: usize, until: Moment) {
        let host = &mut self.hosts[at];
        if self.now < host.busy_until {
            return;
        }
        for change in self.changes.iter().filter(|change| change.at <= until) {
            if host.revisions.of(change.part) < change.revision {
                host.take(change);
            }
        }
    }

    fn receive(&mut self, at: usize) {
        let now = self.now;
        let host = &mut self.hosts[at];
        while host.incoming.front().is_some_and(|answer| answer.at <= now) {
            let Some(answer) = host.incoming.pop_front() else { break };
            if host.pending.is_none_or(|(queried, _)| queried != answer.from) {
                continue;
            }
            host.pending = None;
            let end = match answer.packed {
                Some(_) => QueryOutcome::Answered,
                None => QueryOutcome::Busy,
            };
            host.questions.record_outcome(addr(answer.from), end, now);
            if let Some(packed) = answer.packed {
                host.learn(&ReceivedState::decode(&packed).expect("an answer"), answer.since);
            }
        }
        if let Some((queried, since)) = host.pending
            && QUERY_TIMEOUT <= now.saturating_sub(since)
        {
            host.pending = None;
            host.questions.record_outcome(addr(queried), QueryOutcome::Failed, now);
        }
    }

    fn serve(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.announced = host.stamp();
        if let Some((query, arrives, packed)) = host.answer_next(self.now) {
            let answer = Answer { at: arrives, from: at, since: query.since, packed: Some(packed) };
            self.hosts[query.from].incoming.push_back(answer);
        }
    }

    fn query(&mut self, at: usize) {
        if self.now < self.hosts[at].busy_until || self.hosts[at].pending.is_some() {
            return;
        }
        let region = RegionId::from("north");
        let informed = self.informed(at);
        let others = informed.into_iter().map(|informed| (&region, informed));
        let (mine, watches, now) = (self.hosts[at].stamp(), at < WATCHERS.len(), self.now);
        let Some(queried) =
            self.hosts[at].questions.next_peer(&mine, others, &region, watches, now)
        else {
            return;
        };
        let queried = usize::from(queried.port()) - 1;
        self.hosts[at].pending = Some((queried, now));
        let other = &mut self.hosts[queried];
        other.sending.retain(|arrives| now < *arrives);
        if MAX_CONCURRENT_RESPONSES <= other.queries.len() + other.sending.len() {
            let since = mine.revisions;
            let refusal = Answer { at: now + STEP, from: queried, since, packed: None };
            return self.hosts[at].incoming.push_back(refusal);
        }
        other.queries.push_back(Query { from: at, since: mine.revisions });
    }

    /// The longest time from a change until the last host knew it.
    fn latest(&mut self, until: Moment) -> Duration {
        let mut latest = Duration::ZERO;
        while self.now < until {
            self.step();
            for change in self.changes.iter().filter(|change| change.at <= self.now) {
                let knows = |host: &Host| change.revision <= host.revisions.of(change.part);
                if !self.hosts.iter().all(knows) {
                    latest = latest.max(self.now - change.at);
                }
            }
        }
        latest
    }
}

fn declared(revision: u64) -> bytes::Bytes {
    let route = |at: u32| {
        let name = at.wrapping_mul(2_654_435_761);
        format!(
            r#"{{"name":"r-{name:x}","kind":"safe","targetLatency":"600ms","match":{{"prefix":"/{name:x}/"}},"action":{{"service":"s","timeout":"3000ms","attempts":2,"regions":[]}}}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!(r#"{{"version":"{revision:08x}","rules":[{}]}}"#, routes.join(",")).into()
}

/// Targets are replaced every half second while two large declarations come in a row.
fn release_with_declarations() -> Vec<Change> {
    let target = |at: u64| Change {
        at: secs(2.0) + Duration::from_millis(500 * at),
        name: format!("t-{at}").into(),
        object: format!(r#"{{"name":"t-{at}","state":"ready","slots":4}}"#).into(),
        part: StorePart::Targets,
        revision: 10 + at,
    };
    let declare = |at: f64, revision| Change {
        at: secs(at),
        name: "main".into(),
        object: declared(revision),
        part: StorePart::Declared,
        revision,
    };
    (0..30).map(target).chain([declare(1.0, 1), declare(6.25, 22), declare(8.6, 27)]).collect()
}

/// Hosts that compress a declaration for each querying host miss later changes meanwhile.
#[test]
fn a_large_declaration_is_in_force_in_time_during_a_release() {
    let mut region = Region::new(22, release_with_declarations());
    let latest = region.latest(secs(22.0));
    assert!(latest < IN_FORCE, "a host knew of a change after {latest:?}");
}

/// The few hosts that know a change answer queries that have timed out, and most hosts learn it late.
#[test]
fn a_large_declaration_is_in_force_in_time_in_a_large_region() {
    let mut region = Region::new(170, release_with_declarations());
    let latest = region.latest(secs(22.0));
    assert!(latest < IN_FORCE, "a host knew of a change after {latest:?}");
}
