//! `measure slots`: what the slots of targets were used for, from the logs of entry hosts.

use std::{fs, path::PathBuf};

use eyre::WrapErr;

use crate::{
    cmd::{Exit, Result, output},
    event_log::for_each_json,
    measure::slots::{self, Logs, Report},
    prelude::*,
};

/// True load of the targets, and how well requests were placed, from the logs of all entry hosts.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Example: lavenderplank measure slots --from 10 --to 60 edge-1.log edge-2.log"
)]
pub struct Args {
    /// Count only what happened from this second on, since the first request in the logs.
    #[arg(long, value_name = "SECONDS", value_parser = parse_seconds, default_value = "0")]
    from: Duration,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Files with the standard output of all hosts, together or one a host.
    #[arg(required = true, value_name = "LOG")]
    logs: Vec<PathBuf>,
    /// Draw used slots, free slots and waiting requests over time into this file.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
    /// Count only what happened before this second.
    #[arg(long, value_name = "SECONDS", value_parser = parse_seconds)]
    to: Option<Duration>,
}

/// Counts and prints; bad input if a file can't be read or none of the lines is an event.
pub fn run(args: &Args) -> Result {
    let range = args.from..args.to.unwrap_or(Duration::MAX);
    if range.is_empty() {
        output::complaint("--from is not before --to")?;
        return Ok(Exit::BadInput);
    }
    let mut logs = Logs::default();
    for path in &args.logs {
        if let Err(error) = for_each_json(path, |json| logs.add(json)) {
            let path = path.display();
            output::complaint(format!("{path}: {error}; pass files with the hosts' output"))?;
            return Ok(Exit::BadInput);
        }
    }
    let report = Report::new(logs, &range);
    if let Some(path) = &args.svg {
        fs::write(path, slots::draw(&report)?)
            .wrap_err_with(|| format!("{} can't be written", path.display()))?;
    }
    if args.json {
        output::json(&report)?;
    } else {
        output::line(report.markdown().trim_end())?;
    }
    if 0 < report.logs.lines && report.logs.lines == report.logs.unreadable_lines {
        output::complaint("none of the lines is an event; name the hosts' standard output")?;
        return Ok(Exit::BadInput);
    }
    Ok(Exit::Done)
}

fn parse_seconds(text: &str) -> std::result::Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|_| format!("{text} is not a number of seconds"))?;
    Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())
}
