//! Maintains this host's lease on its targets through the platform.

use xtra::WeakAddress;

use super::actor::ControlActor;
use crate::tenure::{Action, Event, ZoneHost, ZoneTenure, perform};

/// The result of a platform call that the tenure requested.
#[derive(Debug)]
pub struct TenureCallResult(pub Event);

impl ControlActor {
    /// Reports the live hosts of this zone and the time to the tenure manager.
    pub(super) fn tick_tenure(&mut self, address: &WeakAddress<Self>) {
        let zone = self.deps.membership.own().zone.clone();
        let hosts = self.deps.membership.hosts(self.now());
        let in_zone = hosts.into_iter().filter(|host| host.zone == zone);
        let in_zone = in_zone.map(|host| ZoneHost {
            host: host.id,
            incarnation: host.incarnation,
            leaving: host.leaving,
        });
        self.handle_tenure_event(Event::LiveHosts(in_zone.collect()), address);
        self.handle_tenure_event(Event::Tick, address);
        self.deps.membership.set_preferred(self.tenure.witnesses());
    }

    /// Passes an event to the tenure manager and performs the actions that it returns.
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

    async fn handle(&mut self, result: TenureCallResult, cx: &mut xtra::Context<Self>) {
        self.handle_tenure_event(result.0, &cx.mailbox().address());
        self.update_payload();
        self.publish();
    }
}
