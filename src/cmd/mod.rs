//! The command line: one subcommand a file.

mod exit;

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
enum Command {}

impl Cli {
    /// Runs the subcommand.
    pub fn run(self) -> Result {
        match self.command {}
    }
}
