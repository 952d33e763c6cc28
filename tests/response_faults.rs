//! Hosts as processes of their own before targets that are crowded and send responses again, too
//! late, spoiled or in part.
//!
//! A longer play by hand, also of the program of another release:
//! `PLAY_PROGRAM=PATH PLAY_SECONDS=30 PLAY_HOSTS=24 PLAY_TARGETS=172 PLAY_RATE=1200 PLAY_SEED=7
//! PLAY_WORK_MS=410 PLAY_KINDS=late-copies PLAY_FREEZES=1 PLAY_DIR=DIR cargo test --release --test response_faults`

#[path = "support/entry_processes.rs"]
mod entry_processes;
#[path = "support/fault_play.rs"]
mod fault_play;

use std::time::Duration;

use entry_processes::EntryProcess;
use fault_play::{Findings, HOST, Load, dir, judge, offer, program, setting_of};
use lavenderplank::platform::standin::{
    FaultPlan, Rejections, ResponseFaults, StoreStandin, TargetIdentity, TargetStandin,
};
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

/// Zones with their regions.
const ZONES: [(&str, &str); 2] = [("ktm-a", "r"), ("ktm-b", "r")];

/// Longest wait until all hosts serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a host stands still, and how often one does.
const FREEZE: Duration = Duration::from_millis(1_200);
const FREEZE_PERIOD: Duration = Duration::from_secs(4);

/// How often a host is stopped or killed, and how long it stays away.
const RESTART_PERIOD: Duration = Duration::from_secs(5);
const AWAY: Duration = Duration::from_millis(700);

/// Time for which attempts may still run after the last answer.
const SETTLE: Duration = Duration::from_secs(1);

/// One play.
#[derive(Clone, Copy, Debug)]
struct Setting {
    faults: ResponseFaults,
    freezes: bool,
    hosts: usize,
    load: Load,
    restarts: bool,
    targets: usize,
    /// Work of one booking at a target.
    work: Duration,
}

