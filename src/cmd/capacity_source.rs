//! Where `headroom` and `rehearse` read slots and demand, and how they print.

use std::{
    fs,
    path::{Path, PathBuf},
};

use eyre::{WrapErr, bail};
use serde::Serialize;

use super::{Exit, Result, connect::block_on, output};
use crate::{
    headroom::{HeadroomReport, LogReader, RegionRow, Snapshot, plot, read_metrics},
    prelude::*,
    why::for_each_line,
};

/// Time for the whole answer of a host.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes read of a host's metrics. Those of 64 services in 24 zones take a tenth of it.
const MAX_METRICS_BYTES: usize = 16 << 20;

/// What to read: exactly one kind of these.
#[derive(Debug, clap::Args)]
#[group(required = true, multiple = false)]
pub struct SourceArgs {
    /// Address of an entry host's metrics; asked for once.
    #[arg(long, value_name = "ADDR")]
    metrics: Option<SocketAddr>,
    /// File with the metrics of an entry host.
    #[arg(long, value_name = "FILE")]
    metrics_file: Option<PathBuf>,
    /// Files with the hosts' standard output; name those of all hosts.
    #[arg(value_name = "LOG")]
    logs: Vec<PathBuf>,
}

/// How to print.
#[derive(Debug, clap::Args)]
pub struct OutputArgs {
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Also draw slots and demand into this file.
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

impl SourceArgs {
    /// Reads the source. The outer error is a host that does not answer, the inner one bad input: a
    /// file that cannot be read, or a text that does not tell slots and demand.
    pub fn snapshot(&self) -> Result<Result<Snapshot>> {
        Ok(match (self.metrics, &self.metrics_file) {
            (Some(addr), _) => read_metrics(&fetch(addr)?).map_err(Into::into),
            (None, Some(path)) => read_metrics_file(path),
            (None, None) => read_logs(&self.logs),
        })
    }
}

impl OutputArgs {
    /// Prints a report: as JSON or as the text, and the rows as a plot.
    pub fn print(
        &self,
        report: &impl Serialize,
        text: &str,
        title: &str,
        rows: &[RegionRow],
    ) -> Result<()> {
        if let Some(path) = &self.svg {
            write_plot(path, title, rows)?;
        }
        if self.json { output::json(report) } else { output::line(text.trim_end()) }
    }
}

/// The exit code: a pipeline must not take an unknown demand for one that can be served.
pub fn verdict(is_short: bool, report: &HeadroomReport) -> Result {
    if is_short {
        return Ok(Exit::Failed);
    }
    let unknown = report.without_demand();
    if unknown.is_empty() {
        return Ok(Exit::Done);
    }
    let names = unknown.join(", ");
    output::complaint(format!(
        "error: no verdict, since the demand is not known of: {names}; give logs of ten seconds or \
         more, or metrics"
    ))?;
    Ok(Exit::BadInput)
}

fn write_plot(path: &Path, title: &str, rows: &[RegionRow]) -> Result<()> {
    let svg = plot(title, rows)?;
    fs::write(path, svg).wrap_err_with(|| format!("{} can't be written", path.display()))
}

fn read_metrics_file(path: &Path) -> Result<Snapshot> {
    let text = fs::read(path).wrap_err_with(|| format!("{} can't be read", path.display()))?;
    Ok(read_metrics(&String::from_utf8_lossy(&text))?)
}

fn read_logs(files: &[PathBuf]) -> Result<Snapshot> {
    let mut reader = LogReader::default();
    for path in files {
        for_each_line(path, |line| match line {
            Ok(line) => reader.add(line),
            Err(_) => reader.add_unparsed(),
        })?;
    }
    if !reader.has_events() {
        bail!("none of the lines is an event; name the hosts' standard output");
    }
    let snapshot = reader.finish();
    if snapshot.services.is_empty() {
        bail!("no line names a target or an answer; name the logs of a longer time");
    }
    Ok(snapshot)
}

/// Reads the metrics of a host.
fn fetch(addr: SocketAddr) -> Result<String> {
    block_on(async {
        let url = format!("http://{addr}/metrics");
        let text = fetch_text(&url).await;
        text.wrap_err_with(|| format!("{url} can't be read"))
    })
}

async fn fetch_text(url: &str) -> Result<String> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .timeout(FETCH_TIMEOUT)
        .build()?;
    let mut response = client.get(url).send().await?;
    if response.status() != reqwest::StatusCode::OK {
        bail!("it answered {}; give the address of `listen.metrics`", response.status());
    }
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        body.extend_from_slice(&chunk);
        if MAX_METRICS_BYTES < body.len() {
            bail!("it is larger than {MAX_METRICS_BYTES} bytes; give the address of an entry host");
        }
    }
    Ok(String::from_utf8_lossy(&body).into_owned())
}
