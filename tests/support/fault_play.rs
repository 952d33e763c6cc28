//! Callers that offer more work than there is room for, and what they and the targets saw.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    path::{Path, PathBuf},
    str::FromStr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use lavenderplank::platform::standin::TargetStandin;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use reqwest::Client;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Host name of the play's routes.
pub const HOST: &str = "box-office.example";

/// How long a caller waits in all.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Requests that one caller makes for a booking, refused ones included.
const MAX_TRIES: usize = 2;

/// What callers offer.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub bookings_per_s: f64,
    pub length: Duration,
    pub reads_per_s: f64,
    pub seed: u64,
}

/// One request and its answer.
#[derive(Clone, Debug)]
pub struct Asked {
    pub attempt: String,
    /// Whether it may not be repeated.
    pub is_booking: bool,
    /// Body of a success, and the request that it names.
    pub served: Option<(String, String)>,
    /// 0 without an answer.
    pub status: u16,
}

/// Broken promises, and what was played.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    pub asked: usize,
    /// Copies that targets sent late.
    pub copies: usize,
    /// Successes that are not the whole answer of a target to that request.
    pub mixed: Vec<String>,
    /// Answered with a promise, and run.
    pub refused_and_run: Vec<String>,
    /// Answered by the host with 502 or 504, and run.
    pub run_untold: usize,
    pub statuses: BTreeMap<u16, usize>,
    /// Run by more than one target, or twice by one.
    pub twice: Vec<String>,
    /// Run, and sent by no caller.
    pub unasked: Vec<String>,
}

impl Findings {
    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        let all = [&self.mixed, &self.refused_and_run, &self.twice, &self.unasked];
        all.iter().all(|broken| broken.is_empty())
    }

    /// One line of counts.
    pub fn summary(&self) -> String {
        format!(
            "{} asked, {:?}, {} late copies; run twice {}, refused and run {}, mixed {}, unasked {}, \
             run and told 502 or 504: {}",
            self.asked,
            self.statuses,
            self.copies,
            self.twice.len(),
            self.refused_and_run.len(),
            self.mixed.len(),
            self.unasked.len(),
            self.run_untold,
        )
    }
}

/// A setting of the play from the environment.
pub fn setting_of<T: FromStr>(name: &str, default: T) -> T {
    let given = std::env::var(name).ok();
    given.map_or(default, |text| {
        text.parse().unwrap_or_else(|_| panic!("{name} is not readable: {text}"))
    })
}

/// The program that is played, by default this one.
pub fn program() -> PathBuf {
    PathBuf::from(setting_of("PLAY_PROGRAM", env!("CARGO_BIN_EXE_lavenderplank").to_owned()))
}

/// Folder of the hosts' settings and logs in one play.
pub fn dir(play: &str, seed: u64) -> PathBuf {
    let default =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{play}-{}", std::process::id()));
    let dir = PathBuf::from(setting_of("PLAY_DIR", default.display().to_string()));
    let dir = dir.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&dir).expect("a folder");
    dir
}

/// Offers bookings and reads at random times to random hosts until the load ends and all are answered.
pub async fn offer(load: Load, hosts: &[SocketAddr]) -> Vec<Asked> {
    let callers = Arc::new(Callers {
        fresh: Client::builder().pool_max_idle_per_host(0).build().expect("a client"),
        hosts: hosts.to_vec(),
        kept: Client::new(),
        next: AtomicUsize::new(0),
        seed: load.seed,
    });
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut requests = JoinSet::new();
    let mut at = Instant::now();
    let until = at + load.length;
    loop {
        let per_s = load.bookings_per_s + load.reads_per_s;
        let pause = -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / per_s;
        at += Duration::from_secs_f64(pause);
        if until <= at {
            break;
        }
        sleep_until(at).await;
        let is_booking = load.reads_per_s == 0.0 || rng.random_bool(load.bookings_per_s / per_s);
        requests.spawn(request(callers.clone(), is_booking, rng.random()));
    }
    requests.join_all().await.into_iter().flatten().collect()
}

