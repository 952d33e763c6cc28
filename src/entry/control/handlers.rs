//! What the control actor does with each message.

use xtra::{Actor, Handler};

use super::{
    Datagram, Enrolled, EntryControl, Leave, Pulse, Roll, Share, Shared, Told,
    talk::{ENROL_PAUSE, FAR_BEATS},
};
use crate::{
    entry::{Beat, Part, sync::Difference},
    prelude::*,
};

impl Actor for EntryControl {
    type Stop = ();

    async fn stopped(self) -> Self::Stop {}
}

impl Handler<Told> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Told(part, told): Told, _: &mut xtra::Context<Self>) {
        if self.told(part, told) {
            self.publish();
            // Hosts that do not watch hear of it now, not with the next beat.
            self.send_beats();
        }
    }
}

impl Handler<Datagram> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Datagram(bytes): Datagram, cx: &mut xtra::Context<Self>) {
        let beat: Beat = match postcard::from_bytes(&bytes) {
            Ok(beat) => beat,
            Err(error) => return log::debug!("a datagram is no beat: {error}"),
        };
        if beat.host == self.parts.settings.host {
            return;
        }
        let now = self.now();
        let region = self.parts.settings.region_of(&beat.zone);
        let told: Vec<SocketAddr> = beat.peers.clone();
        let host = beat.host.clone();
        if self.peers.heard(beat, region, now) {
            log::info!("host {host} is heard");
        }
        if self.followers.is_empty() {
            self.ask(&cx.mailbox().address());
        }
        for addr in told {
            if !self.rolled.contains(&addr) && self.rolled.len() < 4096 {
                self.rolled.push(addr);
            }
        }
    }
}

impl Handler<Pulse> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Pulse: Pulse, cx: &mut xtra::Context<Self>) {
        let now = self.now();
        self.beliefs.tick(now);
        self.peers.tick(now);
        self.send_beats();
        let own = cx.mailbox().address();
        self.watch(&own);
        self.ask(&own);
        self.enrol(&own);
        self.publish();
    }
}

impl Handler<Leave> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Leave: Leave, _: &mut xtra::Context<Self>) {
        self.leaving = true;
        self.turn = self.turn.next_multiple_of(FAR_BEATS) - 1;
        self.send_beats();
        self.publish();
    }
}

impl Handler<Share> for EntryControl {
    type Return = Difference;

    async fn handle(&mut self, Share(since): Share, _: &mut xtra::Context<Self>) -> Difference {
        Difference::of(&self.raw, self.beliefs.stamp().revisions, since)
    }
}

impl Handler<Shared> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Shared(told): Shared, _: &mut xtra::Context<Self>) {
        let Some(told) = told else { return };
        self.ask_at = Moment::ZERO;
        let mine = self.beliefs.stamp().revisions;
        for part in Part::ALL {
            if mine.of(part) < told.revisions.of(part) {
                let objects = told.applied(part, &self.raw);
                self.listed(part, objects);
                self.beliefs.saw(part, told.revisions.of(part));
            }
        }
        self.publish();
    }
}

impl Handler<Roll> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Roll(roll): Roll, _: &mut xtra::Context<Self>) {
        match roll {
            Some(roll) => self.rolled = roll,
            None => self.roll_at = self.now() + ENROL_PAUSE,
        }
    }
}

impl Handler<Enrolled> for EntryControl {
    type Return = ();

    async fn handle(&mut self, Enrolled(done): Enrolled, _: &mut xtra::Context<Self>) {
        self.enrol_at = if done { None } else { Some(self.now() + ENROL_PAUSE) };
    }
}
