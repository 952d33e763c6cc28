//! Simulates the tenure state machines of one zone, the object on the platform and the exchanges
//! between the hosts.

use std::collections::BTreeSet;

use super::super::*;
use crate::{
    lookup::owner_of,
    prelude::*,
    store::{Expect, Version},
    view::Tenure,
};

const STEP: Duration = Duration::from_millis(100);
const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// One simulated zone.
pub struct ZoneSimulation {
    pub hosts: Vec<Host>,
    /// Whether the response to each write is lost after the write took effect.
    pub lose_write_responses: bool,
    pub now: Moment,
    pub platform_up: bool,
    pub reads: u32,
    pub writes: u32,
    object: Option<(ZoneTenure, Version)>,
    targets: Vec<TargetId>,
    version: Version,
}

/// One simulated host.
pub struct Host {
    pub down: bool,
    pub manager: TenureManager,
    /// Whether the host neither ticks nor responds; the tenure that it published last stays.
    pub paused: bool,
    /// A platform call that is delayed while the host is paused.
    pub delayed_call: Option<(Action, Moment)>,
    pub published: Tenure,
    last_heard: BTreeMap<HostId, Moment>,
    id: HostId,
    incarnation: Incarnation,
}

impl ZoneSimulation {
    pub fn new() -> Self {
        Self {
            hosts: Vec::new(),
            lose_write_responses: false,
            now: Duration::from_secs(1),
            object: None,
            platform_up: true,
            reads: 0,
            targets: (0..40).map(|at| format!("t{at}").into()).collect(),
            version: 0,
            writes: 0,
        }
    }