/// Guards against responses that are taken for those of other bookings: under a load in which most
/// responses are refusals, a booking then runs twice, or runs though its caller was told that it
/// never will.
#[test]
fn no_response_ends_another_booking() {
    let hosts = setting_of("PLAY_HOSTS", 2);
    let load = Load {
        bookings_per_s: setting_of("PLAY_RATE", 420.0),
        length: Duration::from_secs(setting_of("PLAY_SECONDS", 5)),
        reads_per_s: 0.0,
        seed: setting_of("PLAY_SEED", 1),
    };
    let kinds: String = setting_of("PLAY_KINDS", "late-copies,all,misframed".to_owned());
    for kind in kinds.split(',') {
        let setting = Setting {
            faults: faults(kind),
            freezes: setting_of("PLAY_FREEZES", 0) == 1,
            hosts,
            load,
            restarts: setting_of("PLAY_RESTARTS", 0) == 1,
            targets: setting_of("PLAY_TARGETS", 6),
            work: Duration::from_millis(setting_of("PLAY_WORK_MS", 60)),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let findings = runtime.expect("a runtime").block_on(play(setting));
        eprintln!("{kind}, seed {}: {}", load.seed, findings.summary());
        assert!(findings.is_clean(), "{kind}: {findings:#?}");
        assert!(findings.statuses.contains_key(&200), "{kind}: nothing was served");
    }
}

/// The faults of one kind of play.
fn faults(kind: &str) -> ResponseFaults {
    const SHARE: f64 = 0.15;
    let late = ResponseFaults { copied_late: SHARE, late_copies: 1, ..ResponseFaults::default() };
    match kind {
        "none" => ResponseFaults::default(),
        "late-copies" => late,
        "late-copies-in-a-row" => ResponseFaults { late_copies: 3, ..late },
        "late-copies-without-id" => ResponseFaults { without_id: 1.0, ..late },
        "many-late-copies" => ResponseFaults { copied_late: 0.6, ..late },
        "copies-at-once" => ResponseFaults { copied_at_once: SHARE, ..ResponseFaults::default() },
        "joined" => ResponseFaults { joined: SHARE, ..ResponseFaults::default() },
        "broken" => {
            let share = SHARE / 4.0;
            ResponseFaults {
                cut: share,
                hinted: share,
                reset: share,
                spoiled: share,
                ..ResponseFaults::default()
            }
        }
        "misframed" => ResponseFaults { misframed: 2.0 * SHARE, ..ResponseFaults::default() },
        "all" => ResponseFaults {
            copied_at_once: 0.03,
            copied_late: 0.08,
            cut: 0.02,
            hinted: 0.02,
            joined: 0.05,
            misframed: 0.05,
            reset: 0.02,
            spoiled: 0.02,
            late_copies: 2,
            without_id: 0.3,
        },
        other => panic!("unknown kind of faults: {other}"),
    }
}

async fn play(setting: Setting) -> Findings {
    let store = StoreStandin::spawn().await.expect("loopback has free ports");
    store.put("config", "main", config());
    let mut targets = Vec::new();
    for number in 0..setting.targets {
        let id = format!("t-{number}").leak();
        let identity = TargetIdentity { id, service: "seats", zone: ZONES[number % ZONES.len()].0 };
        let target = TargetStandin::spawn(identity).await.expect("loopback has free ports");
        target.set_capacity(3, 3);
        target.set_processing_time(setting.work);
        let rejections = Rejections { failed: 0.02, refused: 0.03 };
        let seed = setting.load.seed.wrapping_mul(1_000).wrapping_add(number as u64);
        target.set_fault_plan(Some(FaultPlan::new(setting.faults, rejections, seed)));
        store.put("servers", target.id(), target.store_entry("ready", 1));
        targets.push(target);
    }
    let (program, dir) = (program(), dir("response-faults", setting.load.seed));
    let mut hosts: Vec<EntryProcess> = (0..setting.hosts)
        .map(|at| {
            let (name, place) = (format!("h-{at}"), at % ZONES.len());
            EntryProcess::spawn(&program, &dir, &name, &ZONES, place, store.addr())
        })
        .collect();
    let http = reqwest::Client::new();
    let all_ready = async {
        for host in &hosts {
            while !host.is_ready(&http).await {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    timeout(START_TIMEOUT, all_ready).await.expect("all hosts serve");
    // Hosts learn of each other.
    sleep(Duration::from_secs(2)).await;
    let callers: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let offered = offer(setting.load, &callers);
    let asked = tokio::select! {
        asked = offered => asked,
        () = disturb(setting, &mut hosts) => unreachable!("it goes on until the load ends"),
    };
    // What a frozen host still sends is judged too.
    hosts.iter().for_each(|host| host.signal(Signal::CONT));
    sleep(SETTLE).await;
    judge(&asked, &targets)
}

/// Freezes and restarts hosts, also at once. Never returns.
async fn disturb(setting: Setting, hosts: &mut [EntryProcess]) {
    let mut rng = ChaCha8Rng::seed_from_u64(setting.load.seed);
    let (mut freeze_in, mut restart_in) = (FREEZE_PERIOD, RESTART_PERIOD);
    loop {
        let step = freeze_in.min(restart_in);
        sleep(step).await;
        (freeze_in, restart_in) = (freeze_in - step, restart_in - step);
        let numbers: Vec<usize> = (0..hosts.len()).collect();
        let mut pick = || *numbers.choose(&mut rng).expect("there are hosts");
        if freeze_in.is_zero() {
            freeze_in = FREEZE_PERIOD;
            if setting.freezes {
                let frozen = &hosts[pick()];
                frozen.signal(Signal::STOP);
                sleep(FREEZE).await;
                frozen.signal(Signal::CONT);
            }
        }
        if restart_in.is_zero() {
            restart_in = RESTART_PERIOD;
            if setting.restarts {
                let restarted = &mut hosts[pick()];
                restarted.signal(Signal::TERM);
                sleep(AWAY).await;
                restarted.restart();
            }
        }
    }
}

fn config() -> Value {
    json!({
        "version": "00000001",
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "listeners": [{
            "hostname": HOST,
            "rules": [{
                "name": "seats", "kind": "unsafe", "targetLatency": "400ms", "priority": 1,
                "sessionAffinity": false, "match": { "pathPrefix": "/seats/" },
                "action": {
                    "service": "seats", "timeout": "2500ms", "maxAttempts": 2,
                    "allowedRegions": [],
                },
            }],
        }],
        "clusters": [{
            "name": "seats", "healthCheckPath": "/health", "maxConnections": 390,
            "coldStart": "3s", "coldPerS": 6.4,
        }],
    })
}
