//! `rehearse`: what a step would leave, before it is written to the store.

use clap::Subcommand;

use super::{
    Exit, Result,
    capacity_source::{OutputArgs, SourceArgs, verdict},
    output,
};
use crate::{
    headroom::{RehearsalReport, ShiftBound, Step, render_rehearsal},
    prelude::*,
};

/// Shows what a step would leave, and how long the requests take to move.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Example: lavenderplank rehearse evacuate zagreb-a --metrics 10.0.1.1:7555\n\n\
                  Exits 1 if a service would be short of slots: after the step, after a further \
                  loss, or while the requests move."
)]
pub struct Args {
    #[command(subcommand)]
    step: StepArgs,
}

#[derive(Debug, Subcommand)]
enum StepArgs {
    Evacuate(EvacuateArgs),
    ScaleIn(ScaleInArgs),
}

/// The targets of a zone get no requests.
#[derive(Debug, clap::Args)]
struct EvacuateArgs {
    zone: ZoneId,
    #[command(flatten)]
    common: CommonArgs,
}

/// Some targets of a service in a zone are removed.
#[derive(Debug, clap::Args)]
struct ScaleInArgs {
    service: ServiceId,
    zone: ZoneId,
    /// Number of targets to remove.
    #[arg(value_parser = clap::value_parser!(u32).range(1..))]
    count: u32,
    #[command(flatten)]
    common: CommonArgs,
}

#[derive(Debug, clap::Args)]
struct CommonArgs {
    /// Bound on shifts, as `bounds.max_shift` in the hosts' settings: the largest part of a
    /// region's requests that changes the region in 2 s.
    #[arg(long, value_name = "SHARE", default_value_t = DEFAULT_MAX_SHIFT, value_parser = share)]
    max_shift: f64,
    #[command(flatten)]
    output: OutputArgs,
    #[command(flatten)]
    source: SourceArgs,
}

/// The bound of the deployments that are planned.
const DEFAULT_MAX_SHIFT: f64 = 0.15;

fn share(text: &str) -> std::result::Result<f64, String> {
    let share = text.parse().ok().filter(|share| (0.0..=1.0).contains(share));
    share.ok_or_else(|| "give a share from 0 to 1".to_owned())
}

/// Shows what the step would leave.
pub fn run(args: Args) -> Result {
    let (step, common) = match args.step {
        StepArgs::Evacuate(args) => (Step::Evacuate { zone: args.zone }, args.common),
        StepArgs::ScaleIn(ScaleInArgs { common, count, service, zone }) => {
            (Step::ScaleIn { count, service, zone }, common)
        }
    };
    let bound = ShiftBound { max_shift: common.max_shift };
    let report = common
        .source
        .snapshot()?
        .and_then(|snapshot| Ok(RehearsalReport::new(&snapshot, step, bound)?));
    match report {
        Ok(report) => {
            let title = report.step.to_string();
            let rows = &report.after.regions;
            common.output.print(&report, &render_rehearsal(&report), &title, rows)?;
            verdict(report.is_short(), &report.after)
        }
        Err(problem) => {
            output::complaint(format!("error: {problem:#}"))?;
            Ok(Exit::BadInput)
        }
    }
}