    pub fn start(&mut self, id: &str) -> usize {
        let incarnation = self.hosts.len() as Incarnation;
        self.hosts.push(Host {
            down: false,
            last_heard: BTreeMap::new(),
            id: id.into(),
            incarnation,
            manager: TenureManager::new(id.into(), incarnation, "z".into()),
            delayed_call: None,
            paused: false,
            published: Tenure::default(),
        });
        self.hosts.len() - 1
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for at in 0..self.hosts.len() {
                if self.hosts[at].is_running()
                    && self.now.as_millis() % 1000 == (at % 10) as u128 * 100
                {
                    self.tick(at);
                }
            }
            // The check is slow in a large zone, where a conflict of a second would still be found.
            if self.hosts.len() < 10 || self.now.as_millis().is_multiple_of(1000) {
                self.check_exclusive_use();
            }
        }
    }

    /// Resumes a paused host and carries out its delayed call, before any other message.
    pub fn resume(&mut self, at: usize) {
        self.hosts[at].paused = false;
        if let Some((action, sent)) = self.hosts[at].delayed_call.take() {
            let event = self.call_platform(action, sent);
            self.handle_event(at, event);
        }
    }

    /// Returns the number of targets that a host may use in full, and of those it may use at
    /// reduced concurrency.
    pub fn usable_targets(&self, at: usize) -> (usize, usize) {
        let full =
            self.targets.iter().filter(|target| self.permitted_use(at, target) == Some(true));
        let some = self.targets.iter().filter(|target| self.permitted_use(at, target).is_some());
        let full = full.count();
        (full, some.count() - full)
    }

    pub fn listed(&self) -> Vec<HostId> {
        let list = self.object.iter().flat_map(|(list, _)| &list.hosts);
        list.map(|holder| holder.host.clone()).collect()
    }

    /// Checks that no target is used in full by two hosts, whatever each of them knows.
    fn check_exclusive_use(&self) {
        for target in &self.targets {
            let full: BTreeSet<_> = (0..self.hosts.len())
                .filter(|at| self.permitted_use(*at, target) == Some(true))
                .collect();
            assert!(full.len() <= 1, "{target} at {:?}: {full:?}", self.now);
        }
    }

    /// Returns whether a host may use a target in full, or `None` if it may not use it at all.
    fn permitted_use(&self, at: usize, target: &TargetId) -> Option<bool> {
        let host = &self.hosts[at];
        let tenure = &host.published;
        let owns = owner_of(target, &tenure.owners) == Some(&host.id);
        let may = !host.down && self.now < tenure.valid_until && owns;
        may.then(|| !tenure.is_provisional(target))
    }

    fn tick(&mut self, at: usize) {
        self.exchange(at);
        let host = &self.hosts[at];
        let heard = |other: &&Host| {
            let last = host.last_heard.get(&other.id).copied();
            other.id == host.id || last.is_some_and(|last| self.now < last + SUSPECT_AFTER)
        };
        let newest = |other: &&Host| {
            self.hosts
                .iter()
                .all(|third| third.id != other.id || third.incarnation <= other.incarnation)
        };
        let live = self.hosts.iter().filter(heard).filter(newest).map(|other| ZoneHost {
            host: other.id.clone(),
            incarnation: other.incarnation,
            leaving: false,
        });
        let live: Vec<_> = live.collect();
        self.handle_event(at, Event::LiveHosts(live));
        self.handle_event(at, Event::Tick);
    }

    fn exchange(&mut self, at: usize) {
        for to in 0..self.hosts.len() {
            if to == at || !self.hosts[to].is_running() {
                continue;
            }
            for (from, to) in [(at, to), (to, at)] {
                let id = self.hosts[from].id.clone();
                let now = self.now;
                self.hosts[to].last_heard.insert(id, now);
                let list = self.hosts[from].manager.holder_list().clone();
                if self.hosts[to].manager.holder_list().fence < list.fence {
                    self.handle_event(to, Event::ListReceived(list));
                }
            }
            // One witness at each tick, in rotation, as the membership chooses its preferred
            // partners.
            let witnesses = self.hosts[at].manager.witnesses();
            let index = self.now.as_secs() as usize % witnesses.len().max(1);
            if witnesses.get(index) != Some(&self.hosts[to].id) {
                continue;
            }
            let (fence, host) =
                (self.hosts[to].manager.holder_list().fence, self.hosts[to].id.clone());
            self.handle_event(at, Event::Acknowledged { fence, host, sent: self.now });
        }
    }

    fn handle_event(&mut self, at: usize, event: Event) {
        let now = self.now;
        let actions = self.hosts[at].manager.handle(event, now);
        self.hosts[at].published = self.hosts[at].manager.tenure(now);
        for action in actions {
            if matches!(action, Action::Note(_)) {
                continue;
            }
            if self.hosts[at].paused {
                self.hosts[at].delayed_call = Some((action, now));
                continue;
            }
            let event = self.call_platform(action, now);
            self.handle_event(at, event);
        }
    }

    fn call_platform(&mut self, action: Action, sent: Moment) -> Event {
        match action {
            Action::Note(_) => unreachable!("notes are not platform calls"),
            Action::Read if !self.platform_up => {
                Event::ReadDone { result: ReadResult::Failed, sent }
            }
            Action::Read => {
                self.reads += 1;
                let result = match self.object.clone() {
                    Some((list, version)) => ReadResult::Found(list, version),
                    None => ReadResult::Absent,
                };
                Event::ReadDone { result, sent }
            }
            Action::Write { .. } if !self.platform_up => {
                Event::WriteDone { result: WriteResult::Failed, sent }
            }
            Action::Write { expect, object } => {
                if !expect.is_met_by(self.object.as_ref().map(|(_, version)| *version)) {
                    return Event::WriteDone { result: WriteResult::Conflict, sent };
                }
                self.version += 1;
                self.writes += 1;
                self.object = Some((object, self.version));
                let result = match self.lose_write_responses {
                    true => WriteResult::Failed,
                    false => WriteResult::Written(self.version),
                };
                Event::WriteDone { result, sent }
            }
        }
    }

    /// Returns the expectation that a write at this time would meet.
    pub fn current_expect(&self) -> Expect {
        self.object.as_ref().map_or(Expect::Absent, |(_, version)| Expect::Version(*version))
    }
}

impl Host {
    pub fn is_named(&self, id: &str) -> bool {
        &*self.id == id
    }

    pub fn is_running(&self) -> bool {
        !self.paused && !self.down
    }
}
