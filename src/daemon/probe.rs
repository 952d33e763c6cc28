//! Reads the load reports of the targets that this host owns.

use bytes::Bytes;

use super::traffic::TrafficHandler;
use crate::{
    forward::{Attempt, TargetBody, TargetResponse, Upstream},
    manifest::Target,
    prelude::*,
    routing::Event,
    selection::LoadReport,
};

/// Path of a target's load report.
const LOAD_PATH: &str = "/load";

/// Shorter than `PROBE_INTERVAL`, after which the next report is requested.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Requests a load report from each target that this host owns.
pub(super) fn probe_all(traffic: &Arc<TrafficHandler>, targets: &Arc<dyn Upstream>) {
    let Some(view) = traffic.view() else { return };
    let services = &view.manifest.services;
    for target in services.iter().flat_map(|service| &service.targets) {
        if target.zone == view.own.zone
            && traffic.with_router(|router, _| router.owns(&target.name))
        {
            tokio::spawn(probe(traffic.clone(), targets.clone(), target.clone()));
        }
    }
}

async fn probe(traffic: Arc<TrafficHandler>, targets: Arc<dyn Upstream>, target: Target) {
    let attempt = Attempt {
        address: target.address,
        body: Bytes::new(),
        max_connections: 1,
        timeout: PROBE_TIMEOUT,
        headers: Vec::new(),
        method: http::Method::GET,
        path: LOAD_PATH.into(),
        is_idempotent: true,
        request: "load".into(),
        buffer_response: true,
    };
    // A failed probe is ignored: the weight of the last report decays with time.
    let Ok(TargetResponse { body: TargetBody::Whole(body), status: 200, .. }) =
        targets.send(attempt).await
    else {
        return;
    };
    let Ok(report) = serde_json::from_slice::<LoadReport>(&body) else { return };
    traffic.handle_event(Event::Reported { report, target: target.name });
}
