//! The command line: one subcommand a file.

mod apply;
mod capacity_source;
mod check;
mod completions;
mod connect;
mod demo;
mod drain;
mod entry;
mod exit;
mod explain;
mod headroom;
mod key;
mod measure;
mod output;
mod rehearse;
mod replay;
mod run;
mod scope;
mod sign;
mod soak;
mod status;
mod timeline;
mod undrain;
mod why;

use clap::{Parser, Subcommand};

pub use self::exit::Exit;

/// Result of a subcommand.
pub type Result<T = Exit, E = eyre::Report> = std::result::Result<T, E>;

/// Steers request traffic from callers to targets, for members that share one platform.
#[derive(Debug, Parser)]
#[command(name = "lavenderplank", version, propagate_version = true)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Apply(apply::Args),
    Check(check::Args),
    Completions(completions::Args),
    Demo(demo::Args),
    Drain(drain::Args),
    Entry(entry::Args),
    Explain(explain::Args),
    Headroom(headroom::Args),
    Key(key::Args),
    Measure(measure::Args),
    Rehearse(rehearse::Args),
    Replay(replay::Args),
    Run(run::Args),
    Sign(sign::Args),
    Soak(soak::Args),
    Status(status::Args),
    Timeline(timeline::Args),
    Undrain(undrain::Args),
    Why(why::Args),
}

impl Cli {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self.command {
            Command::Apply(args) => apply::run(args),
            Command::Check(args) => check::run(args),
            Command::Completions(args) => completions::run(args),
            Command::Demo(args) => demo::run(args),
            Command::Drain(args) => drain::run(args),
            Command::Entry(args) => entry::run(args),
            Command::Explain(args) => explain::run(args),
            Command::Headroom(args) => headroom::run(args),
            Command::Key(args) => key::run(args),
            Command::Measure(args) => measure::run(args),
            Command::Rehearse(args) => rehearse::run(args),
            Command::Replay(args) => replay::run(args),
            Command::Run(args) => run::run(args),
            Command::Sign(args) => sign::run(args),
            Command::Soak(args) => soak::run(args),
            Command::Status(args) => status::run(args),
            Command::Timeline(args) => timeline::run(args),
            Command::Undrain(args) => undrain::run(args),
            Command::Why(args) => why::run(args),
        }
    }
}
