//! `measure placement`: what a decision costs, by the number of targets.

use crate::{
    cmd::{Exit, Result, output},
    measure::placement::{self, Row},
};

/// What it costs an entry host to choose a target, among a few and among all.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure placement --targets 16,606")]
pub struct Args {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Decisions of each row.
    #[arg(long, default_value_t = 5_000, value_parser = clap::value_parser!(u32).range(100..=1_000_000))]
    requests: u32,
    /// Targets of the service.
    #[arg(long, value_delimiter = ',', default_values_t = [16, 120, 606, 4_000])]
    targets: Vec<usize>,
}

/// Runs the measurement.
pub fn run(args: &Args) -> Result {
    let rows: Vec<Row> = args
        .targets
        .iter()
        .flat_map(|targets| placement::measure(*targets, args.requests as usize))
        .collect();
    if args.json {
        output::json(&rows)?;
    } else {
        output::line(markdown(&rows))?;
    }
    Ok(Exit::Done)
}

fn markdown(rows: &[Row]) -> String {
    let head = ["| Targets | Search | p50, us | p99, us |", "| ---: | --- | ---: | ---: |"];
    let line = |row: &Row| {
        let Row { p50_us, p99_us, search, targets } = row;
        format!("| {targets} | {search} | {p50_us:.1} | {p99_us:.1} |")
    };
    let lines: Vec<String> =
        head.map(String::from).into_iter().chain(rows.iter().map(line)).collect();
    lines.join("\n")
}
