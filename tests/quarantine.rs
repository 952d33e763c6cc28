//! Requests that crash each target that runs them, through running hosts.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lavenderplank::daemon::Daemon;

#[path = "support/crash_target.rs"]
mod crash_target;
#[path = "support/hosts.rs"]
mod hosts;

use crash_target::{CrashTarget, Crashes, POISON};
use hosts::{Member, ZONES, header};

const SERVICE: &str = "sheets";
const HOSTS: usize = 4;
const TARGETS: usize = 8;

/// Time until a caller sends again: far less than the hosts' exchanges need by themselves, and more
/// than a push takes on a busy machine.
const RESEND: Duration = Duration::from_millis(200);
const POISONS: usize = 12;

/// Requests that many callers send again and again, beside the ones that crash.
const POPULAR: usize = 3;

/// Asks for a path at one host after the other until an answer satisfies `is_over`.
async fn ask(http: &reqwest::Client, urls: &[String], is_over: impl Fn(&str) -> bool) -> usize {
    for (asked, url) in urls.iter().cycle().take(500).enumerate() {
        // A target that crashes in the middle of an answer takes the caller's connection along.
        let told = match http.get(url).send().await {
            Ok(res) => header(&res, "lavender-error").to_owned(),
            Err(_) => "cut".to_owned(),
        };
        if is_over(&told) {
            return asked + 1;
        }
        tokio::time::sleep(RESEND).await;
    }
    panic!("{urls:?}: no such answer");
}

fn urls(hosts: &[Daemon], first: usize, path: &str) -> Vec<String> {
    let from_first = hosts.iter().cycle().skip(first).take(hosts.len());
    from_first
        .map(|host| format!("http://{}/v1/services/{SERVICE}{path}", host.http_addr()))
        .collect()
}

// A request crashes each target that runs it, and its caller sends it again soon, to another host
// each time, of one zone or the other, while others read the popular files. The host's own second attempt and the caller's
// resend carry the suspicion or come after it, so that the second crash is the last one; and nobody
// who was in flight beside a crash is refused for it.
#[tokio::test(flavor = "multi_thread")]
async fn the_second_crash_is_the_last_and_innocents_are_served() {
    let mut member = Member::open().await;
    let crashes = Crashes::default();
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        targets.push(CrashTarget::bind(crashes.clone()).await);
    }
    let addresses = targets.iter().map(|target| target.address).collect();
    member.files.push((SERVICE.into(), addresses));
    member.zones = ZONES.len();
    member.apply(2).await;
    let mut hosts: Vec<Daemon> = Vec::new();
    for number in 0..HOSTS {
        let peers: Vec<&Daemon> = hosts.iter().collect();
        let zone = ZONES[number % ZONES.len()];
        let host = member.host_in(zone, &format!("host-{number}"), &peers).await;
        hosts.push(host);
    }
    let over = Arc::new(AtomicBool::new(false));
    let mut readers = Vec::new();
    for number in 0..2 * POPULAR {
        let urls = urls(&hosts, number, &format!("/popular-{}", number % POPULAR));
        ask(&member.http, &urls, str::is_empty).await;
        let (http, over) = (member.http.clone(), over.clone());
        readers.push(tokio::spawn(async move {
            let mut refused = 0;
            for url in urls.iter().cycle() {
                let told = http.get(url).send().await;
                refused += usize::from(
                    told.is_ok_and(|res| header(&res, "lavender-error") == "quarantined"),
                );
                if over.load(Ordering::Relaxed) {
                    break;
                }
            }
            refused
        }));
    }
    for number in 0..POISONS {
        let urls = urls(&hosts, number, &format!("{POISON}-{number}"));
        ask(&member.http, &urls, |told| told == "quarantined").await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    over.store(true, Ordering::Relaxed);
    for reader in readers {
        assert_eq!(reader.await.unwrap(), 0, "an innocent request was refused");
    }
    let crashes = crashes.lock().unwrap().clone();
    assert!(crashes.values().all(|crashes| *crashes <= 2), "{crashes:?}");
}
