use super::*;
use crate::{
    drain::DrainRecord,
    manifest::{ClientBlock, DrainScope, Manifest, Region, Service, ServiceKind, Target, Weighing},
    peer::ExplainRequest,
    prelude::*,
    timeline::HybridTime,
    view::{HostView, Tenure, View},
};

fn host(id: &str, zone: &str) -> HostView {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    HostView {
        address,
        adopted: Vec::new(),
        generation: 1,
        id: id.into(),
        incarnation: 1,
        leaving: false,
        region: zone[..4].into(),
        rpc: address,
        zone: zone.into(),
    }
}

fn view() -> View {
    let region = |name: &str, zones: &[&str]| Region {
        name: name.into(),
        reserve: 0.2,
        zones: zones.iter().map(|zone| (*zone).into()).collect(),
    };
    let target = |name: &str, zone: &str| Target {
        address: SocketAddr::from(([127, 0, 0, 1], 10)),
        name: name.into(),
        slots: 3,
        zone: zone.into(),
    };
    let manifest = Manifest {
        client_blocks: vec![ClientBlock {
            block: "10.1.0.0/16".parse().unwrap(),
            home: "west".into(),
        }]
        .into(),
        drains: Vec::new(),
        member: "agency".into(),
        regions: vec![region("east", &["east-1"]), region("west", &["west-1", "west-2"])],
        sequence: 7,
        services: vec![Service {
            connections: 10,
            kind: ServiceKind::Booking,
            max_body: 100,
            name: "intake".into(),
            shift_cap: 0.3,
            targets: vec![target("e", "east-1"), target("w", "west-1"), target("x", "west-2")],
            timeout_ms: 1000,
        }],
        weighing: Weighing::Latency,
    };
    let own = host("a", "east-1");
    View {
        baselines: Vec::new(),
        drains: [DrainScope::Zone("west-1".into())].into(),
        hosts: vec![own.clone(), host("b", "west-1"), host("c", "west-2")],
        manifest: Arc::new(manifest),
        own,
        silent_regions: [].into(),
        tenure: Tenure {
            owners: vec!["a".into()],
            provisional: ["z".into()].into(),
            valid_until: Duration::from_secs(5),
        },
    }
}

fn steps(explanation: &Explanation) -> Vec<(&str, &str)> {
    explanation.steps.iter().map(|step| (&*step.name, &*step.finding)).collect()
}

// An operator asks why a caller of the west is not served in its first zone. Each step is told in
// order, and what is out says why.
#[test]
fn an_explanation_names_each_step_and_what_is_out() {
    let view = view();
    let blocks = view.manifest.client_blocks.table().clone();
    let ask = ExplainRequest { caller: "10.1.2.3".parse().ok(), service: "intake".into() };
    let explanation = explain(&view, &blocks, &ask, Duration::from_secs(1));
    assert_eq!(explanation.target.as_deref(), Some("x"));
    let steps = steps(&explanation);
    let has = |name: &str, part: &str| {
        steps.iter().any(|(step, finding)| *step == name && finding.contains(part))
    };
    assert!(has("home", "region west"), "{steps:?}");
    assert!(has("hosts", "gives c"), "{steps:?}");
    assert!(has("host out", "b is drained"), "{steps:?}");
    assert!(has("target", "w: drained by Zone"), "{steps:?}");
    assert!(has("target", "x: in the home region, sent to by c"), "{steps:?}");
    assert!(has("target", "e: outside the home region"), "{steps:?}");
    assert!(has("right", "holds for 4.0 s"), "{steps:?}");
    let ask = ExplainRequest { caller: None, service: "cinema".into() };
    let explanation = explain(&view, &blocks, &ask, Duration::from_secs(1));
    assert_eq!(explanation.target, None);
    assert!(render_explanation(&explanation).contains("nowhere"));
}

#[test]
fn a_status_in_part_says_which_hosts_are_missing() {
    let mut status = HostStatus::new(host("a", "east-1"));
    status.sequence = Some(7);
    status.silent_zones.push(SilentZone { for_ms: 61_000, zone: "west-1".into() });
    status.drains.push(DrainStatus {
        in_flight: 2,
        record: DrainRecord {
            at: HybridTime::default(),
            by: "ana".into(),
            id: "d1".into(),
            scope: DrainScope::Zone("west-2".into()),
            settled: false,
            started: Some(HybridTime::default()),
            taken_by: "a".into(),
            under: 7,
            undone: None,
        },
        took_ms: None,
        waits: None,
    });
    let answered = HostAnswer { error: None, host: host("a", "east-1"), status: Some(status) };
    let mute = HostAnswer {
        error: Some("timed out after 2s".into()),
        host: host("b", "west-1"),
        status: None,
    };
    let through = SocketAddr::from(([127, 0, 0, 1], 9));
    let fleet = FleetStatus { hosts: vec![answered, mute], not_asked: 0, through };
    assert!(!fleet.is_whole());
    let text = render_status(&fleet);
    for part in [
        "east-1  1      7         1 of 1",
        "west-1  1                0 of 1",
        "d1     zone west-2  ana  draining, not settled  2          1 of 1 hosts",
        "west-1  61.0 s  a",
        "b     west-1  timed out after 2s",
    ] {
        assert!(text.contains(part), "{part:?} in\n{text}");
    }
}
