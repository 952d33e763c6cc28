//! `measure in-force`: how long an accepted manifest takes to the last of many running hosts.

use crate::{
    cmd::{Exit, Result, output},
    measure::in_force::{self, Report, Size},
};

/// Time from accepted to in force, on real hosts in one process over loopback.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure in-force --rounds 5")]
pub struct Args {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Only six hosts and one manifest, to see that it runs.
    #[arg(long)]
    quick: bool,
    /// Manifests applied in each case.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
    rounds: u64,
}

/// Runs the measurement; failed if a host did not get a manifest within the limit.
pub fn run(args: &Args) -> Result {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let (sizes, rounds) =
        if args.quick { (&[Size::QUICK][..], 1) } else { (&Size::ALL[..], args.rounds) };
    let mut report = Report::default();
    for size in sizes {
        eprintln!("measuring: {} hosts", size.hosts());
        report.add(runtime.block_on(in_force::measure(*size, rounds))?);
    }
    if args.json {
        output::json(&report)?;
    } else {
        output::line(report.markdown())?;
    }
    Ok(if report.is_within_limit() { Exit::Done } else { Exit::Failed })
}
