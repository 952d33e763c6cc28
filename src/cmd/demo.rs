//! `lavenderplank demo`: the main job.

use std::{io::Write, path::PathBuf};

use crate::{
    cmd::{Exit, Result},
    demo::{DemoPlan, Scenario, run as run_demo},
    prelude::*,
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
    let scenario = match args.scenario.as_deref().map(load).transpose() {
        Ok(scenario) => scenario.unwrap_or_default(),
        Err(problem) => {
            eprintln!("{problem}");
            return Ok(Exit::BadInput);
        }
    };
    let plan = DemoPlan {
        member: args.member.map(MemberId::from),
        scenario,
        seconds: args.seconds,
        seed: args.seed,
        tape: None,
    };
    eprintln!("running for {} s and the time to start ...", args.seconds);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_demo(plan))?;
    let mut out = std::io::stdout().lock();
    if args.json {
        writeln!(out, "{}", serde_json::to_string_pretty(&report)?)?;
    } else {
        write!(out, "{report}")?;
    }
    Ok(if report.holds() { Exit::Done } else { Exit::Failed })
}

fn load(path: &std::path::Path) -> std::result::Result<Scenario, String> {
    let text = crate::yaml::read_file(path, crate::yaml::MAX_FILE)
        .map_err(|problem| problem.to_string())?;
    Scenario::parse(&text, &path.display().to_string())
}
