//! `measure ledger`: the owner binding against a platform record for each booking.

use crate::{
    cmd::{Exit, Result, output},
    ledger::LedgerLimits,
    measure::ledger::{self, EntryCost, WayCost},
};

/// What running a booking at most once costs, by owner binding and by a record on the platform.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure ledger --bookings 1000")]
pub struct Args {
    #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    bookings: u32,
    /// Delays of the platform, in milliseconds a call.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 3])]
    delays: Vec<u64>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the measurement.
pub fn run(args: &Args) -> Result {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let cost = ledger::entries(LedgerLimits::default().entries);
    let rows = runtime.block_on(ledger::measure(args.bookings as usize, &args.delays))?;
    if args.json {
        output::json(&(&cost, &rows))?;
    } else {
        output::line(markdown(&cost, &rows))?;
    }
    Ok(Exit::Done)
}

fn markdown(cost: &EntryCost, rows: &[WayCost]) -> String {
    let EntryCost { entries, entries_per_mb, ns_per_entry } = cost;
    let mut lines = vec![
        format!(
            "{entries} entries: {entries_per_mb:.0} a MB, {ns_per_entry:.0} ns each to begin and end"
        ),
        String::new(),
        "| Way | p50, us | p99, us | Platform calls a booking | Most bookings/s in all |".into(),
        "| --- | ---: | ---: | ---: | ---: |".into(),
    ];
    lines.extend(rows.iter().map(|row| {
        let most = row.most_per_second.map_or("-".into(), |most| format!("{most:.0}"));
        let WayCost { calls_per_booking, p50_us, p99_us, way, .. } = row;
        format!("| {way} | {p50_us:.1} | {p99_us:.1} | {calls_per_booking:.1} | {most} |")
    }));
    lines.join("\n")
}
