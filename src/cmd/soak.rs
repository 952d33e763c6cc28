//! `soak`: long randomised runs of the decisions with every failure.

use std::io::IsTerminal;

use super::{Exit, Result, output};
use crate::soak::{self, Report, SoakOptions};

/// One line of progress on stderr every so many seeds.
const PROGRESS_EVERY: u64 = 100;

/// Runs the decisions of eight hosts against fakes, with every failure, in virtual time.
///
/// Ends with 1 at the first broken promise, with the shortest run that shows it.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank soak --seed 1 --steps 10000 --seeds 100")]
pub struct Args {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// End with 1 as well if a kind of failure or a check of a promise never came up.
    #[arg(long)]
    require_all: bool,
    /// The first seed; the same seed gives the same run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds to run, one after the other in number.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Steps of each run.
    #[arg(long, default_value_t = 10_000, value_parser = clap::value_parser!(u64).range(1..))]
    steps: u64,
    /// Seeds that run at the same time.
    #[arg(long, default_value_t = 4)]
    threads: usize,
}

/// Runs all seeds and prints what came up.
pub fn run(args: Args) -> Result {
    let Args { json, require_all, seed, seeds, steps, threads } = args;
    let quiet = !std::io::stderr().is_terminal() && seeds < PROGRESS_EVERY;
    let report = soak::soak(&SoakOptions { seed, seeds, steps, threads }, |done| {
        if !quiet && done % PROGRESS_EVERY == 0 {
            eprintln!("{done} of {seeds} seeds");
        }
    });
    if json {
        output::json(&report)?;
    } else {
        output::line(text(&report))?;
    }
    // A check that no run comes to any more would hold for ever, and nobody would see it.
    let lacking = require_all && !report.missing().is_empty();
    Ok(if report.breach.is_some() || lacking { Exit::Failed } else { Exit::Done })
}

fn text(report: &Report) -> String {
    let mut lines = vec![
        format!("seeds     {}", report.seeds),
        format!("steps     {}", report.steps),
        format!("requests  {}", report.requests),
        format!("digest    {:016x}", report.digest),
        format!("overlaps  {} ({} of one kind)", report.overlaps, report.twice),
        "faults".to_owned(),
    ];
    lines.extend(report.faults.iter().map(|(kind, count)| row(kind, *count)));
    lines.push("checks".to_owned());
    lines.extend(report.checks.iter().map(|(promise, count)| row(promise, *count)));
    lines.push("refusals".to_owned());
    lines.extend(report.errors.iter().map(|(error, count)| row(error, *count)));
    for missing in report.missing() {
        lines.push(format!("never came up: {missing}"));
    }
    if let Some(failure) = &report.breach {
        lines.extend(failure.lines.iter().cloned());
        lines.extend(failure.faults.iter().map(|fault| format!("with {fault:?}")));
        lines.push(format!("broken: {:?}: {}", failure.breach.promise, failure.breach.detail));
        lines.push(format!("seed {}, step {}", failure.seed, failure.steps));
    }
    lines.join("\n")
}

fn row(name: &impl serde::Serialize, count: u64) -> String {
    let name = serde_json::to_value(name).ok();
    let name = name.as_ref().and_then(|name| name.as_str()).unwrap_or_default();
    format!("  {name:<24} {count:>10}")
}
