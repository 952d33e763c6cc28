//! `replay`: recorded decisions against those of this program.

use std::{
    fs::{self, File},
    io::BufReader,
    path::{Path, PathBuf},
};

use eyre::WrapErr;

use super::{Exit, Result, output};
use crate::trace::{self, SteerMachine, SteerTrace, scenario};

/// Feeds a recorded trace to the decisions and compares what they decide and the stated outcomes.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank replay examples/traces/region-lost.jsonl")]
pub struct Args {
    /// Make the traces of all scenarios anew in this directory; compare the change before you
    /// keep it.
    #[arg(long, value_name = "DIR", conflicts_with = "traces")]
    make: Option<PathBuf>,
    /// Traces to replay.
    #[arg(required_unless_present = "make", value_name = "TRACE")]
    traces: Vec<PathBuf>,
}

/// Replays; the worst result of all traces counts.
pub fn run(args: Args) -> Result {
    if let Some(dir) = &args.make {
        return make(dir);
    }
    let mut worst = Exit::Done;
    for path in &args.traces {
        match (replay(path)?, worst) {
            (Exit::Done, _) => {}
            (_, Exit::BadInput) => {}
            (exit, _) => worst = exit,
        }
    }
    Ok(worst)
}

fn replay(path: &Path) -> Result {
    let name = path.display();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) => {
            eprintln!("error: {name} can't be opened: {error}");
            return Ok(Exit::BadInput);
        }
    };
    let trace: SteerTrace = match trace::read(BufReader::new(file)) {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("error: {name}: {error}");
            return Ok(Exit::BadInput);
        }
    };
    let replayed = match trace::replay::<SteerMachine, _>(&trace) {
        Ok(replayed) => replayed,
        Err(mismatch) => {
            eprintln!("{name}: {mismatch}");
            return Ok(Exit::Failed);
        }
    };
    let untrue = trace::untrue(&trace);
    for untrue in &untrue {
        eprintln!("{name}: {untrue}");
    }
    if !untrue.is_empty() {
        return Ok(Exit::Failed);
    }
    let (steps, actions) = (replayed.steps, replayed.actions);
    let outcomes = trace.outcomes.len();
    let line = format!("{name}: {steps} steps, {actions} actions, {outcomes} outcomes: the same");
    output::line(line)?;
    Ok(Exit::Done)
}

fn make(dir: &Path) -> Result {
    fs::create_dir_all(dir).wrap_err_with(|| format!("{} can't be made", dir.display()))?;
    for scenario in scenario::ALL {
        let path = dir.join(scenario.name).with_extension("jsonl");
        let file = File::create(&path);
        let file = file.wrap_err_with(|| format!("{} can't be made", path.display()))?;
        let trace = (scenario.make)();
        trace.write(Box::new(std::io::BufWriter::new(file)))?;
        for untrue in trace::untrue(&trace) {
            eprintln!("{}: {untrue}", path.display());
        }
    }
    Ok(Exit::Done)
}
