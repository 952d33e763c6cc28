//! `lavenderplank entry`: one entry host on the users' platform.

use std::{io, path::PathBuf};

use tokio::{
    signal::unix::{SignalKind, signal},
    task::LocalSet,
    time::{MissedTickBehavior, interval},
};

use crate::{
    base::BootClock,
    cmd::{Exit, Result},
    entry::{
        EntryHost, EntryParts, EntrySettings, PartSwitch, SettingsChange, SettingsFile,
        TcpConnector, reload_event,
    },
    event_log::{Event, EventLog, EventSink, ReloadEnd, start_bridge},
    platform::{ObjectStore, PlatformProtocol, SETTINGS_VARIABLE},
    prelude::*,
};

/// Time between two looks at the settings file, which may change without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Runs an entry host on the users' platform, until SIGTERM or SIGINT.
///
/// Structured log lines go to standard output; `lavenderplank why` reads them.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Settings of this host.
    #[arg(long, env = SETTINGS_VARIABLE, value_name = "FILE")]
    settings: PathBuf,
}

/// Runs until a signal asks for a planned stop.
pub fn run(args: Args) -> Result {
    let (file, settings) = match SettingsFile::open(&args.settings) {
        Ok(opened) => opened,
        Err(problem) => {
            eprintln!("{problem}");
            return Ok(Exit::BadInput);
        }
    };
    let (host, bounds) = (settings.host.clone(), settings.event_log);
    let events = Arc::new(EventLog::start(host, bounds, Arc::new(BootClock), io::stdout())?);
    let _bridge = start_bridge(settings.log.level.as_str(), events.clone())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let exit = runtime.block_on(LocalSet::new().run_until(serve(file, settings, events.clone())));
    events.close();
    exit
}

async fn serve(
    mut file: SettingsFile,
    settings: EntrySettings,
    events: Arc<dyn EventSink>,
) -> Result {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let store = Arc::new(ObjectStore::new(settings.store));
    let (clock, protocol) = (Arc::new(BootClock), Arc::new(PlatformProtocol));
    let (region, zone) = (settings.region.clone(), settings.zone.clone());
    events.record(None, Event::Started { build: env!("CARGO_PKG_VERSION").into(), region, zone });
    let parts = EntryParts {
        clock,
        connector: Arc::new(TcpConnector),
        events: events.clone(),
        learned_state: settings.parts.learned_state == PartSwitch::On,
        protocol,
        settings: settings.clone(),
        store,
    };
    let host = EntryHost::spawn(parts).await?;
    let mut looks = interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let told = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => true,
            _ = looks.tick() => false,
        };
        reload(&mut file, &settings, &host, &*events, told).await;
    }
    host.stop().await;
    Ok(Exit::Done)
}

/// Looks at the file, and takes in what has changed. `told` says that a signal asked for it: then
/// it is told also that nothing has changed.
async fn reload(
    file: &mut SettingsFile,
    started: &EntrySettings,
    host: &EntryHost,
    events: &dyn EventSink,
    told: bool,
) {
    match file.check() {
        SettingsChange::Changed(settings) => {
            let fixed = settings.fixed_changes(started);
            host.reload(*settings).await;
            events.record(None, reload_event(ReloadEnd::InForce, &fixed));
        }
        SettingsChange::Unreadable(problem) => {
            let event = Event::Reloaded { end: ReloadEnd::Refused, detail: problem.into() };
            events.record(None, event);
        }
        SettingsChange::Unchanged if told => {
            events.record(None, reload_event(ReloadEnd::Unchanged, &[]))
        }
        SettingsChange::Unchanged => {}
    }
}
