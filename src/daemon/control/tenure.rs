//! Keeps this host's right to its targets, with the platform's help.

use xtra::WeakAddress;

use super::actor::ControlActor;
use crate::tenure::{Action, Event, ZoneHost, ZoneTenure, perform};

/// A call to the platform on behalf of the tenure has ended.
#[derive(Debug)]
pub struct TenureCallResult(pub Event);

impl ControlActor {
    /// Tells the keeper who lives in this zone, and what time it is.
    pub(super) fn tick_tenure(&mut self, address: &WeakAddress<Self>) {
        let zone = self.deps.membership.own().zone.clone();
        let hosts = self.deps.membership.hosts(self.now());
        let near = hosts.into_iter().filter(|host| host.zone == zone);
        let near = near.map(|host| ZoneHost {
            host: host.id,
            incarnation: host.incarnation,
            leaving: host.leaving,
        });
        self.handle_tenure_event(Event::LiveHosts(near.collect()), address);
        self.handle_tenure_event(Event::Tick, address);
        self.deps.membership.set_preferred(self.tenure.witnesses());
    }

    /// Gives the keeper an event and carries out what it asks for.
    pub(super) fn handle_tenure_event(&mut self, event: Event, address: &WeakAddress<Self>) {
        let now = self.now();
        for action in self.tenure.handle(event, now) {
            if let Action::Note(kind) = action {
                self.record(kind);
                continue;
            }
            let (platform, clock) = (self.deps.platform.clone(), self.deps.clock.clone());
            let own = self.deps.membership.own();
            let key = ZoneTenure::object_key(&self.deps.member, &own.zone);
            Self::spawn_call(address.clone(), async move {
                perform(action, &*platform, &key, &*clock).await.map(TenureCallResult)
            });
        }
    }
}

impl xtra::Handler<TenureCallResult> for ControlActor {
    type Return = ();

    async fn handle(&mut self, heard: TenureCallResult, cx: &mut xtra::Context<Self>) {
        self.handle_tenure_event(heard.0, &cx.mailbox().address());
        self.update_payload();
        self.publish();
    }
}
