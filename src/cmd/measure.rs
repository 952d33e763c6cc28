//! `measure`: what the decisions cost and how well they do.

mod fleet;
mod in_force;
mod knowledge;
mod ledger;
mod placement;
mod policies;
mod slots;

use std::{
    fs,
    path::{Path, PathBuf},
};

use clap::Subcommand;
use eyre::WrapErr;

use super::{Exit, Result, output};
use crate::measure::{
    capacity::{self, Scale},
    membership::{self, Size},
    page::PageError,
};

/// Measures the decisions.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, Subcommand)]
enum What {
    Capacity(CapacityArgs),
    Fleet(fleet::Args),
    InForce(in_force::Args),
    Knowledge(knowledge::Args),
    Ledger(ledger::Args),
    Membership(MembershipArgs),
    Placement(placement::Args),
    Policies(policies::Args),
    Slots(slots::Args),
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

/// What the exchanges between hosts cost a daemon, and how fast news gets round.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure membership --target")]
struct MembershipArgs {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Only the smallest size, to see that it runs.
    #[arg(long)]
    quick: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Also measure 1,704 hosts in 24 zones; takes minutes.
    #[arg(long, conflicts_with = "quick")]
    target: bool,
}

/// Runs the measurement.
pub fn run(args: Args) -> Result {
    match args.what {
        What::Capacity(args) => capacity(&args),
        What::Fleet(args) => fleet::run(&args),
        What::InForce(args) => in_force::run(&args),
        What::Knowledge(args) => knowledge::run(&args),
        What::Ledger(args) => ledger::run(&args),
        What::Membership(args) => membership(&args),
        What::Placement(args) => placement::run(&args),
        What::Policies(args) => policies::run(&args),
        What::Slots(args) => slots::run(&args),
    }
}

fn membership(args: &MembershipArgs) -> Result {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let rpc = runtime.block_on(membership::measure_rpc())?;
    let mut sizes = Size::ALL.to_vec();
    if args.quick {
        sizes.truncate(1);
    }
    if args.target {
        sizes.push(Size::TARGET);
    }
    let mut rows = Vec::new();
    for size in sizes {
        eprintln!("measuring: {} hosts", size.hosts());
        rows.push(membership::measure(size, &rpc, args.seed));
    }
    let report = membership::Report { rows, rpc };
    if args.json {
        output::json(&report)?
    } else {
        output::line(report.markdown())?
    }
    Ok(Exit::Done)
}

fn capacity(args: &CapacityArgs) -> Result {
    let scale = if args.quick { Scale::Quick } else { Scale::Full };
    let report = capacity::run(scale, |role| eprintln!("measuring: {role}"));
    match &args.write {
        Some(page) => return write_page(page, |text| capacity::splice(text, &report)),
        None if args.json => output::json(&report)?,
        None => output::line(report.markdown())?,
    }
    Ok(Exit::Done)
}

/// Puts a report between the markers of a page; `splice` gives the page with it.
fn write_page(path: &Path, splice: impl FnOnce(&str) -> Result<String, PageError>) -> Result {
    let name = path.display();
    let page = fs::read_to_string(path).wrap_err_with(|| format!("{name} can't be read"))?;
    match splice(&page) {
        Ok(page) => fs::write(path, page).wrap_err_with(|| format!("{name} can't be written"))?,
        Err(error) => {
            eprintln!("error: {name}: {error}");
            return Ok(Exit::BadInput);
        }
    }
    Ok(Exit::Done)
}
