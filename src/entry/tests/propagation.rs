//! Simulation of how a change propagates to the hosts of a region by their state queries, without
//! sockets.
//!
//! All hosts have the smallest supported size. The model accounts for the CPU time of compression
//! and for the time that responses take on a host's link; sizes and rates are a tenth of real ones.

use std::collections::VecDeque;

use super::secs;
use crate::{
    entry::{
        Revisions, Stamp, StorePart,
        peer_queries::{PeerQueries, QueryOutcome},
        store_objects::StoreObjects,
        sync::{
            MAX_CONCURRENT_RESPONSES, QUERY_TIMEOUT, Query as StateQuery, ReceivedState,
            ResponseCache,
        },
    },
    fleet::StateSource,
    prelude::*,
};

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Bytes of objects that a tenth of a CPU core compresses per second.
const COMPRESSED_BYTES_PER_S: f64 = 100_000.0;

/// Bandwidth of a link.
const LINK_BYTES_PER_S: f64 = 125_000.0;

/// Number of routes of a declaration that is close to the store's maximum object size.
const ROUTES: u32 = 400;

/// Time within which a change must be in force at all hosts, and a target that shuts down must get
/// no more requests.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Delays with which the two watchers of the region receive a change.
const WATCHER_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];

/// A change of an object in the store.
#[derive(Clone)]
struct Change {
    at: Moment,
    name: Arc<str>,
    object: bytes::Bytes,
    part: StorePart,
    revision: u64,
}

/// A query that waits at the queried host.
struct Query {
    from: usize,
    since: Revisions,
}

/// A response in transit; without content if the query was rejected.
struct Response {
    arrives_at: Moment,
    from: usize,
    since: Revisions,
    encoded: Option<bytes::Bytes>,
}

struct Host {
    response_cache: ResponseCache,
    busy_until: Moment,
    incoming: VecDeque<Response>,
    link_busy_until: Moment,
    queries: VecDeque<Query>,
    peer_queries: PeerQueries,
    /// Arrival times of this host's responses that are in transit.
    response_arrivals: Vec<Moment>,
    objects: StoreObjects,
    /// The stamp in its last heartbeat.
    announced_stamp: Stamp,
    /// The host that was queried, and when; `None` if no query is in flight.
    pending: Option<(usize, Moment)>,
}

impl Host {
    fn stamp(&self) -> Stamp {
        let revisions = self.objects.revisions();
        let Revisions { declared, targets, .. } = revisions;
        Stamp { declared, evacuations: 0, revisions, targets }
    }

    fn apply_change(&mut self, change: &Change) {
        let objects = self.objects.part_mut(change.part);
        objects.insert(change.name.clone(), change.revision, change.object.clone());
        objects.record_revision(change.revision);
    }

    fn apply_response(&mut self, received: &ReceivedState, since: Revisions) {
        for diff in &received.parts {
            let part = diff.part;
            if self.objects.part_mut(part).merge_difference(diff, None).is_none() {
                continue;
            }
            assert_eq!(self.objects.part(part).digest(), diff.digest);
            let query = StateQuery::since(since);
            self.response_cache.cache_received(received, part, &self.objects, &query);
        }
    }

    /// Responds to the next query; returns the query, the arrival time of the response, and the
    /// response.
    fn respond_to_next(&mut self, now: Moment) -> Option<(Query, Moment, bytes::Bytes)> {
        let query = self.queries.pop_front()?;
        let bytes_before = self.response_cache.compressed_bytes();
        let encoded = self
            .response_cache
            .response(&self.objects, self.objects.revisions(), &StateQuery::since(query.since))
            .expect("it can be encoded");
        let compress_s =
            (self.response_cache.compressed_bytes() - bytes_before) as f64 / COMPRESSED_BYTES_PER_S;
        self.busy_until = now + Duration::from_secs_f64(compress_s);
        let transfer = Duration::from_secs_f64(encoded.len() as f64 / LINK_BYTES_PER_S);
        self.link_busy_until = self.link_busy_until.max(self.busy_until) + transfer;
        self.response_arrivals.push(self.link_busy_until);
        Some((query, self.link_busy_until, encoded))
    }
}

fn addr(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], host as u16 + 1))
}

/// A region whose hosts alternate between two zones.
struct Region {
    changes: Vec<Change>,
    hosts: Vec<Host>,
    now: Moment,
}

impl Region {
    fn new(count: usize, changes: Vec<Change>) -> Self {
        let host = |at| Host {
            response_cache: ResponseCache::default(),
            busy_until: Moment::ZERO,
            incoming: VecDeque::new(),
            link_busy_until: Moment::ZERO,
            queries: VecDeque::new(),
            peer_queries: PeerQueries::new(addr(at)),
            objects: StoreObjects::default(),
            response_arrivals: Vec::new(),
            announced_stamp: Stamp::default(),
            pending: None,
        };
        Self { changes, hosts: (0..count).map(host).collect(), now: secs(1.0) }
    }

    /// The stamps that a host receives: of each other host of its zone, and, for each part, of the
    /// host of the other zone with the newest data.
    fn state_sources(&self, host: usize) -> Vec<StateSource> {
        let source =
            |at: usize| StateSource { control: addr(at), stamp: self.hosts[at].announced_stamp };
        let (near, far): (Vec<usize>, Vec<usize>) =
            (0..self.hosts.len()).filter(|at| *at != host).partition(|at| at % 2 == host % 2);
        let mut sources: Vec<StateSource> = near.into_iter().map(source).collect();
        for part in [StorePart::Declared, StorePart::Targets] {
            let newest =
                far.iter().max_by_key(|at| self.hosts[**at].announced_stamp.revisions.of(part));
            sources.extend(newest.map(|at| source(*at)));
        }
        sources
    }

