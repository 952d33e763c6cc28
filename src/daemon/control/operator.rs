//! What operators ask of a host.

use std::net::{IpAddr, Ipv4Addr};

use super::{
    actor::Control,
    exchange::Reach,
    messages::{
        AskExplain, AskStatus, DrainAnswer, ExplainAnswer, OrderDrain, OrderUndrain, StatusAnswer,
        UndrainAnswer,
    },
};
use crate::{
    drain::{DrainRecord, Undrain},
    operator::{DrainStatus, Explanation, HostStatus, ServiceStatus, SilentZone, TenureStatus},
    peer::PeerError,
    prelude::*,
    timeline::EventKind,
};

impl Control {
    /// Takes over a drain that a peer told of; `true` if it was new. A tombstone stays, whatever
    /// comes later.
    pub(super) fn take_drain(&mut self, record: DrainRecord) -> bool {
        let held = self.drains.get(&record.id);
        let known = held.is_some_and(|held| held.undone.is_some() || record.undone.is_none());
        if known {
            return false;
        }
        let scope = record.scope.clone();
        let ended = record.undone.is_some();
        self.drains.insert(record.id.clone(), record);
        self.note(if ended {
            EventKind::DrainEnded { scope }
        } else {
            EventKind::DrainStarted { scope }
        });
        true
    }

    fn status(&self) -> StatusAnswer {
        let now = self.now();
        let usage = self.parts.traffic.with_steer(|steer, _| steer.usage());
        let manifest = self.parts.store.current().map(|(manifest, _)| manifest);
        let cap_of = |service: &ServiceId| {
            let manifest = manifest.as_ref();
            manifest.and_then(|m| m.service(service)).map_or(0.0, |service| service.shift_cap)
        };
        let services = usage.into_iter().map(|usage| ServiceStatus {
            cap: cap_of(&usage.service),
            in_flight: u64::from(usage.busy),
            service: usage.service,
            shifted: 0.0,
            slots: u64::from(usage.slots),
        });
        let drains = self.drains.values().cloned().map(|record| DrainStatus {
            in_flight: 0,
            record,
            took_ms: None,
            waits: None,
        });
        let silent = self.parts.membership.silent_zones(now);
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let silent_zones =
            silent.into_iter().map(|(zone, time)| SilentZone { for_ms: millis(time), zone });
        let tenure = self.shown.as_ref().map(|view| &view.tenure);
        Ok(HostStatus {
            breaker_open: false,
            drains: drains.collect(),
            ejected: Vec::new(),
            hosts: self.parts.membership.hosts(now),
            own: self.parts.membership.own().clone(),
            platform_age_ms: self.platform_at.map(|at| millis(now.saturating_sub(at))),
            sequence: self.parts.store.sequence(),
            services: services.collect(),
            silent_zones: silent_zones.collect(),
            tenure: tenure.map(|tenure| TenureStatus {
                fence: 0,
                owners: tenure.owners.clone(),
                provisional: tenure.provisional.iter().cloned().collect(),
                valid_ms: millis(tenure.valid_until.saturating_sub(now)),
            }),
        })
    }

    fn explain(&self, service: &ServiceId, caller: IpAddr) -> ExplainAnswer {
        let Some(view) = &self.shown else {
            return Err(PeerError::Unavailable("no manifest is in force here yet".into()));
        };
        let mut explanation = Explanation::default();
        let Some(lookup) = self.parts.traffic.look_up(caller, service) else {
            return Err(PeerError::Unavailable(format!("no service {service} in the manifest")));
        };
        let home = lookup.home.clone().unwrap_or_else(|| view.own.region.clone());
        explanation.step("home", format!("caller {caller} is at home in {home}"));
        let hosts: Vec<&str> = lookup.hosts.iter().map(|host| &*host.host).collect();
        explanation.step("hosts", format!("a look-up answers {}", hosts.join(", ")));
        let options = self.parts.traffic.with_steer(|steer, now| steer.survey(service, &home, now));
        for option in &options {
            explanation.step("target", option.to_string());
        }
        explanation.target = options.first().map(|option| option.target.clone());
        Ok(explanation)
    }
}

impl xtra::Handler<AskStatus> for Control {
    type Return = StatusAnswer;

    async fn handle(&mut self, _ask: AskStatus, _cx: &mut xtra::Context<Self>) -> StatusAnswer {
        self.status()
    }
}

impl xtra::Handler<AskExplain> for Control {
    type Return = ExplainAnswer;

    async fn handle(&mut self, ask: AskExplain, _cx: &mut xtra::Context<Self>) -> ExplainAnswer {
        let caller = ask.0.caller.unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST));
        self.explain(&ask.0.service, caller)
    }
}

impl xtra::Handler<OrderDrain> for Control {
    type Return = DrainAnswer;

    async fn handle(&mut self, order: OrderDrain, cx: &mut xtra::Context<Self>) -> DrainAnswer {
        let order = order.0;
        if let Some(held) = self.drains.get(&order.id) {
            return Ok(held.clone());
        }
        let record = DrainRecord {
            at: self.parts.recorder.stamp(),
            by: order.by,
            id: order.id,
            scope: order.scope,
            under: self.parts.store.sequence().unwrap_or_default(),
            undone: None,
        };
        self.take_drain(record.clone());
        self.tell_notes();
        self.publish();
        self.spread(&cx.mailbox().address(), Reach::Everywhere);
        Ok(record)
    }
}

impl xtra::Handler<OrderUndrain> for Control {
    type Return = UndrainAnswer;

    async fn handle(&mut self, order: OrderUndrain, cx: &mut xtra::Context<Self>) -> UndrainAnswer {
        let order = order.0;
        let undrain = Undrain { at: self.parts.recorder.stamp(), by: order.by };
        let meant = |record: &&mut DrainRecord| {
            record.undone.is_none()
                && record.scope == order.scope
                && order.id.as_ref().is_none_or(|id| *id == record.id)
        };
        let mut undone = Vec::new();
        for record in self.drains.values_mut().filter(meant) {
            record.undone = Some(undrain.clone());
            undone.push(record.clone());
        }
        if undone.is_empty() {
            return Err(PeerError::Conflict("nothing drains that scope".into()));
        }
        for record in &undone {
            self.note(EventKind::DrainEnded { scope: record.scope.clone() });
        }
        self.tell_notes();
        self.publish();
        self.spread(&cx.mailbox().address(), Reach::Everywhere);
        Ok(undone)
    }
}
