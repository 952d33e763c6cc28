//! `measure policies`: the chosen policy against its baselines.

use crate::{
    cmd::{Exit, Result, output},
    measure::policies::{self, Choice, Contender, Member, Scenario},
};

/// The chosen policy against round robin, random, no caps, no ramps and others, in virtual time.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure policies --seed 7 --scenario flash")]
pub struct Args {
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
}

/// Runs the measurement.
pub fn run(args: &Args) -> Result {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    let mut choice = Choice::all(args.seed, threads.div_ceil(2));
    if let Some(member) = args.member {
        choice.members = vec![member];
    }
    if !args.policy.is_empty() {
        choice.contenders = args.policy.clone();
    }
    if !args.scenario.is_empty() {
        choice.scenarios = args.scenario.clone();
    }
    let report = policies::run(&choice, |done, all| eprintln!("run {done} of {all}"));
    if args.json {
        output::json(&report)?;
    } else {
        output::line(report.markdown())?;
    }
    Ok(Exit::Done)
}
