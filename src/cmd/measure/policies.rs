//! `measure policies`: the chosen policy against its baselines.

use std::{fs, path::PathBuf};

use eyre::WrapErr;

use crate::{
    cmd::{Exit, Result, output},
    measure::policies::{self, Choice, Contender, Member, Scenario},
};

/// The chosen policy against round robin, random, no caps, no ramps and others, in virtual time.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure policies --seed 7 --scenario flash")]
pub struct Args {
    /// Also measure what single decisions cost.
    #[arg(long)]
    cost: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Only this member.
    #[arg(long)]
    member: Option<Member>,
    /// Only these policies, separated by commas.
    #[arg(long, value_delimiter = ',')]
    policy: Vec<Contender>,
    /// Only these scenarios, separated by commas.
    #[arg(long, value_delimiter = ',')]
    scenario: Vec<Scenario>,
    /// Draws the callers and their work.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds in a row: tables then show the median, the least and the most.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Put plots into this directory.
    #[arg(long, value_name = "DIR")]
    svg: Option<PathBuf>,
}

/// Runs the measurement.
pub fn run(args: &Args) -> Result {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    let mut choice = Choice::all(args.seed, threads.div_ceil(2));
    choice.seeds = args.seeds;
    if let Some(member) = args.member {
        choice.members = vec![member];
    }
    if !args.policy.is_empty() {
        choice.contenders = args.policy.clone();
    }
    if !args.scenario.is_empty() {
        choice.scenarios = args.scenario.clone();
    }
    let mut report = policies::run(&choice, |done, all| eprintln!("run {done} of {all}"));
    if args.cost {
        report.costs = policies::costs();
    }
    if let Some(dir) = &args.svg {
        fs::create_dir_all(dir).wrap_err_with(|| format!("{} can't be made", dir.display()))?;
        for (name, svg) in policies::plots(&report)? {
            let path = dir.join(name);
            fs::write(&path, svg)
                .wrap_err_with(|| format!("{} can't be written", path.display()))?;
        }
    }
    if args.json {
        output::json(&report)?;
    } else {
        output::line(report.markdown())?;
    }
    Ok(Exit::Done)
}
