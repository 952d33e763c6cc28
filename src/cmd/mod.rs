//! The command line: one subcommand a file.

mod completions;
mod demo;
mod exit;
mod measure;
mod run;
mod timeline;

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
    Completions(completions::Args),
    Demo(demo::Args),
    Measure(measure::Args),
    Run(run::Args),
    Timeline(timeline::Args),
}

impl Cli {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self.command {
            Command::Completions(args) => completions::run(args),
            Command::Demo(args) => demo::run(args),
            Command::Measure(args) => measure::run(args),
            Command::Run(args) => run::run(args),
            Command::Timeline(args) => timeline::run(args),
        }
    }
}
