use super::*;
use crate::prelude::*;

/// Two regions with one zone and ten slots each; `homes` are the home regions of four client
/// blocks.
fn manifest(cap: f64, drains: &[DrainScope], homes: [&str; 4]) -> Manifest {
    let region = |name: &str| Region {
        name: name.into(),
        reserve: 0.1,
        zones: vec![format!("{name}-a").into()],
    };
    let target = |name: &str, zone: &str, port: u16| Target {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        name: name.into(),
        slots: 5,
        zone: zone.into(),
    };
    let service = Service {
        connections: 10,
        kind: ServiceKind::Read,
        max_body: 0,
        name: "s".into(),
        shift_cap: cap,
        targets: vec![
            target("e1", "east-a", 1),
            target("e2", "east-a", 2),
            target("w1", "west-a", 3),
            target("w2", "west-a", 4),
        ],
        timeout_ms: 100,
    };
    let block = |(index, home): (usize, &&str)| ClientBlock {
        block: format!("10.{index}.0.0/16").parse().unwrap(),
        home: (*home).into(),
    };
    Manifest {
        client_blocks: homes.iter().enumerate().map(block).collect(),
        drains: drains.to_vec(),
        member: "m".into(),
        regions: vec![region("east"), region("west")],
        sequence: 1,
        services: vec![service],
        weighing: Weighing::Headroom,
    }
}

#[test]
fn checks_change_against_cap_and_headroom() {
    let even = ["east", "east", "west", "west"];
    let east = || vec![DrainScope::Region("east".into())];
    let one = || vec![DrainScope::Target("e1".into())];
    let table = [
        ("half the slots at half load: nothing shifts", 0.2, one(), even, 0.5, ""),
        ("half the slots at higher load", 0.2, one(), even, 0.8, "s: 37.5 % of east's traffic"),
        ("the same under a cap that allows it", 0.4, one(), even, 0.6, ""),
        ("a whole region", 0.2, east(), even, 0.1, "s: 100.0 % of east's traffic"),
        (
            "a whole region, allowed, too little room",
            1.0,
            east(),
            even,
            0.5,
            "s: 5.0 slots of load",
        ),
        ("a whole region, allowed, enough room", 1.0, east(), even, 0.4, ""),
        (
            "half the clients, above the cap",
            0.2,
            vec![],
            ["east", "west", "west", "west"],
            0.2,
            "s: 50.0 %",
        ),
        (
            "all clients, too few slots",
            1.0,
            vec![],
            ["west"; 4],
            0.6,
            "s: clients of west would need",
        ),
    ];
    for (what, cap, drains, homes, load, expected) in table {
        let (old, new) = (manifest(cap, &[], even), manifest(cap, &drains, homes));
        let change = diff_with_loads(&old, &new, &LoadShares::uniform(load));
        let first = change.breaches.first().map(ToString::to_string).unwrap_or_default();
        assert!(
            first.starts_with(expected) && first.is_empty() == expected.is_empty(),
            "{what}: {first}"
        );
    }
}

#[test]
fn notes_describe_other_differences() {
    let old = manifest(0.2, &[], ["east"; 4]);
    let mut new = manifest(0.2, &[DrainScope::Target("e1".into())], ["east"; 4]);
    new.services[0].targets.pop();
    let notes = diff(&old, &new).notes;
    let expected = ["target w2 at 127.0.0.1:4 is removed", "drain of target e1 is added"];
    assert_eq!(notes.iter().map(|note| &**note).collect::<Vec<_>>(), expected);
}
