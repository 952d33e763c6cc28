//! Callers: look up, send, give up waiting, send again as the answer says.

use rand::{Rng, seq::IndexedRandom};

use super::{
    checker::{Pair, Promise},
    fixture::{HOSTS, REGIONS, region_of_zone, zone_of_host},
    message::{Copy, Intent, Item, Origin, Place, Told},
    world::World,
};
use crate::{
    base::Resend,
    ledger::IdempotencyKey,
    prelude::*,
    routing::{Answer, Via},
};

const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
const DEADLINE: Duration = Duration::from_secs(4);
/// How long callers of a region keep a look-up.
const LOOK_UP_AGE: Duration = Duration::from_secs(3);
const MAX_SENDS: u32 = 5;
/// Mean time between two requests of one region's callers.
const PAUSE_MS: u64 = 200;

/// One booking or read, as its caller means it.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) binding: Option<Binding>,
    pub(super) booking: bool,
    done: bool,
    host: usize,
    pub(super) poison: bool,
    pub(super) region: usize,
    pub(super) rival: bool,
    sends: u32,
    /// The binding and key that each copy was sent under.
    sent: Vec<Option<Pair>>,
    /// Rises with each new key.
    round: u32,
}

impl World {
    pub(super) fn caller_next(&mut self, region: usize, poison: bool, rival: bool) {
        if !poison && !rival {
            let pause = if self.surges(region) { PAUSE_MS / 4 } else { PAUSE_MS };
            let pause = Duration::from_millis(self.rng.random_range(1..pause * 2));
            self.push(pause, Item::CallerNext { poison, region, rival });
        }
        let booking = poison || self.rng.random_bool(0.6);
        let caller = Caller {
            binding: None,
            booking,
            done: false,
            host: 0,
            poison,
            region,
            rival,
            round: 0,
            sends: 0,
            sent: Vec::new(),
        };
        self.callers.push(caller);
        self.send(self.callers.len() - 1);
    }

    /// Takes the region's cached look-up or asks a host of the region, or if none answers any host.
    fn look_up(&mut self, intent: Intent) -> bool {
        let region = self.callers[intent].region;
        let cached = self.look_ups.get(&region).cloned();
        if let Some((until, host, binding)) = cached
            && self.now < until
            && self.rng.random_bool(0.6)
        {
            let caller = &mut self.callers[intent];
            caller.host = host;
            caller.binding = Some(binding).filter(|_| caller.booking);
            return true;
        }
        let near: Vec<usize> = (0..HOSTS).filter(|host| is_near(*host, region)).collect();
        let all: Vec<usize> = (0..HOSTS).collect();
        for hosts in [near, all] {
            let answering: Vec<usize> =
                hosts.into_iter().filter(|host| self.answers_look_ups(*host)).collect();
            let Some(host) = answering.choose(&mut self.rng).copied() else { continue };
            let running = self.hosts[host].running.as_ref();
            let binding = running.map(|running| running.steer.binding());
            if let Some(binding) = &binding {
                let until = self.now + LOOK_UP_AGE;
                self.look_ups.insert(region, (until, host, binding.clone()));
            }
            let caller = &mut self.callers[intent];
            caller.host = host;
            caller.binding = binding.filter(|_| caller.booking);
            return true;
        }
        false
    }

    fn answers_look_ups(&self, host: usize) -> bool {
        let slot = &self.hosts[host];
        let running = slot.running.as_ref();
        running.is_some_and(|running| running.stop.is_none() && running.store.sequence().is_some())
            && slot.paused_until <= self.now
    }

    pub(super) fn send(&mut self, intent: Intent) {
        let caller = &self.callers[intent];
        if caller.done || MAX_SENDS <= caller.sends {
            return;
        }
        let looked_up = caller.binding.is_some() || (!caller.booking && 0 < caller.sends);
        if !looked_up && !self.look_up(intent) {
            self.callers[intent].sends += 1;
            self.callers[intent].sent.push(None);
            return self.push(Duration::from_secs(1), Item::CallerResend { intent });
        }
        self.send_copy(intent, self.callers[intent].host);
        if self.rng.random_ratio(1, 12) {
            let other = self.rng.random_range(0..HOSTS);
            self.send_copy(intent, other);
        }
    }

