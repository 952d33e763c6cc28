//! Hosts in processes of their own that are all restarted while odd entries stand in the store.
//!
//! By hand: `PLAY_PROGRAM=PATH PLAY_SEED=1 PLAY_SEEDS=50`, of which each is optional.

#[path = "support/entry_processes.rs"]
mod entry_processes;
#[path = "support/entry.rs"]
mod support;

use std::{env, path::Path, str::FromStr, time::Duration};

use lavenderplank::platform::standin::{
    BrokenValue, ListOrder, Paging, StoreStandin, TargetIdentity, TargetStandin, UnknownName,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use tokio::time::{Instant, interval};

use entry_processes::EntryProcess;
use support::{HOST, config, run, until};

const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];
const TARGETS: usize = 24;
const PAGE_SIZE: usize = 8;

/// Odd entries of a play. Entries of one form fill pages.
const ODD_ENTRIES: usize = 30;

const KINDS: [&str; 3] = ["servers", "config", "evacuations"];
const PARTS: [&str; 16] = [
    "&",
    "+",
    "#",
    "%",
    "%7a",
    " ",
    "?",
    "=",
    "/",
    "//",
    "\u{1}",
    "é",
    "..",
    "&watch=1&waitMs=30000",
    "&staleOk=1&after=z",
    "/i-03",
];

/// Interval at which targets write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time after the restart from which requests are counted, and over which they are.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
const COUNTED_TIME: Duration = Duration::from_secs(3);

const REQUEST_INTERVAL: Duration = Duration::from_millis(16);

/// Least share of the requests that are served.
const SERVED_SHARE: f64 = 0.98;

/// Pages that the hosts may ask for in the counted time: the records of hosts are listed now and then.
const COUNTED_PAGES: usize = 40;

