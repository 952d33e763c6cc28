//! `headroom`: what the loss of a zone or region would leave.

use super::{
    Exit, Result,
    capacity_source::{OutputArgs, SourceArgs, verdict},
    output,
};
use crate::headroom::{HeadroomReport, render_headroom};

/// Shows slots and demand of entry hosts, and which services the loss of a zone or region makes
/// short.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank headroom --metrics 10.0.1.1:7555\n\n\
                  Exits 1 if a service is short of slots, or would be after a loss, for the demand \
                  now or by the forecast; 2 if the demand is not known.")]
pub struct Args {
    #[command(flatten)]
    source: SourceArgs,
    #[command(flatten)]
    output: OutputArgs,
}

/// Shows the headroom.
pub fn run(args: Args) -> Result {
    let snapshot = match args.source.snapshot()? {
        Ok(snapshot) => snapshot,
        Err(problem) => {
            output::complaint(format!("error: {problem:#}"))?;
            return Ok(Exit::BadInput);
        }
    };
    let report = HeadroomReport::new(&snapshot);
    args.output.print(&report, &render_headroom(&report), "headroom", &report.regions)?;
    verdict(report.is_short(), &report)
}
