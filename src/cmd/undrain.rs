//! `undrain`: puts what was drained back into use.

use super::{
    Exit, Result,
    connect::{Connect, block_on},
    output,
    scope::{ByArgs, ScopeArgs},
};
use crate::{
    drain::DrainId,
    peer::{PeerError, UndrainOrder},
};

/// Puts a target, host, zone or region back into use.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank undrain --zone split-1 --member agency \
                  --host 10.0.1.1:7000\n\nExits 1 if nothing drains it, or if it was taken back \
                  before.")]
pub struct Args {
    #[command(flatten)]
    by: ByArgs,
    #[command(flatten)]
    connect: Connect,
    /// Only this drain.
    #[arg(long, value_name = "ID")]
    id: Option<DrainId>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    scope: ScopeArgs,
}

/// Takes the drains back.
pub fn run(args: Args) -> Result {
    block_on(order(args))
}

async fn order(args: Args) -> Result {
    let client = args.connect.client()?;
    let Some(scope) = args.scope.scope() else { return Ok(Exit::BadInput) };
    let order = UndrainOrder { by: args.by.by.clone(), id: args.id.clone(), scope };
    let records = match args.connect.first(|host| client.undrain(host, &order)).await {
        Ok(records) => records,
        Err(PeerError::Conflict(why)) => {
            output::complaint(format!("conflict: {why}"))?;
            return Ok(Exit::Failed);
        }
        Err(error) => return Err(error.into()),
    };
    if args.json {
        output::json(&records)?;
    }
    for record in records.iter().filter(|_| !args.json) {
        output::line(format!("drain {} by {} is taken back", record.id, record.by))?;
    }
    Ok(Exit::Done)
}
