//! `explain`: where a request would go now, and why.

use std::net::IpAddr;

use super::{
    Exit, Result,
    connect::{Connect, block_on},
    output,
};
use crate::{operator::render_explanation, peer::ExplainRequest, prelude::*};

/// Shows where a request would go now, step by step.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank explain intake --caller 10.20.0.7 --member agency \
                  --host 10.0.1.1:7000")]
pub struct Args {
    #[arg(value_name = "SERVICE")]
    service: ServiceId,
    /// Address of the caller.
    #[arg(long, value_name = "IP")]
    caller: Option<IpAddr>,
    #[command(flatten)]
    connect: Connect,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Shows the explanation; failed if the request would be refused.
pub fn run(args: Args) -> Result {
    block_on(show(args))
}

async fn show(args: Args) -> Result {
    let client = args.connect.client()?;
    let request = ExplainRequest { caller: args.caller, service: args.service.clone() };
    let explanation = args.connect.first(|host| client.explain(host, &request)).await?;
    if args.json {
        output::json(&explanation)?;
    } else {
        output::line(render_explanation(&explanation).trim_end())?;
    }
    Ok(if explanation.target.is_some() { Exit::Done } else { Exit::Failed })
}
