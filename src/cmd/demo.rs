//! `lavenderplank demo`: the main job.

use std::{io::Write, path::PathBuf};

use crate::{
    cmd::{Exit, Result},
    demo::{DemoPlan, Scenario, run as run_demo},
    prelude::*,
    trace::SteerRecorder,
};

/// Runs both members on loopback through planned and unplanned loss, and checks every promise.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank demo --member gradski-servis --seconds 10 --seed 7")]
pub struct Args {
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
    /// Run this member alone.
    #[arg(long)]
    member: Option<String>,
    /// Play a short day on the users' platform instead: entry hosts, store and targets.
    #[arg(long, conflicts_with_all = ["member", "record", "scenario"])]
    platform: bool,
    /// Record the decisions of the first member's hosts here, for `replay`.
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
    /// YAML file with what befalls the members; without it, the scenario of the README.
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Length of the run.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=3600))]
    seconds: u64,
    /// Seed of every random choice of the load.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the demo; a broken promise is a failure.
pub fn run(args: Args) -> Result {
    if args.platform {
        return play(&args);
    }
    let scenario = match args.scenario.as_deref().map(load).transpose() {
        Ok(scenario) => scenario.unwrap_or_default(),
        Err(problem) => {
            eprintln!("{problem}");
            return Ok(Exit::BadInput);
        }
    };
    let record = args.record.as_deref().map(open_record).transpose()?;
    let plan = DemoPlan {
        member: args.member.map(MemberId::from),
        scenario,
        seconds: args.seconds,
        seed: args.seed,
        record: record.clone(),
    };
    eprintln!("running for {} s and the time to start ...", args.seconds);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_demo(plan))?;
    if let Some(record) = record {
        record.finish()?;
    }
    show(&report, args.json)?;
    Ok(if report.holds() { Exit::Done } else { Exit::Failed })
}

fn show(report: &(impl std::fmt::Display + Serialize), json: bool) -> Result<()> {
    let mut out = std::io::stdout().lock();
    if json {
        writeln!(out, "{}", serde_json::to_string_pretty(report)?)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(())
}

fn play(args: &Args) -> Result {
    eprintln!("running for {} s and the time to start ...", args.seconds);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let run =
        crate::platform::standin::run_with_faults(Duration::from_secs(args.seconds), args.seed);
    let report = runtime.block_on(tokio::task::LocalSet::new().run_until(run))?;
    show(&report, args.json)?;
    Ok(if report.passed() { Exit::Done } else { Exit::Failed })
}

fn open_record(path: &std::path::Path) -> eyre::Result<SteerRecorder> {
    let file = std::io::BufWriter::new(std::fs::File::create(path)?);
    Ok(SteerRecorder::open(Box::new(file), "demo")?)
}

fn load(path: &std::path::Path) -> std::result::Result<Scenario, String> {
    let text = crate::yaml::read_file(path, crate::yaml::MAX_FILE_BYTES)
        .map_err(|problem| problem.to_string())?;
    Scenario::parse(&text, &path.display().to_string())
}
