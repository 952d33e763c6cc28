//! `measure fleet`: what it costs an entry host to know the others.

use crate::{
    cmd::{Exit, Result, output},
    measure::fleet::{self, Row, Way},
};

/// What it costs an entry host to know the others, and when a start and a loss are noticed.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank measure fleet --hosts 12,195")]
pub struct Args {
    /// Hosts of the fleet, in nine zones of three regions.
    #[arg(long, value_delimiter = ',', default_values_t = [12, 195, 985, 2_000], value_parser = hosts)]
    hosts: Vec<usize>,
    /// How hosts of a zone exchange their states; all to all takes minutes from 985 hosts on.
    #[arg(long, value_enum, value_delimiter = ',', default_values_t = [Way::Collected])]
    ways: Vec<Way>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

fn hosts(text: &str) -> std::result::Result<usize, String> {
    match text.parse() {
        Ok(hosts) if (12..=20_000).contains(&hosts) => Ok(hosts),
        _ => Err("give a number from 12 to 20000".to_owned()),
    }
}

/// Runs the measurement.
pub fn run(args: &Args) -> Result {
    let mut rows: Vec<Row> = Vec::new();
    for hosts in &args.hosts {
        for way in &args.ways {
            eprintln!("measuring: {hosts} hosts, {way:?}");
            rows.push(fleet::measure(*hosts, *way));
        }
    }
    if args.json {
        output::json(&rows)?;
    } else {
        output::line(markdown(&rows))?;
    }
    Ok(Exit::Done)
}

fn markdown(rows: &[Row]) -> String {
    let head = [
        "| Hosts | States | Datagrams /s | KB/s in, out | most KB/s out | Core, % | Start, s | Host lost, s | Zone lost, s | Wrongly lost |",
        "| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |",
    ];
    let line = |row: &Row| {
        format!(
            "| {} | {} | {:.0} | {:.1}, {:.1} | {:.1} | {:.3} | {:.1} | {:.1} | {:.1} | {} |",
            row.hosts,
            row.way,
            row.datagrams_per_s,
            row.kb_in_per_s,
            row.kb_out_per_s,
            row.most_kb_out_per_s,
            row.cpu_percent,
            row.start_s,
            row.host_lost_s,
            row.zone_lost_s,
            row.false_suspicions,
        )
    };
    let lines: Vec<String> =
        head.map(String::from).into_iter().chain(rows.iter().map(line)).collect();
    lines.join("\n")
}
