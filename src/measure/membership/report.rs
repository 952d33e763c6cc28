//! The figures.

use super::{Size, rpc::RpcCost};
use crate::{operator::Table, prelude::*};

/// Everything that one run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub rows: Vec<Row>,
    pub rpc: RpcCost,
}

/// One size. Bytes and core are a second and a daemon, both directions; times are median and
/// longest, in seconds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Messages alone.
    pub bytes_body: f64,
    /// With HTTP and JSON-RPC around them.
    pub bytes_total: f64,
    /// Part of a core for deciding, writing and reading the messages.
    pub core_machine: f64,
    /// With what the RPC stack takes.
    pub core_total: f64,
    /// Asked or answered.
    pub exchanges: f64,
    /// Hosts that were suspected although they ran.
    pub false_suspicions: usize,
    pub seconds_drain: (f64, f64),
    pub seconds_lost_host: (f64, f64),
    pub seconds_sequence: (f64, f64),
    pub size: Size,
}

impl Report {
    /// As a Markdown table.
    pub fn markdown(&self) -> String {
        let head = [
            "| hosts",
            "zones",
            "exchanges/s",
            "bytes/s in messages",
            "bytes/s with HTTP",
            "core in machine %",
            "core with RPC %",
            "manifest s (median, max)",
            "drain s (median, max)",
            "lost host s (median, max)",
            "false suspicions |",
        ];
        let mut table = Table::new(&[&head.join(" | ")]);
        table.row([format!("|{}", "---|".repeat(head.len()))]);
        for row in &self.rows {
            let times = |(median, longest): (f64, f64)| format!("{median:.2}, {longest:.2}");
            let cells = [
                format!("| {}", row.size.hosts()),
                row.size.zones.to_string(),
                format!("{:.1}", row.exchanges),
                format!("{:.0}", row.bytes_body),
                format!("{:.0}", row.bytes_total),
                format!("{:.3}", row.core_machine * 100.0),
                format!("{:.3}", row.core_total * 100.0),
                times(row.seconds_sequence),
                times(row.seconds_drain),
                times(row.seconds_lost_host),
                format!("{} |", row.false_suspicions),
            ];
            table.row([cells.join(" | ")]);
        }
        let rpc = format!(
            "One exchange over loopback: {} bytes around its two messages, {:.0} µs of processor \
             time for both ends together.",
            self.rpc.bytes_around,
            self.rpc.processor.as_secs_f64() * 1e6
        );
        format!("{table}\n{rpc}\n")
    }
}
