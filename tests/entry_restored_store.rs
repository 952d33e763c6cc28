//! Hosts whose store comes back from a copy that lacks the latest writes.

#[path = "support/entry.rs"]
mod support;

use std::time::Duration;

use lavenderplank::entry::EntryHost;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use support::{Ask, World, config, read, run, settings, until};

/// Time within which a confirmed change is in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// Time after the last disruption of the store from which on changes have to be in force in time.
const STABILITY_WINDOW: Duration = Duration::from_secs(4);

/// A confirmed route is not served after a restore, and a removed one still is, since the store's
/// revisions start again below those that the hosts had read.
#[test]
fn changes_after_a_restore_are_in_force_in_time() {
    run(async {
        let world = World::spawn(&["north-a", "north-b"]).await;
        let hosts = [world.host("a").await, world.host("b").await, world.host("c").await];
        tokio::time::sleep(Duration::from_secs(2)).await;
        let copy = world.store.copy();
        (2..40).for_each(|version| world.store.put("config", "main", with_route(version, "/old/")));
        until_all(&world, &hosts, "/old/", 200).await;
        world.store.restore(&copy);
        tokio::time::sleep(Duration::from_millis(500)).await;
        world.store.put("config", "main", with_route(40, "/new/"));
        tokio::time::sleep(CONFIG_APPLY).await;
        for host in &hosts {
            assert_eq!(status(&world, host, "/new/").await, 200, "the new route is in force");
            assert_eq!(status(&world, host, "/old/").await, 404, "the old route is not");
        }
    });
}

/// Guards against hosts that differ from the store for good after any order of writes, restores from
/// copies of any age, compactions, outages and starts of hosts.
#[test]
fn all_hosts_follow_the_store_after_any_order_of_restores() {
    for seed in 0..3 {
        run(async move {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let world = World::spawn(&["north-a", "north-b", "north-a"]).await;
            let mut hosts = vec![world.host("a").await, world.host("b").await];
            let mut copies = vec![world.store.copy()];
            let mut version = 1;
            for step in 0..24 {
                match rng.random_range(0..8) {
                    0..=2 => {
                        for _ in 0..rng.random_range(1..30) {
                            version += 1;
                            let route = format!("/step-{step}/");
                            world.store.put("config", "main", with_route(version, &route));
                        }
                    }
                    3 => copies.push(world.store.copy()),
                    4 => world.store.restore(&copies[rng.random_range(0..copies.len())]),
                    5 => world.store.compact(),
                    6 => world.store.set_down(rng.random_bool(0.5)),
                    _ => {
                        let target = &world.targets[rng.random_range(0..2)];
                        let state = if rng.random_bool(0.5) { "ready" } else { "draining" };
                        world.store.put("servers", target.id(), target.store_entry(state, version));
                    }
                }
                if step == 12 {
                    let settings = settings("late", world.store.addr());
                    hosts.push(world.host_of(settings).await);
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..250))).await;
            }
            // Operators and targets write again what was lost.
            world.store.set_down(false);
            for target in &world.targets {
                world.store.put("servers", target.id(), target.store_entry("ready", 1_000));
            }
            tokio::time::sleep(STABILITY_WINDOW).await;
            world.store.put("config", "main", with_route(version + 1, "/last/"));
            tokio::time::sleep(CONFIG_APPLY).await;
            for (at, host) in hosts.iter().enumerate() {
                assert_eq!(status(&world, host, "/last/").await, 200, "seed {seed}, host {at}");
                assert_eq!(status(&world, host, "/step-0/").await, 404, "seed {seed}, host {at}");
            }
        });
    }
}

/// A configuration with one more route.
fn with_route(version: u64, prefix: &str) -> Value {
    let mut config = config(version);
    let rules = config["listeners"][0]["rules"].as_array_mut().expect("rules");
    let mut rule = rules[0].clone();
    rule["name"] = json!(format!("route-{prefix}"));
    rule["match"] = json!({ "pathPrefix": prefix });
    rules.push(rule);
    config
}

async fn status(world: &World, host: &EntryHost, path: &str) -> u16 {
    let answer = world.ask(host, Ask { path, ..read("r-1") }).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

async fn until_all(world: &World, hosts: &[EntryHost], path: &str, expected: u16) {
    until("all hosts know", async || {
        for host in hosts {
            if status(world, host, path).await != expected {
                return false;
            }
        }
        true
    })
    .await;
}
