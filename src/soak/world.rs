//! The state of a run and the distribution of its items.

use std::collections::{BTreeSet, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::Xxh3;

use super::{
    FaultKind,
    agenda::Agenda,
    callers::Caller,
    checker::{Checker, Promise},
    control::FakePlatform,
    fault::Fault,
    fixture::{HOSTS, REGIONS, TARGETS, host_id},
    host::{HostSlot, Running},
    message::{Intent, Item, Place, Process},
    target::FakeTarget,
};
use crate::{prelude::*, timeline::EventKind};

/// When a run begins: late enough for the clocks of hosts to have started before.
pub(super) const START: Moment = Duration::from_secs(10_000);

/// One line of the time line, and the request that it is about.
#[derive(Debug)]
struct Line {
    request: Option<Intent>,
    text: String,
}

/// Lines of the time line that are kept.
const LINES: usize = 20_000;

pub(super) struct World {
    pub(super) active: BTreeSet<usize>,
    pub(super) agenda: Agenda<Item>,
    pub(super) callers: Vec<Caller>,
    pub(super) checker: Checker,
    pub(super) errors: BTreeMap<ErrorKind, u64>,
    pub(super) faults: Vec<Fault>,
    pub(super) hosts: Vec<HostSlot>,
    /// The latest lines of the time line.
    lines: VecDeque<Line>,
    /// Cached look-ups by region: until when, the host, its binding.
    pub(super) look_ups: BTreeMap<usize, (Moment, usize, Binding)>,
    pub(super) now: Moment,
    pub(super) platform: FakePlatform,
    pub(super) rng: ChaCha8Rng,
    pub(super) targets: Vec<FakeTarget>,
    hash: Xxh3,
}

impl World {
    pub(super) fn new(seed: u64, faults: Vec<Fault>) -> Self {
        let mut world = Self {
            active: BTreeSet::new(),
            agenda: Agenda::new(),
            callers: Vec::new(),
            checker: Checker::default(),
            errors: BTreeMap::new(),
            faults,
            hash: Xxh3::new(),
            hosts: (0..HOSTS).map(|_| HostSlot::default()).collect(),
            lines: VecDeque::new(),
            look_ups: BTreeMap::new(),
            now: START,
            platform: FakePlatform::new(START),
            rng: ChaCha8Rng::seed_from_u64(seed),
            targets: (0..TARGETS).map(|_| FakeTarget::default()).collect(),
        };
        for host in 0..HOSTS {
            world.push(Duration::ZERO, Item::Start { host });
        }
        for region in 0..REGIONS.len() {
            let first = Duration::from_secs(3);
            world.push(first, Item::CallerNext { poison: false, region, rival: false });
        }
        for target in 0..TARGETS {
            world.push(Duration::from_millis(1_000 + target as u64), Item::Report { target });
        }
        for number in 0..world.faults.len() {
            world.push(world.faults[number].at, Item::Fault(number));
        }
        world
    }

    /// Handles the next item; false when there is none.
    pub(super) fn step(&mut self) -> bool {
        let Some((at, item)) = self.agenda.pop() else { return false };
        self.now = self.now.max(at);
        if let Some(host) = item.host()
            && self.now < self.hosts[host].paused_until
        {
            self.agenda.push(self.hosts[host].paused_until, item);
            return true;
        }
        self.handle(item);
        true
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Arrive { copy, host, origin } => self.arrive(copy, host, origin),
            Item::AtTarget { copy, attempt, by, target } => {
                self.at_target(copy, attempt, by, target);
            }
            Item::CallerNext { poison, region, rival } => self.caller_next(region, poison, rival),
            Item::CallerResend { intent } => self.send(intent),
            Item::CallerTimeout { intent, send } => self.caller_timeout(intent, send),
            Item::Cancel { host, origin } => self.cancel(host, origin),
            Item::Ended { attempt, body, outcome, process } => {
                self.ended(process, attempt, outcome, body);
            }
            Item::Exchange { digest, from, sent, to } => self.exchange(&digest, from, sent, to),
            Item::Exchanged { digest, from, sent, to } => self.exchanged(*digest, from, sent, to),
            Item::Fault(number) => self.begin_fault(number),
            Item::FaultEnd(number) => drop(self.active.remove(&number)),
            Item::Handover { from, sealed, to } => self.handover(from, sealed, to),
            Item::HandoverDone { from, to } => self.handover_done(from, to),
            Item::Manifest { signed, to } => self.manifest(signed, to),
            Item::ManifestWrite { expect, signed } => self.manifest_write(expect, signed),
            Item::PlatformRead { by, sent } => self.platform_read(by, sent),
            Item::PlatformWrite { by, expect, object, sent } => {
                self.platform_write(by, expect, object, sent);
            }
            Item::Report { target } => self.report(target),
            Item::Start { host } => self.start(host),
            Item::StopStep { process } => self.stop_step(process),
            Item::TargetBack { target } => self.target_back(target),
            Item::TargetDone { target, work } => self.target_done(target, work),
            Item::Tenure { event, to } => self.tenure(event, to),
            Item::Tick { process } => self.tick(process),
            Item::Told { intent, send, told } => self.caller_told(intent, send, told),
        }
    }

    pub(super) fn push(&mut self, after: Duration, item: Item) {
        self.agenda.push(self.now + after, item);
    }

    /// Sends a message, unless the way is cut.
    pub(super) fn send_to(&mut self, from: Place, to: Place, item: Item) {
        if self.is_cut(from, to) {
            return;
        }
        let way = from.delay_to(to);
        let jitter = self.rng.random_range(0..way / 4 + 100);
        self.push(Duration::from_micros(way + jitter), item);
    }

    /// A cut zone reaches its own callers and targets, and nobody else.
    pub(super) fn is_cut(&self, from: Place, to: Place) -> bool {
        if from.zone() == to.zone() || matches!(from, Place::Caller { .. }) {
            return false;
        }
        if matches!(to, Place::Caller { .. }) {
            return false;
        }
        let cut = |place: Place| {
            place.zone().is_some_and(|zone| {
                self.active_faults()
                    .any(|fault| fault.kind == FaultKind::ZoneCut && fault.zone() == zone)
            })
        };
        cut(from) || cut(to)
    }

    pub(super) fn active_faults(&self) -> impl Iterator<Item = &Fault> {
        self.active.iter().map(|number| &self.faults[*number])
    }

    pub(super) fn is_active(&self, kind: FaultKind) -> bool {
        self.active_faults().any(|fault| fault.kind == kind)
    }

    /// The process, if it still runs.
    pub(super) fn running(&mut self, process: Process) -> Option<&mut Running> {
        let running = self.hosts[process.host].running.as_mut()?;
        (running.id == process).then_some(running)
    }

    pub(super) fn start(&mut self, host: usize) {
        if self.hosts[host].running.is_some() {
            return;
        }
        let running = Running::start(host, self.now, &mut self.rng);
        let process = running.id;
        self.hosts[host].running = Some(running);
        self.trouble(host, Duration::ZERO);
        self.line(host, "started");
        self.push(Duration::ZERO, Item::Tick { process });
    }

    /// Ends a process. Who waits for it sees the connection break; what it sent goes on.
    pub(super) fn kill(&mut self, host: usize) {
        let Some(running) = self.hosts[host].running.take() else { return };
        for info in running.calls.into_values() {
            self.break_off(host, info.origin, true);
        }
        self.hosts[host].paused_until = Duration::ZERO;
        let back = Duration::from_millis(self.rng.random_range(800..4_000));
        self.trouble(host, back);
        self.push(back, Item::Start { host });
    }

    pub(super) fn trouble(&mut self, host: usize, lasts: Duration) {
        let until = self.now + lasts;
        let slot = &mut self.hosts[host];
        slot.troubled_until = slot.troubled_until.max(until);
    }

    /// Whether nothing was done to a host for that long.
    pub(super) fn is_quiet(&self, host: usize, time: Duration) -> bool {
        self.hosts[host].troubled_until + time < self.now
    }

    /// Whether nothing was done to any host for that long.
    pub(super) fn all_quiet(&self, time: Duration) -> bool {
        (0..HOSTS).all(|host| self.is_quiet(host, time))
    }

    pub(super) fn note(&mut self, host: usize, kind: &EventKind, request: Option<&RequestId>) {
        if let EventKind::InvariantBroken { detail, name } = kind {
            let detail = format!("{name} at {}: {detail}", host_id(host));
            self.checker.check(Promise::Invariant, false, || detail);
        }
        let request = request.and_then(|id| id.parse().ok());
        self.line_of(host, request, &format!("{kind:?}"));
    }

    pub(super) fn line(&mut self, host: usize, text: &str) {
        self.line_of(host, None, text);
    }

    pub(super) fn line_of(&mut self, host: usize, request: Option<Intent>, text: &str) {
        let at = (self.now - START).as_secs_f64();
        let name = host_id(host);
        let number = request.map(|intent| intent.to_string()).unwrap_or_default();
        let text = format!("{at:9.4} {name:<11} {number:>5} {text}");
        self.digest(&text);
        if self.lines.len() == LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(Line { request, text });
    }

    /// The end of the time line, as far as it concerns the request, or all requests.
    pub(super) fn lines_of(&self, request: Option<Intent>, most: usize) -> Vec<String> {
        let concerns =
            |line: &&Line| request.is_none() || line.request.is_none() || line.request == request;
        let mut lines: Vec<String> =
            self.lines.iter().rev().filter(concerns).take(most).map(|l| l.text.clone()).collect();
        lines.reverse();
        lines
    }

    pub(super) fn digest(&mut self, text: &str) {
        self.hash.update(text.as_bytes());
    }

    pub(super) fn digest_value(&self) -> u64 {
        self.hash.digest()
    }
}
