//! `completions`: what a shell needs to complete this command line.

use clap::CommandFactory;
use clap_complete::Shell;

use super::{Cli, Exit, Result};

/// Prints completions for a shell.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank completions bash > lavenderplank.bash")]
pub struct Args {
    /// Shell to print them for.
    shell: Shell,
}

/// Prints the completions.
pub fn run(args: Args) -> Result {
    let mut command = Cli::command();
    clap_complete::generate(args.shell, &mut command, "lavenderplank", &mut std::io::stdout());
    Ok(Exit::Done)
}
