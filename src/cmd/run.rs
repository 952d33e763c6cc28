//! `lavenderplank run`: one host.

use std::{io::Write, path::PathBuf};

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{
    base::BootClock,
    cmd::{Exit, Result},
    daemon::{Daemon, DaemonConfig},
    forward::{ForwardLimits, HttpUpstream},
    peer::PeerClient,
    prelude::*,
    routing::RouterLimits,
    settings::Settings,
    store::HttpPlatform,
};

/// Runs the host that a settings file describes, until SIGTERM or SIGINT.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank run --settings examples/gradski-servis/host.yaml")]
pub struct Args {
    /// Settings of this host.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Threads for traffic; as many as there are cores if not given.
    #[arg(long)]
    threads: Option<usize>,
}

/// Runs until a signal asks for a planned stop; a second signal ends it at once.
pub fn run(args: Args) -> Result {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("{problem}");
            return Ok(Exit::BadInput);
        }
    };
    let _log = crate::logging::start_with_settings(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve(settings, args.threads))
}

async fn serve(settings: Settings, threads: Option<usize>) -> Result {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let peer_key = settings.peer_key()?;
    let member = settings.member.clone();
    let daemon = Daemon::spawn(DaemonConfig {
        clock: Arc::new(BootClock),
        limits: RouterLimits::default(),
        link: Arc::new(PeerClient::new(peer_key.clone(), member)),
        operator_token: settings.operator_token()?,
        peer_key,
        peers: Arc::new(HttpUpstream::new(ForwardLimits::default())),
        platform: Arc::new(HttpPlatform::new(settings.platform)),
        seed: rand::random(),
        settings,
        trace_recorder: None,
        targets: Arc::new(HttpUpstream::new(ForwardLimits::default())),
        timeline_capacity: crate::timeline::DEFAULT_CAPACITY,
        traffic_threads: threads.unwrap_or(cores),
    })
    .await?;
    log::info!("callers: {}, peers and operators: {}", daemon.http_addr(), daemon.rpc_addr());
    writeln!(std::io::stdout(), "http={} rpc={}", daemon.http_addr(), daemon.rpc_addr())?;
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    asked_to_stop(&mut term, &mut int).await;
    log::info!("stopping: no new work, {} requests in flight", daemon.pending_requests());
    tokio::select! {
        report = daemon.stop() => {
            log::info!("stopped: {} requests cut, {} entries lost", report.interrupted, report.entries_lost);
            let whole = report.interrupted == 0 && report.entries_lost == 0;
            Ok(if whole { Exit::Done } else { Exit::Failed })
        }
        () = asked_to_stop(&mut term, &mut int) => {
            log::error!("stopped at once: requests in flight and the ledger are lost");
            Ok(Exit::Failed)
        }
    }
}

async fn asked_to_stop(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
