//! What entry hosts ask of the store, end to end over loopback.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::{base::HostId, event_log::Event};
use serde_json::json;
use support::{World, config_with, read, run, until};

const ONE: &[&str] = &["north-a"];
const TWO: &[&str] = &["north-a", "north-b"];

/// A host starts, and the cheap listing that it takes is from before a change: the old routes, and
/// a target that retires as ready. Its watch brings it up to date before it has been up for long.
#[test]
fn an_old_first_listing_is_caught_up_with() {
    run(async {
        let world = World::spawn(TWO).await;
        world.store.lag();
        world.store.put("servers", world.targets[0].id(), world.targets[0].entry("draining", 2));
        world.store.put("config", "main", config_with(2, "elsewhere", json!([])));
        let host = world.host("a").await;
        let status = async || world.ask(&host, read("r-1")).await.expect("an answer").status();
        until("the change is in force", async || status().await == 503).await;
        let is_drained = |event: &Event| matches!(event, Event::TargetKnown { ready: false, target, .. } if **target == *world.targets[0].id());
        until("the target is known to retire", async || world.events.has(is_drained)).await;
    });
}

/// Six hosts of a zone start and find each other by the store's records. Three of them keep one:
/// with a record of each, the start of a fleet would be a write a host.
#[test]
fn few_hosts_of_a_zone_keep_records() {
    run(async {
        let world = World::spawn(ONE).await;
        let mut hosts = Vec::new();
        for name in ["a", "b", "c"] {
            hosts.push(world.host(name).await);
        }
        let records = || world.store.count("lavenderplank-hosts");
        let heard = |host: &str| {
            let host = HostId::from(host);
            world
                .events
                .has(|event| matches!(event, Event::HostHeard { peer, .. } if *peer == host))
        };
        until("they find each other", async || records() == 3 && heard("a") && heard("c")).await;
        for name in ["d", "e", "f"] {
            hosts.push(world.host(name).await);
        }
        until("the others are found", async || heard("d") && heard("e") && heard("f")).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
        assert_eq!(records(), 3);
    });
}
