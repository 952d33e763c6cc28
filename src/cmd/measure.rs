//! `measure`: what the decisions cost and how well they do.

use std::{
    fs,
    path::{Path, PathBuf},
};

use clap::Subcommand;
use eyre::WrapErr;

use super::{Exit, Result, output};
use crate::measure::capacity::{self, Report, Scale};

/// Measures the decisions.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    Capacity(CapacityArgs),
}

/// Slopes of what each role costs, followed to the size that the system has to reach.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure capacity --write docs/CAPACITY.md")]
struct CapacityArgs {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Measure a fiftieth of the sizes, to see that it runs.
    #[arg(long)]
    quick: bool,
    /// Put the tables between the markers of this page instead of printing them.
    #[arg(long, value_name = "FILE", conflicts_with = "json")]
    write: Option<PathBuf>,
}

/// Runs the measurement.
pub fn run(args: Args) -> Result {
    match args.what {
        What::Capacity(args) => capacity(&args),
    }
}

fn capacity(args: &CapacityArgs) -> Result {
    let scale = if args.quick { Scale::Quick } else { Scale::Full };
    let report = capacity::run(scale, |role| eprintln!("measuring: {role}"));
    match &args.write {
        Some(page) => return write_page(page, &report),
        None if args.json => output::json(&report)?,
        None => output::line(report.markdown())?,
    }
    Ok(Exit::Done)
}

fn write_page(path: &Path, report: &Report) -> Result {
    let name = path.display();
    let page = fs::read_to_string(path).wrap_err_with(|| format!("{name} can't be read"))?;
    match capacity::splice(&page, report) {
        Ok(page) => fs::write(path, page).wrap_err_with(|| format!("{name} can't be written"))?,
        Err(error) => {
            eprintln!("error: {name}: {error}");
            return Ok(Exit::BadInput);
        }
    }
    Ok(Exit::Done)
}
