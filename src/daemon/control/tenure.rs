//! Keeps this host's right to its targets, with the platform's help.

use xtra::WeakAddress;

use super::actor::Control;
use crate::tenure::{Action, Event, ZoneHost, ZoneTenure, perform};

/// A call to the platform on behalf of the tenure has ended.
#[derive(Debug)]
pub struct TenureHeard(pub Event);

impl Control {
    /// Tells the keeper who lives in this zone, and what time it is.
    pub(super) fn tick_tenure(&mut self, me: &WeakAddress<Self>) {
        let zone = self.parts.membership.own().zone.clone();
        let hosts = self.parts.membership.hosts(self.now());
        let near = hosts.into_iter().filter(|host| host.zone == zone);
        let near = near.map(|host| ZoneHost {
            host: host.id,
            incarnation: host.incarnation,
            leaving: host.leaving,
        });
        self.tenure_on(Event::LiveHosts(near.collect()), me);
        self.tenure_on(Event::Tick, me);
        self.parts.membership.set_preferred(self.tenure.witnesses());
    }

    /// Gives the keeper an event and carries out what it asks for.
    pub(super) fn tenure_on(&mut self, event: Event, me: &WeakAddress<Self>) {
        let now = self.now();
        for action in self.tenure.handle(event, now) {
            if let Action::Note(kind) = action {
                self.note(kind);
                continue;
            }
            let (platform, clock) = (self.parts.platform.clone(), self.parts.clock.clone());
            let own = self.parts.membership.own();
            let key = ZoneTenure::object_key(&self.parts.member, &own.zone);
            Self::beside(me.clone(), async move {
                perform(action, &*platform, &key, &*clock).await.map(TenureHeard)
            });
        }
    }
}

impl xtra::Handler<TenureHeard> for Control {
    type Return = ();

    async fn handle(&mut self, heard: TenureHeard, cx: &mut xtra::Context<Self>) {
        self.tenure_on(heard.0, &cx.mailbox().address());
        self.tell_notes();
        self.publish();
    }
}
