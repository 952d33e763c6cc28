//! Operators' queries to a host.

use std::net::{IpAddr, Ipv4Addr};

use super::{
    actor::ControlActor,
    messages::{ExplainResult, GetExplanation, GetStatus, StatusResult},
};
use crate::{
    operator::{DrainStatus, HostStatus, ServiceStatus, SilentZone, TenureStatus, explain},
    peer::{ExplainRequest, PeerError},
    prelude::*,
};

impl ControlActor {
    fn status(&self) -> StatusResult {
        let now = self.now();
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let usage = self.deps.traffic.with_router(|router, _| router.slot_usage());
        let manifest = self.deps.store.current().map(|(manifest, _)| manifest);
        let cap_of = |service: &ServiceId| {
            let manifest = manifest.as_ref();
            manifest.and_then(|m| m.service(service)).map_or(0.0, |service| service.shift_cap)
        };
        let services = usage.into_iter().map(|usage| ServiceStatus {
            cap: cap_of(&usage.service),
            in_flight: u64::from(usage.busy),
            shifted: self
                .deps
                .traffic
                .with_router(|router, now| router.shifted_share(&usage.service, now)),
            service: usage.service,
            slots: u64::from(usage.slots),
        });
        let drains = self.drains.records().into_iter().map(|record| {
            let progress = self.progress.get(&record.id);
            DrainStatus {
                in_flight: progress.map_or(0, |progress| progress.in_flight),
                took_ms: progress.and_then(|progress| progress.elapsed()).map(millis),
                waits: self.drains.wait_reason(&record.id).cloned(),
                record,
            }
        });
        let silent = self.deps.membership.silent_zones(now);
        let silent_zones =
            silent.into_iter().map(|(zone, time)| SilentZone { for_ms: millis(time), zone });
        let tenure = self.published.as_ref().map(|view| &view.tenure);
        Ok(HostStatus {
            breaker_open: self.platform_fails,
            drains: drains.collect(),
            ejected: self.deps.traffic.with_router(|router, now| router.ejected_targets(now)),
            hosts: self.deps.membership.hosts(now),
            own: self.deps.membership.own().clone(),
            platform_age_ms: self.platform_answered_at.map(|at| millis(now.saturating_sub(at))),
            sequence: self.deps.store.sequence(),
            services: services.collect(),
            silent_zones: silent_zones.collect(),
            tenure: tenure.map(|tenure| TenureStatus {
                fence: self.tenure.holder_list().fence,
                owners: tenure.owners.clone(),
                provisional: tenure.provisional.iter().cloned().collect(),
                valid_ms: millis(tenure.valid_until.saturating_sub(now)),
            }),
        })
    }

    fn explain(&self, service: &ServiceId, caller: IpAddr) -> ExplainResult {
        let Some(view) = &self.published else {
            return Err(PeerError::Unavailable("no manifest is in force here yet".into()));
        };
        let request = ExplainRequest { caller: Some(caller), service: service.clone() };
        let (mut explanation, options) = self.deps.traffic.with_router(|router, now| {
            let home = router.blocks().home_region(caller).unwrap_or(&view.own.region).clone();
            let explanation = explain(view, router.blocks(), &request, now);
            (explanation, router.target_statuses(service, &home, now))
        });
        for option in &options {
            explanation.step("here", option.to_string());
        }
        Ok(explanation)
    }
}

impl xtra::Handler<GetStatus> for ControlActor {
    type Return = StatusResult;

    async fn handle(&mut self, _query: GetStatus, _cx: &mut xtra::Context<Self>) -> StatusResult {
        self.status()
    }
}

impl xtra::Handler<GetExplanation> for ControlActor {
    type Return = ExplainResult;

    async fn handle(
        &mut self,
        query: GetExplanation,
        _cx: &mut xtra::Context<Self>,
    ) -> ExplainResult {
        let caller = query.0.caller.unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST));
        self.explain(&query.0.service, caller)
    }
}
