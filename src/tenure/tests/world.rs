//! Keepers of one zone, the platform's one object, and the links between them.

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

/// One zone.
pub struct World {
    pub hosts: Vec<Host>,
    /// Answers of writes are lost after the write took effect.
    pub lose_answers: bool,
    pub now: Moment,
    pub platform_up: bool,
    pub reads: u32,
    pub writes: u32,
    object: Option<(ZoneTenure, Version)>,
    targets: Vec<TargetId>,
    version: Version,
}

/// One host.
pub struct Host {
    pub down: bool,
    pub keeper: TenureKeeper,
    /// Neither ticks nor answers; what it published last stays.
    pub paused: bool,
    /// A write on its way while the host is paused.
    pub on_its_way: Option<(Action, Moment)>,
    pub published: Tenure,
    heard: BTreeMap<HostId, Moment>,
    id: HostId,
    incarnation: Incarnation,
}

impl World {
    pub fn new() -> Self {
        Self {
            hosts: Vec::new(),
            lose_answers: false,
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
            heard: BTreeMap::new(),
            id: id.into(),
            incarnation,
            keeper: TenureKeeper::new(id.into(), incarnation, "z".into()),
            on_its_way: None,
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
                if self.hosts[at].runs() && self.now.as_millis() % 1000 == (at % 10) as u128 * 100 {
                    self.tick(at);
                }
            }
            // In a large zone each look is long, and a second of doubt would still be seen.
            if self.hosts.len() < 10 || self.now.as_millis().is_multiple_of(1000) {
                self.check();
            }
        }
    }

    /// Wakes a paused host, without any message yet.
    pub fn resume(&mut self, at: usize) {
        self.hosts[at].paused = false;
        if let Some((action, sent)) = self.hosts[at].on_its_way.take() {
            let event = self.platform(action, sent);
            self.feed(at, event);
        }
    }

    /// Targets that a host may use in full, and those it may use at reduced concurrency.
    pub fn uses(&self, at: usize) -> (usize, usize) {
        let full = self.targets.iter().filter(|target| self.use_of(at, target) == Some(true));
        let some = self.targets.iter().filter(|target| self.use_of(at, target).is_some());
        let full = full.count();
        (full, some.count() - full)
    }

    pub fn listed(&self) -> Vec<HostId> {
        let list = self.object.iter().flat_map(|(list, _)| &list.hosts);
        list.map(|holder| holder.host.clone()).collect()
    }

    /// No target is used in full by two hosts, whatever each of them knows.
    fn check(&self) {
        for target in &self.targets {
            let full: BTreeSet<_> =
                (0..self.hosts.len()).filter(|at| self.use_of(*at, target) == Some(true)).collect();
            assert!(full.len() <= 1, "{target} at {:?}: {full:?}", self.now);
        }
    }

    fn use_of(&self, at: usize, target: &TargetId) -> Option<bool> {
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
            let last = host.heard.get(&other.id).copied();
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
        self.feed(at, Event::Hosts(live));
        self.feed(at, Event::Tick);
    }

    fn exchange(&mut self, at: usize) {
        for to in 0..self.hosts.len() {
            if to == at || !self.hosts[to].runs() {
                continue;
            }
            for (from, to) in [(at, to), (to, at)] {
                let id = self.hosts[from].id.clone();
                let now = self.now;
                self.hosts[to].heard.insert(id, now);
                let list = self.hosts[from].keeper.list().clone();
                if self.hosts[to].keeper.list().fence < list.fence {
                    self.feed(to, Event::Heard(list));
                }
            }
            // As the membership asks its preferred partners: one at each tick, by turns.
            let witnesses = self.hosts[at].keeper.witnesses();
            let turn = self.now.as_secs() as usize % witnesses.len().max(1);
            if witnesses.get(turn) != Some(&self.hosts[to].id) {
                continue;
            }
            let (fence, host) = (self.hosts[to].keeper.list().fence, self.hosts[to].id.clone());
            self.feed(at, Event::Acknowledged { fence, host, sent: self.now });
        }
    }

    fn feed(&mut self, at: usize, event: Event) {
        let now = self.now;
        let actions = self.hosts[at].keeper.on(event, now);
        self.hosts[at].published = self.hosts[at].keeper.tenure(now);
        for action in actions {
            if matches!(action, Action::Note(_)) {
                continue;
            }
            if self.hosts[at].paused {
                self.hosts[at].on_its_way = Some((action, now));
                continue;
            }
            let event = self.platform(action, now);
            self.feed(at, event);
        }
    }

    fn platform(&mut self, action: Action, sent: Moment) -> Event {
        match action {
            Action::Note(_) => unreachable!("notes stay with the host"),
            Action::Read if !self.platform_up => Event::Read { result: ReadResult::Failed, sent },
            Action::Read => {
                self.reads += 1;
                let result = match self.object.clone() {
                    Some((list, version)) => ReadResult::Found(list, version),
                    None => ReadResult::Absent,
                };
                Event::Read { result, sent }
            }
            Action::Write { .. } if !self.platform_up => {
                Event::Written { result: WriteResult::Failed, sent }
            }
            Action::Write { expect, object } => {
                if !expect.is_met_by(self.object.as_ref().map(|(_, version)| *version)) {
                    return Event::Written { result: WriteResult::Conflict, sent };
                }
                self.version += 1;
                self.writes += 1;
                self.object = Some((object, self.version));
                let result = match self.lose_answers {
                    true => WriteResult::Failed,
                    false => WriteResult::Written(self.version),
                };
                Event::Written { result, sent }
            }
        }
    }

    /// A write by someone else in between.
    pub fn expect_now(&self) -> Expect {
        self.object.as_ref().map_or(Expect::Absent, |(_, version)| Expect::Version(*version))
    }
}

impl Host {
    pub fn is_named(&self, id: &str) -> bool {
        &*self.id == id
    }

    pub fn runs(&self) -> bool {
        !self.paused && !self.down
    }
}