/// What odd entries are.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// The name has such a part, and ends in it or not.
    Named(&'static str),
    Nameless,
    NoJson(BrokenValue),
    TooLong,
    /// The text does not show where the entry ends.
    WithoutEnd(&'static str),
}

/// Ends of such entries.
const ENDS: [&str; 5] = [
    r#"{"address":"x\"},"status":null}"#,
    r#"{"a":[1,2},"status":null}"#,
    r#"{"a":1"#,
    r#"{}}}}}"#,
    r#"{"a":[{"metadata":{"name":"m-none","revision":9},"spec":{}}],"address":"x\"}}"#,
];

struct Play {
    store: StoreStandin,
    targets: Vec<TargetStandin>,
}

impl Play {
    async fn spawn(order: ListOrder) -> Self {
        let store = StoreStandin::spawn().await.expect("a free port");
        store.set_paging(Paging { order, size: PAGE_SIZE });
        let mut targets = Vec::new();
        for at in 0..TARGETS {
            let id: &'static str = Box::leak(format!("i-{at:02}").into_boxed_str());
            let (zone, _) = ZONES[at % ZONES.len()];
            let identity = TargetIdentity { id, service: "desk", zone };
            targets.push(TargetStandin::spawn(identity).await.expect("a free port"));
        }
        let play = Self { store, targets };
        play.write_targets();
        play.store.put("config", "main", config(1));
        play
    }

    fn write_targets(&self) {
        for target in &self.targets {
            self.store.put("servers", target.id(), target.store_entry("ready", 1));
        }
    }

    /// Creates half of the targets' entries and the configuration anew, so that a listing by creation has
    /// them last.
    fn recreate_some(&self) {
        for target in &self.targets[TARGETS / 2..] {
            self.store.remove("servers", target.id());
        }
        self.store.remove("config", "main");
        self.store.put("config", "main", config(1));
        self.write_targets();
    }

    fn write_odd(&self, kind: &str, form: Form, count: usize, rng: &mut ChaCha8Rng) {
        for at in 0..count {
            let place = format!("{}{at:02}", ["a", "i-0", "i-12", "z"].choose(rng).expect("one"));
            match form {
                Form::Named(part) => {
                    let end = if rng.random_bool(0.5) { "" } else { "x" };
                    self.store.put(kind, &format!("{place}{part}{end}"), json!({}));
                }
                Form::Nameless => self.store.put_as_is(kind, &place, json!({ "spec": {} })),
                Form::NoJson(value) => self.store.put_broken(kind, &place, value),
                Form::WithoutEnd(end) => {
                    let head = format!(r#"{{"metadata":{{"name":"{place}","revision":1}},"spec":"#);
                    self.store.put_raw(kind, &place, &format!("{head}{end}"));
                }
                Form::TooLong => {
                    self.store.put(kind, &format!("{place}{}", "x".repeat(100_000)), json!({}));
                }
            }
        }
    }
}

fn draw_form(rng: &mut ChaCha8Rng) -> Form {
    let part = *PARTS.choose(rng).expect("one");
    let broken = [BrokenValue::ControlByte, BrokenValue::HalfEscape, BrokenValue::NotANumber];
    match rng.random_range(0..10) {
        0 => Form::Nameless,
        1 => Form::NoJson(*broken.choose(rng).expect("one")),
        2 => Form::TooLong,
        3..6 => Form::WithoutEnd(ENDS.choose(rng).expect("one")),
        _ => Form::Named(part),
    }
}

/// Plays a restart of all hosts; describes what is wrong.
async fn play(seed: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let orders = [
        ListOrder::Name,
        ListOrder::Creation(UnknownName::EmptyPage),
        ListOrder::Creation(UnknownName::FirstPage),
        ListOrder::Creation(UnknownName::Refusal),
    ];
    let order = *orders.choose(&mut rng).expect("one");
    let world = Play::spawn(order).await;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("odd-entries-{seed}"));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let program = setting_of("PLAY_PROGRAM", env!("CARGO_BIN_EXE_lavenderplank").to_owned());
    let store = world.store.addr();
    let spawn = |at| {
        let name = format!("h-{at}");
        EntryProcess::spawn(Path::new(&program), &dir, &name, &ZONES, at, store)
    };
    let mut hosts: Vec<EntryProcess> = (0..ZONES.len()).map(spawn).collect();
    let http = reqwest::Client::builder().timeout(Duration::from_secs(2)).build();
    let http = http.expect("a client");
    for host in &hosts {
        until("the host is ready", async || host.is_ready(&http).await).await;
    }
    let (kind, form) = (KINDS[seed as usize % KINDS.len()], draw_form(&mut rng));
    let count = if rng.random_bool(0.3) { 1 } else { ODD_ENTRIES };
    hosts.iter_mut().for_each(EntryProcess::kill);
    world.write_odd(kind, form, count, &mut rng);
    world.recreate_some();
    hosts.iter_mut().for_each(EntryProcess::restart);
    let restarted = Instant::now();
    let (mut requests, mut heartbeats) = (interval(REQUEST_INTERVAL), interval(HEARTBEAT));
    let (mut pending, mut pages, mut at) = (Vec::new(), None, 0);
    while restarted.elapsed() < RECOVERY_TIME + COUNTED_TIME {
        tokio::select! {
            _ = heartbeats.tick() => world.write_targets(),
            _ = requests.tick() => {
                at += 1;
                let callers = hosts[at % hosts.len()].callers;
                let req = http
                    .get(format!("http://{callers}/reads/{at}"))
                    .header("Host", HOST)
                    .header("Lavenderplank-Attempt-Id", format!("r-{at}"))
                    .header("Lavenderplank-Time-Remaining", "1500");
                let sent = tokio::spawn(req.send());
                if RECOVERY_TIME <= restarted.elapsed() {
                    pages.get_or_insert(world.store.listed_pages());
                    pending.push(sent);
                }
            }
        }
    }
    let pages = world.store.listed_pages() - pages.unwrap_or_default();
    let (sent, mut served) = (pending.len(), 0);
    for answer in pending {
        let answer = answer.await.expect("no request panics");
        served += usize::from(answer.is_ok_and(|answer| answer.status() == 200));
    }
    let used = world.targets.iter().filter(|target| !target.received().is_empty()).count();
    let told = format!(
        "seed {seed}: {count} of {form:?} in {kind}, {order:?}: {served} of {sent} served by {used} \
         targets, {pages} pages"
    );
    eprintln!("{told}");
    let is_served = SERVED_SHARE * sent as f64 <= served as f64;
    if is_served && used == TARGETS && pages <= COUNTED_PAGES { Ok(()) } else { Err(told) }
}

/// A setting of plays by hand.
fn setting_of<T: FromStr>(name: &str, default: T) -> T {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against an outage after a restart of all processes while odd entries stand in the store.
#[test]
fn restarted_hosts_serve_beside_odd_entries() {
    run(async {
        let mut failed = Vec::new();
        let first: u64 = setting_of("PLAY_SEED", 1);
        for seed in first..first + setting_of("PLAY_SEEDS", 3) {
            failed.extend(play(seed).await.err());
        }
        assert!(failed.is_empty(), "{failed:#?}");
    });
}