/// Compares what callers were told with what targets did.
pub fn judge(asked: &[Asked], targets: &[TargetStandin]) -> Findings {
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for target in targets {
        for request in target.received().into_iter().filter(|request| request.ran) {
            runs.entry(request.attempt_id).or_default().push(target.id().to_owned());
        }
    }
    let mut findings = Findings {
        asked: asked.len(),
        copies: targets.iter().map(TargetStandin::late_copies_sent).sum(),
        ..Findings::default()
    };
    for Asked { attempt, is_booking, served, status } in asked {
        *findings.statuses.entry(*status).or_default() += 1;
        let by = runs.remove(attempt).unwrap_or_default();
        if *is_booking && 1 < by.len() {
            findings.twice.push(format!("{attempt} was run by {by:?}"));
        }
        if *is_booking && PROMISES.contains(status) && !by.is_empty() {
            findings.refused_and_run.push(format!("{attempt}: {status}, run by {by:?}"));
        }
        if matches!(status, 502 | 504) && !by.is_empty() {
            findings.run_untold += 1;
        }
        // Targets serve, fail and refuse; none gives any other status.
        if !matches!(status, 0 | 200 | 400..=599) {
            findings.mixed.push(format!("{attempt}: status {status}, run by {by:?}"));
        }
        if let Some((named, body)) = served {
            let is_own = by.iter().any(|id| *body == format!("answer of {id} to {attempt}"));
            if named != attempt || !is_own {
                findings.mixed.push(format!("{attempt}: {named}, {body:?}, run by {by:?}"));
            }
        }
    }
    findings.unasked = runs.into_iter().map(|(id, by)| format!("{id} by {by:?}")).collect();
    findings
}

struct Callers {
    /// Opens a connection for each request.
    fresh: Client,
    hosts: Vec<SocketAddr>,
    /// Keeps connections open.
    kept: Client,
    next: AtomicUsize,
    seed: u64,
}

/// One booking or read: a caller that is refused comes back once, over a new connection, at the time that it
/// was told if that is within a third of what it has left.
async fn request(callers: Arc<Callers>, is_booking: bool, seed: u64) -> Vec<Asked> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let deadline = Instant::now() + CALLER_TIMEOUT;
    let mut asked = Vec::new();
    while asked.len() < MAX_TRIES {
        let number = callers.next.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{:x}-{number:x}", callers.seed);
        let Some(host) = callers.hosts.choose(&mut rng) else { break };
        let client = if asked.is_empty() { &callers.kept } else { &callers.fresh };
        let left = deadline - Instant::now();
        let (answer, retry_after) = ask(client, *host, attempt, is_booking, left).await;
        let is_refused = PROMISES.contains(&answer.status);
        asked.push(answer);
        let left = deadline - Instant::now();
        if !is_refused || left / 3 < retry_after {
            break;
        }
        sleep(retry_after).await;
    }
    asked
}

async fn ask(
    client: &Client,
    host: SocketAddr,
    attempt: String,
    is_booking: bool,
    left: Duration,
) -> (Asked, Duration) {
    let object = attempt.bytes().map(usize::from).sum::<usize>() % 24;
    let req = match is_booking {
        true => {
            let body = format!("seats for {attempt}");
            client.post(format!("http://{host}/seats/{object}")).body(body)
        }
        false => client.get(format!("http://{host}/shows/{object}")),
    };
    let req = req
        .header("Cookie", format!("Lavenderplank-Affinity-Key={object}"))
        .header("Host", HOST)
        .header("Lavenderplank-Attempt-Id", &attempt)
        .header("Lavenderplank-Time-Remaining", left.as_millis().to_string());
    let exchange = async {
        let answer = req.send().await.ok()?;
        let text = |name: &str| {
            let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let retry_after = text("retry-after").parse().unwrap_or(0.1);
        let (status, named) = (answer.status().as_u16(), text("lavenderplank-attempt-id"));
        // A success that breaks off is no answer.
        let served = match status {
            200 => Some((named, answer.text().await.ok()?)),
            _ => None,
        };
        Some((status, served, Duration::from_secs_f64(retry_after)))
    };
    let (status, served, retry_after) =
        timeout(left, exchange).await.ok().flatten().unwrap_or_default();
    (Asked { attempt, is_booking, served, status }, retry_after)
}