    fn step(&mut self) {
        self.now += STEP;
        for (watcher, delay) in WATCHER_DELAYS.into_iter().enumerate() {
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

    /// Applies the changes until `until` to a watcher, unless its control thread is busy.
    fn watch(&mut self, at: usize, until: Moment) {
        let host = &mut self.hosts[at];
        if self.now < host.busy_until {
            return;
        }
        for change in self.changes.iter().filter(|change| change.at <= until) {
            if host.objects.revisions().of(change.part) < change.revision {
                host.apply_change(change);
            }
        }
    }

    fn receive(&mut self, at: usize) {
        let now = self.now;
        let host = &mut self.hosts[at];
        while host.incoming.front().is_some_and(|response| response.arrives_at <= now) {
            let Some(response) = host.incoming.pop_front() else { break };
            if host.pending.is_none_or(|(queried, _)| queried != response.from) {
                continue;
            }
            host.pending = None;
            let outcome = match response.encoded {
                Some(_) => QueryOutcome::Answered,
                None => QueryOutcome::Busy,
            };
            host.peer_queries.record_outcome(addr(response.from), outcome, now);
            if let Some(encoded) = response.encoded {
                host.apply_response(
                    &ReceivedState::decode(&encoded).expect("a valid response"),
                    response.since,
                );
            }
        }
        if let Some((queried, since)) = host.pending
            && QUERY_TIMEOUT <= now.saturating_sub(since)
        {
            host.pending = None;
            host.peer_queries.record_outcome(addr(queried), QueryOutcome::Failed, now);
        }
    }

    fn serve(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.announced_stamp = host.stamp();
        if let Some((query, arrives, encoded)) = host.respond_to_next(self.now) {
            let response = Response {
                arrives_at: arrives,
                from: at,
                since: query.since,
                encoded: Some(encoded),
            };
            self.hosts[query.from].incoming.push_back(response);
        }
    }

    fn query(&mut self, at: usize) {
        if self.now < self.hosts[at].busy_until || self.hosts[at].pending.is_some() {
            return;
        }
        let region = RegionId::from("north");
        let sources = self.state_sources(at);
        let others = sources.into_iter().map(|source| (&region, source));
        let (own_stamp, is_watcher, now) =
            (self.hosts[at].stamp(), at < WATCHER_DELAYS.len(), self.now);
        let Some(queried) =
            self.hosts[at].peer_queries.next_peer(&own_stamp, others, &region, is_watcher, now)
        else {
            return;
        };
        let queried = usize::from(queried.port()) - 1;
        self.hosts[at].pending = Some((queried, now));
        let other = &mut self.hosts[queried];
        other.response_arrivals.retain(|arrives| now < *arrives);
        if MAX_CONCURRENT_RESPONSES <= other.queries.len() + other.response_arrivals.len() {
            let since = own_stamp.revisions;
            let rejection =
                Response { arrives_at: now + STEP, from: queried, since, encoded: None };
            return self.hosts[at].incoming.push_back(rejection);
        }
        other.queries.push_back(Query { from: at, since: own_stamp.revisions });
    }

    /// Runs until `until`; returns the longest time from a change until all hosts had it.
    fn max_propagation_time(&mut self, until: Moment) -> Duration {
        let mut latest = Duration::ZERO;
        while self.now < until {
            self.step();
            for change in self.changes.iter().filter(|change| change.at <= self.now) {
                let is_known =
                    |host: &Host| change.revision <= host.objects.revisions().of(change.part);
                if !self.hosts.iter().all(is_known) {
                    latest = latest.max(self.now - change.at);
                }
            }
        }
        latest
    }
}

fn declaration(revision: u64) -> bytes::Bytes {
    let route = |at: u32| {
        let name = at.wrapping_mul(2_654_435_761);
        format!(
            r#"{{"name":"r-{name:x}","kind":"safe","targetLatency":"600ms","match":{{"prefix":"/{name:x}/"}},"action":{{"service":"s","timeout":"3000ms","attempts":2,"regions":[]}}}}"#
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!(r#"{{"version":"{revision:08x}","rules":[{}]}}"#, routes.join(",")).into()
}

/// A target is replaced every half second; meanwhile two large declarations are written shortly
/// after each other.
fn release_with_declarations() -> Vec<Change> {
    let replace_target = |at: u64| Change {
        at: secs(2.0) + Duration::from_millis(500 * at),
        name: format!("t-{at}").into(),
        object: format!(r#"{{"name":"t-{at}","state":"ready","slots":4}}"#).into(),
        part: StorePart::Targets,
        revision: 10 + at,
    };
    let declare = |at: f64, revision| Change {
        at: secs(at),
        name: "main".into(),
        object: declaration(revision),
        part: StorePart::Declared,
        revision,
    };
    (0..30)
        .map(replace_target)
        .chain([declare(1.0, 1), declare(6.25, 22), declare(8.6, 27)])
        .collect()
}

/// Hosts that compress a declaration again for each querying host are busy and get later changes
/// too late.
#[test]
fn a_large_declaration_is_in_force_in_time_during_a_release() {
    let mut region = Region::new(22, release_with_declarations());
    let latest = region.max_propagation_time(secs(22.0));
    assert!(latest < MAX_PROPAGATION_TIME, "a change reached the last host after {latest:?}");
}

/// If the few hosts that have a change respond to queries that have timed out already, most hosts
/// get it too late.
#[test]
fn a_large_declaration_is_in_force_in_time_in_a_large_region() {
    let mut region = Region::new(170, release_with_declarations());
    let latest = region.max_propagation_time(secs(22.0));
    assert!(latest < MAX_PROPAGATION_TIME, "a change reached the last host after {latest:?}");
}
