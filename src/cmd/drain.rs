//! `drain`: takes a target, host, zone or region out of use.

use std::time::Instant;

use super::{
    Exit, Result,
    connect::{Connect, block_on},
    output,
    scope::{ByArgs, ScopeArgs},
};
use crate::{
    drain::DrainRecord,
    operator::{FleetStatus, gather},
    peer::{DrainOrder, PeerClient, PeerError},
    prelude::*,
};

/// Pause between two looks at the hosts.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Takes a target, host, zone or region out of use: no new work, and what runs may end.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank drain --zone split-1 --wait 60 --member agency \
                  --host 10.0.1.1:7000\n\nExits 1 if another operator was first, or if it is not \
                  drained in time.")]
pub struct Args {
    #[command(flatten)]
    by: ByArgs,
    #[command(flatten)]
    connect: Connect,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    scope: ScopeArgs,
    /// Wait up to this many seconds until nothing runs there any more.
    #[arg(long, value_name = "SECONDS")]
    wait: Option<u64>,
}

/// Orders the drain.
pub fn run(args: Args) -> Result {
    block_on(order(args))
}

async fn order(args: Args) -> Result {
    let client = args.connect.client()?;
    let Some(scope) = args.scope.scope() else { return Ok(Exit::BadInput) };
    // One id for all attempts: an order whose answer was lost is not a second drain.
    let id = uuid::Uuid::new_v4().to_string().into();
    let order = DrainOrder { by: args.by.by.clone(), id, scope };
    let record = match args.connect.first(|host| client.drain(host, &order)).await {
        Ok(record) => record,
        Err(PeerError::Conflict(why)) => {
            output::complaint(format!("conflict: {why}"))?;
            return Ok(Exit::Failed);
        }
        Err(error) => return Err(error.into()),
    };
    if args.json {
        output::json(&record)?;
    } else {
        output::line(describe(&record))?;
    }
    match args.wait {
        Some(secs) => wait(&args, &client, &record, Duration::from_secs(secs)).await,
        None => Ok(Exit::Done),
    }
}

async fn wait(args: &Args, client: &PeerClient, record: &DrainRecord, limit: Duration) -> Result {
    let start = Instant::now();
    let mut last = String::new();
    while start.elapsed() < limit {
        let fleet = args.connect.first(|host| gather(client, host)).await?;
        let (text, done) = progress(&fleet, record);
        if text != last && !args.json {
            output::line(format!("{:>6.1} s  {text}", start.elapsed().as_secs_f64()))?;
        }
        if done {
            return Ok(Exit::Done);
        }
        last = text;
        tokio::time::sleep(LOOK_EVERY).await;
    }
    output::complaint("not drained in time; the drain stays in force")?;
    Ok(Exit::Failed)
}

/// Where the drain stands, and whether nothing runs there at any host.
fn progress(fleet: &FleetStatus, record: &DrainRecord) -> (String, bool) {
    let answered: Vec<_> = fleet.hosts.iter().filter_map(|host| host.status.as_ref()).collect();
    let copies: Vec<_> = answered
        .iter()
        .flat_map(|status| &status.drains)
        .filter(|drain| drain.record.id == record.id)
        .collect();
    if let Some(undone) = copies.iter().find_map(|copy| copy.record.undone.as_ref()) {
        return (format!("taken back by {}", undone.by), false);
    }
    if let Some(why) = copies.iter().find_map(|copy| copy.waits.as_ref()) {
        return (format!("waits: {why}"), false);
    }
    let in_force = copies.iter().filter(|copy| copy.record.is_in_force()).count();
    let in_flight: u64 = copies.iter().map(|copy| copy.in_flight).sum();
    let silent = fleet.hosts.len() - answered.len();
    let mut text = format!("in force at {in_force} of {} hosts", fleet.hosts.len());
    text += &format!(", {in_flight} requests in flight");
    if 0 < silent {
        text += &format!(", {silent} hosts do not answer");
    }
    let done = in_force == fleet.hosts.len() && in_flight == 0;
    (text, done)
}

fn describe(record: &DrainRecord) -> String {
    let settled = if record.settled { "" } else { "; not yet settled with the platform" };
    match record.started {
        Some(_) => format!("drain {} is in force{settled}", record.id),
        None => format!("drain {} waits for room; see `lavenderplank status`{settled}", record.id),
    }
}
