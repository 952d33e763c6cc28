//! Planned stops: finish what runs, hand the ledger over, exit.

use rand::Rng;

use super::{
    checker::Promise,
    host::{Stop, successors},
    message::{Item, Place, Process},
    world::World,
};
use crate::{ledger::SealedLedger, prelude::*, routing::Event, tenure};

/// One in so many acknowledgements of a hand-over is lost.
const LOST_ACKS: u32 = 3;
const STEP: Duration = Duration::from_millis(200);
/// Longest time that a stop waits for requests in flight, and then for a successor.
const MOST: Duration = Duration::from_secs(12);

impl World {
    pub(super) fn begin_stop(&mut self, host: usize) {
        let now = self.now;
        let Some(running) = self.hosts[host].running.as_mut() else { return };
        if running.stop.is_some() {
            return;
        }
        let process = running.id;
        running.stop =
            Some(Stop { acknowledged: false, asked: Vec::new(), sealed: None, since: now });
        running.membership.leave();
        let local = running.local(now);
        let actions = running.keeper.handle(tenure::Event::Leave, local);
        self.trouble(host, MOST);
        self.keep(process, actions);
        // A view from before would let queued requests go to targets that were given up.
        self.show(host);
        self.steer(host, Event::Leave);
        self.push(STEP, Item::StopStep { process });
    }

    /// Waits for what runs, then asks one successor after the other, then exits.
    pub(super) fn stop_step(&mut self, process: Process) {
        let now = self.now;
        let Some(running) = self.running(process) else { return };
        let Some(stop) = running.stop.clone() else { return };
        let late = stop.since + MOST < now;
        let idle = running.calls.is_empty();
        if stop.acknowledged || late {
            running.closed = true;
            if idle || stop.since + MOST * 2 < now {
                return self.exit(process);
            }
        } else if idle || !stop.asked.is_empty() {
            self.ask_successor(process, &stop);
        }
        self.push(STEP, Item::StopStep { process });
    }

    /// Asks another successor at every fifth step; the last one may have taken it all the same.
    fn ask_successor(&mut self, process: Process, stop: &Stop) {
        let now = self.now;
        let Some(running) = self.running(process) else { return };
        let steps = stop.asked.len();
        let local = running.local(now);
        let to = successors(process.host)[steps / 5 % successors(process.host).len()];
        if !steps.is_multiple_of(5) {
            if let Some(stop) = running.stop.as_mut() {
                stop.asked.push(to);
            }
            return;
        }
        let sealed = stop.sealed.clone().unwrap_or_else(|| Arc::new(running.steer.seal(local)));
        if let Some(stop) = running.stop.as_mut() {
            stop.asked.push(to);
            stop.sealed = Some(sealed.clone());
        }
        let whole = SealedLedger::clone(&sealed);
        let sealed = SealedLedger::join(sealed.split(4_096)).unwrap_or(whole);
        let item = Item::Handover { from: process, sealed, to };
        if self.rng.random_ratio(1, 2) {
            let slow = Duration::from_millis(self.rng.random_range(200..3_000));
            return self.push(slow, item);
        }
        self.send_to(Place::Host(process.host), Place::Host(to), item);
    }

    pub(super) fn handover(&mut self, from: Process, sealed: SealedLedger, to: usize) {
        let now = self.now;
        let Some(running) = self.hosts[to].running.as_mut() else { return };
        let incarnations = sealed.incarnations();
        let local = running.local(now);
        if let Err(error) = running.steer.adopt(sealed, local) {
            return self.line(to, &format!("did not adopt: {error}"));
        }
        for incarnation in &incarnations {
            running.membership.adopt(*incarnation);
        }
        self.line(to, &format!("adopted {incarnations:x?}"));
        // The successor has it and the stopping host does not know: it asks another one too.
        if self.rng.random_ratio(1, LOST_ACKS) {
            return;
        }
        let item = Item::HandoverDone { from: to, to: from };
        self.send_to(Place::Host(to), Place::Host(from.host), item);
    }

    pub(super) fn handover_done(&mut self, from: usize, to: Process) {
        let Some(running) = self.running(to) else { return };
        if let Some(stop) = running.stop.as_mut() {
            stop.acknowledged = true;
        }
        self.line(to.host, &format!("handed over to host {from}"));
    }

    fn exit(&mut self, process: Process) {
        let Some(running) = self.running(process) else { return };
        let cut = running.calls.len();
        self.checker.check(Promise::StopCutsNothing, cut == 0, || {
            format!("host {} stopped with {cut} requests in flight", process.host)
        });
        self.line(process.host, "exits");
        self.kill(process.host);
    }
}
