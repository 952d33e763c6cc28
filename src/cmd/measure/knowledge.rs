//! `measure knowledge`: ways of knowing a target's load, compared under the same load.

use std::path::PathBuf;

use crate::{
    cmd::{Exit, Result, output},
    measure::knowledge::{self, Choice},
};

/// Ways of knowing a target's load, in a model with the real placement decisions.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Example: lavenderplank measure knowledge --write docs/design/reservations.md"
)]
pub struct Args {
    /// Only regions with these numbers of hosts, separated by commas: 8, 23 or 328.
    #[arg(long, value_delimiter = ',', conflicts_with = "quick")]
    hosts: Vec<usize>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Only 8 hosts for a few seconds, and one limit, to see that it runs.
    #[arg(long)]
    quick: bool,
    /// Draws the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Put the table between the markers of this page instead of printing it.
    #[arg(long, value_name = "FILE", conflicts_with = "json")]
    write: Option<PathBuf>,
}

/// Runs the measurement.
pub fn run(args: &Args) -> Result {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    let threads = threads.div_ceil(2);
    let mut choice = match args.quick {
        true => Choice::quick(args.seed, threads),
        false => Choice::all(args.seed, threads),
    };
    if !args.hosts.is_empty() {
        choice.sizes.retain(|size| args.hosts.contains(&size.hosts));
    }
    if choice.sizes.is_empty() {
        output::complaint("error: there is no size with these hosts; use 8, 23 or 328")?;
        return Ok(Exit::BadInput);
    }
    let report = knowledge::run(&choice, |done, all| eprintln!("run {done} of {all}"));
    match &args.write {
        Some(page) => return super::write_page(page, |text| knowledge::splice(text, &report)),
        None if args.json => output::json(&report)?,
        None => output::line(report.markdown())?,
    }
    Ok(Exit::Done)
}