    fn send_copy(&mut self, intent: Intent, host: usize) {
        let caller = &mut self.callers[intent];
        caller.sends += 1;
        let (send, region, booking) = (caller.sends, caller.region, caller.booking);
        let binding = caller.binding.clone();
        let key: Option<IdempotencyKey> =
            booking.then(|| format!("{intent}-{}", caller.round).into());
        caller.sent.push(binding.clone().zip(key.clone()));
        self.checker.sent(region, booking, self.now);
        let copy = Copy { binding, deadline: DEADLINE, intent, key, via: Via::Caller };
        let origin = Origin::Caller { intent, send };
        let from = Place::Caller { region };
        self.send_to(from, Place::Host(host), Item::Arrive { copy, host, origin });
        self.push(CALLER_TIMEOUT, Item::CallerTimeout { intent, send });
    }

    /// The caller hangs up and sends the same again, to another host as likely as not.
    pub(super) fn caller_timeout(&mut self, intent: Intent, send: u32) {
        let caller = &mut self.callers[intent];
        if caller.done || caller.sends != send {
            return;
        }
        let (host, region) = (caller.host, caller.region);
        caller.host = self.rng.random_range(0..HOSTS);
        let origin = Origin::Caller { intent, send };
        let cancel = Item::Cancel { host, origin };
        self.send_to(Place::Caller { region }, Place::Host(host), cancel);
        if self.rng.random_bool(0.9) {
            self.send(intent);
        }
    }

    pub(super) fn caller_told(&mut self, intent: Intent, send: u32, told: Told) {
        let host = self.callers[intent].host;
        self.line_of(host, Some(intent), &format!("its caller hears of copy {send}: {told:?}"));
        let rival = self.callers[intent].rival;
        let answered = matches!(&told, Told::Answer(Answer::Kept { .. } | Answer::Pass, _));
        if rival {
            self.checker.check(Promise::MemberKept, !answered, || {
                format!("a rival's request {intent} was served")
            });
            self.callers[intent].done = true;
            return;
        }
        match told {
            Told::Answer(Answer::Error { error, retry_after }, _) => {
                self.refused(intent, send, error, retry_after);
            }
            Told::Answer(_, body) => {
                let own = body == Some(intent);
                self.checker.check(Promise::AnswerIsOwn, own, || {
                    format!("the caller of {intent} got the answer of {body:?}")
                });
                self.callers[intent].done = true;
            }
            Told::Nothing if self.callers[intent].sends == send => {
                self.callers[intent].host = self.rng.random_range(0..HOSTS);
                self.push(Duration::from_millis(200), Item::CallerResend { intent });
            }
            Told::Nothing => {}
        }
    }

    fn refused(
        &mut self,
        intent: Intent,
        send: u32,
        error: ErrorKind,
        retry_after: Option<Duration>,
    ) {
        *self.errors.entry(error).or_default() += 1;
        let row = error.response();
        let caller = &mut self.callers[intent];
        let pair = caller.sent[send as usize - 1].clone();
        if let Some(pair) = pair.filter(|_| row.ran == Ran::No) {
            self.checker.told_not_run(intent, pair);
        }
        if caller.done || caller.sends != send {
            return;
        }
        match row.resend {
            Resend::Fresh => {
                caller.binding = None;
                caller.round += 1;
            }
            Resend::Never => caller.done = true,
            Resend::Same => caller.host = self.rng.random_range(0..HOSTS),
        }
        let wait = retry_after.unwrap_or(Duration::from_millis(300));
        self.push(wait, Item::CallerResend { intent });
    }

    fn surges(&self, region: usize) -> bool {
        self.active_faults()
            .any(|fault| fault.kind == super::FaultKind::Surge && fault.region() == region)
    }
}

fn is_near(host: usize, region: usize) -> bool {
    region_of_zone(zone_of_host(host)) == region % REGIONS.len()
}
