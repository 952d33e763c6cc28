//! `status`: what the hosts know and do.

use super::{
    Exit, Result,
    connect::{Connect, block_on},
    output,
};
use crate::operator::{gather, render_status};

/// Shows zones, hosts, the manifest in force, drains, use and what is cut off.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank status --member agency --host 10.0.1.1:7000\n\n\
                  Exits 1 if a host did not answer; what the others say is shown.")]
pub struct Args {
    #[command(flatten)]
    connect: Connect,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Shows the status.
pub fn run(args: Args) -> Result {
    block_on(show(args))
}

async fn show(args: Args) -> Result {
    let client = args.connect.client()?;
    let fleet = args.connect.first(|host| gather(&client, host)).await?;
    if args.json {
        output::json(&fleet)?;
    } else {
        output::line(render_status(&fleet).trim_end())?;
    }
    Ok(if fleet.is_whole() { Exit::Done } else { Exit::Failed })
}
