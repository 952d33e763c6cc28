use std::{collections::BTreeSet, net::IpAddr};

use super::*;
use crate::{
    manifest::{ClientBlock, DrainScope, Manifest, Service, ServiceKind, Target, Weighing},
    prelude::*,
    view::{HostView, Tenure, View},
};

fn host(id: &str, region: &str) -> HostView {
    HostView {
        adopted: Vec::new(),
        address: "127.0.0.1:80".parse().unwrap(),
        generation: 1,
        id: id.into(),
        incarnation: 1,
        leaving: false,
        region: region.into(),
        rpc: "127.0.0.1:81".parse().unwrap(),
        zone: format!("{region}-1").into(),
    }
}

fn view() -> View {
    let hosts: Vec<HostView> = ["a", "b", "c", "d"]
        .iter()
        .flat_map(|name| {
            ["split", "zagreb"].map(|region| host(&format!("{region}-{name}"), region))
        })
        .collect();
    View {
        baselines: Vec::new(),
        drains: BTreeSet::new(),
        manifest: Arc::new(Manifest {
            client_blocks: Default::default(),
            drains: Vec::new(),
            member: "agency".into(),
            regions: Vec::new(),
            sequence: 1,
            services: Vec::new(),
            weighing: Weighing::Latency,
        }),
        own: hosts[0].clone(),
        hosts,
        silent_regions: BTreeSet::new(),
        tenure: Tenure {
            owners: Vec::new(),
            provisional: BTreeSet::new(),
            valid_until: Moment::ZERO,
        },
    }
}

fn table() -> BlockTable {
    let block =
        |block: &str, home: &str| ClientBlock { block: block.parse().unwrap(), home: home.into() };
    BlockTable::build(&[
        block("10.0.0.0/8", "zagreb"),
        block("10.1.0.0/16", "split"),
        block("2001:db8::/32", "split"),
    ])
}

fn look_up(view: &View, client: u32) -> LookupResponse {
    let client = IpAddr::from((0x0a00_0000 + client).to_be_bytes());
    rank(view, &table(), &LookupRequest { client, service: "status".into() }, Moment::ZERO)
}

#[test]
fn longest_prefix_determines_home_region() {
    let home = |ip: &str| table().home_region(ip.parse().unwrap()).cloned();
    assert_eq!(home("10.2.0.1").as_deref(), Some("zagreb"));
    assert_eq!(home("10.1.0.1").as_deref(), Some("split"));
    assert_eq!(home("::ffff:10.1.0.1").as_deref(), Some("split"));
    assert_eq!(home("2001:db8::1").as_deref(), Some("split"));
    assert_eq!(home("192.0.2.1"), None);
}

#[test]
fn lost_host_moves_only_its_own_callers() {
    let before = view();
    let mut after = view();
    after.hosts.retain(|host| &*host.id != "zagreb-b");
    let mut moved = 0;
    for client in 0..400 {
        let (old, new) = (look_up(&before, client), look_up(&after, client));
        assert_eq!(&*new.hosts[0].region, "zagreb");
        if &*old.hosts[0].host == "zagreb-b" {
            moved += 1;
        } else {
            assert_eq!(old.hosts[0], new.hosts[0]);
        }
    }
    assert!((60..140).contains(&moved), "{moved} of 400 callers of four hosts");
}

#[test]
fn leaving_and_drained_hosts_are_excluded() {
    let mut view = view();
    view.hosts.iter_mut().for_each(|host| host.leaving = &*host.id == "zagreb-a");
    view.drains.insert(DrainScope::Host("zagreb-b".into()));
    for client in 0..50 {
        let lookup = look_up(&view, client);
        assert!(lookup.hosts.iter().all(|host| !["zagreb-a", "zagreb-b"].contains(&&*host.host)));
        assert_eq!(lookup.max_age, Duration::from_secs(1));
    }
}

#[test]
fn zones_with_a_target_come_first_and_fallbacks_differ_by_caller() {
    let mut view = view();
    view.hosts.iter_mut().for_each(|host| {
        let zone = if host.id.ends_with(['a', 'b']) { 1 } else { 2 };
        host.zone = format!("{}-{zone}", host.region).into();
    });
    let target = Target {
        address: "127.0.0.1:1".parse().unwrap(),
        name: "t".into(),
        slots: 3,
        zone: "zagreb-2".into(),
    };
    let service = Service {
        connections: 1,
        kind: ServiceKind::Read,
        max_body: 1,
        name: "status".into(),
        shift_cap: 0.3,
        targets: vec![target],
        timeout_ms: 1,
    };
    Arc::make_mut(&mut view.manifest).services.push(service);
    let mut fallbacks = BTreeSet::new();
    for client in 0..50 {
        let hosts = look_up(&view, client).hosts;
        assert_eq!(hosts.len(), 8);
        assert!(hosts[..2].iter().all(|host| &*host.zone == "zagreb-2"));
        assert!(hosts[4..].iter().all(|host| &*host.region == "split"));
        fallbacks.insert(hosts[4].host.clone());
    }
    assert_eq!(fallbacks.len(), 4, "callers of a lost region must spread over all hosts");
}

#[test]
fn own_host_is_returned_when_all_regions_are_drained() {
    let mut view = view();
    view.drains = ["split", "zagreb"].map(|region| DrainScope::Region(region.into())).into();
    let lookup = look_up(&view, 1);
    assert_eq!(lookup.hosts.len(), 1);
    assert_eq!(lookup.hosts[0].host, view.own.id);
}

#[test]
fn lost_owner_moves_only_its_own_targets() {
    let owners: Vec<HostId> = ["a", "b", "c"].map(Into::into).into();
    let remaining = [owners[0].clone(), owners[2].clone()];
    for number in 0..100 {
        let target: TargetId = format!("t{number}").into();
        let before = owner_of(&target, &owners).unwrap();
        if &**before != "b" {
            assert_eq!(owner_of(&target, &remaining), Some(before));
        }
    }
    assert_eq!(owner_of(&"t".into(), &[]), None);
}
