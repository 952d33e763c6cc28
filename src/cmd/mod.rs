//! The command line: one subcommand a file.

mod apply;
mod check;
mod exit;
mod key;
mod output;
mod sign;

use clap::{Parser, Subcommand};

pub use self::exit::Exit;

/// Result of a subcommand.
pub type Result<T = Exit> = eyre::Result<T>;

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
    Key(key::Args),
    Sign(sign::Args),
}

impl Cli {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self.command {
            Command::Apply(args) => apply::run(&args),
            Command::Check(args) => check::run(&args),
            Command::Key(args) => key::run(&args),
            Command::Sign(args) => sign::run(&args),
        }
    }
}
