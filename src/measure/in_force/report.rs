//! The figures.

use super::{Case, LIMIT, Size};
use crate::{operator::Table, prelude::*, store::CallCounts};

/// Everything that one run gave.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub rows: Vec<Row>,
}

/// One size in one case. Times are in seconds from accepted to in force.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Platform calls of each change, those at rest included.
    pub calls: Vec<CallCounts>,
    pub case: Case,
    pub cost: Option<Cost>,
    pub size: Size,
    /// Of every host and change, sorted.
    pub times: Vec<f64>,
}

/// What a host costs while nothing changes; bytes and core a second.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// Of messages that the host asked with and was answered with.
    pub bytes: f64,
    /// Of all hosts over the whole time.
    pub calls: CallCounts,
    /// With a share of the stand-ins' work and of the measuring.
    pub core: f64,
    pub exchanges: f64,
    pub resident: f64,
    pub seconds: f64,
}

impl Row {
    pub(super) fn new(case: Case, size: Size, cost: Option<Cost>) -> Self {
        Self { calls: Vec::new(), case, cost, size, times: Vec::new() }
    }

    pub(super) fn add(&mut self, times: &[Duration]) {
        self.times.extend(times.iter().map(Duration::as_secs_f64));
        self.times.sort_by(f64::total_cmp);
    }

    /// The time after which this share of the hosts had it.
    fn quantile(&self, share: f64) -> f64 {
        let last = self.times.len().saturating_sub(1);
        self.times.get((last as f64 * share).round() as usize).copied().unwrap_or_default()
    }

    fn most_calls(&self, count: fn(&CallCounts) -> u64) -> u64 {
        self.calls.iter().map(count).max().unwrap_or_default()
    }
}

impl Report {
    /// Adds the rows of one size.
    pub fn add(&mut self, rows: Vec<Row>) {
        self.rows.extend(rows);
    }

    /// Whether each host had each manifest in time.
    pub fn is_within_limit(&self) -> bool {
        self.rows.iter().all(|row| row.quantile(1.0) <= LIMIT.as_secs_f64())
    }

    /// As Markdown tables.
    pub fn markdown(&self) -> String {
        format!("{}\n{}\n{}", self.times(), self.costs(), self.slope())
    }

    fn times(&self) -> String {
        let mut table = markdown_table(&[
            "hosts",
            "zones",
            "case",
            "changes",
            "first s",
            "median s",
            "p99 s",
            "last s",
            "reads, watches, writes a change (most)",
        ]);
        for row in &self.rows {
            let case = match row.case {
                Case::Nothing => "nothing wrong",
                Case::RelaysKilled => "both relays of a zone killed",
                Case::ZoneWithoutPlatform => "one zone without the platform",
            };
            let calls = [
                row.most_calls(|calls| calls.reads),
                row.most_calls(|calls| calls.watches),
                row.most_calls(|calls| calls.writes),
            ];
            let mut cells = vec![
                row.size.hosts().to_string(),
                (row.size.plan.regions * row.size.plan.zones_per_region).to_string(),
                case.into(),
                row.calls.len().to_string(),
            ];
            let shares = [0.0, 0.5, 0.99, 1.0];
            cells.extend(shares.map(|share| format!("{:.2}", row.quantile(share))));
            cells.push(calls.map(|count| count.to_string()).join(", "));
            add(&mut table, &cells);
        }
        table.to_string()
    }

    fn costs(&self) -> String {
        let mut table = markdown_table(&[
            "hosts",
            "exchanges/s",
            "bytes/s in messages",
            "core %",
            "resident MB",
            "reads/s of all",
            "watches/s of all",
            "writes/s of all",
        ]);
        for row in &self.rows {
            let Some(cost) = &row.cost else { continue };
            let rate = |count: u64| format!("{:.1}", count as f64 / cost.seconds);
            let cells = [
                row.size.hosts().to_string(),
                // Each exchange is one of its asker and one of who answers.
                format!("{:.1}", cost.exchanges * 2.0),
                format!("{:.0}", cost.bytes * 2.0),
                format!("{:.2}", cost.core * 100.0),
                format!("{:.1}", cost.resident / 1e6),
                rate(cost.calls.reads),
                rate(cost.calls.watches),
                rate(cost.calls.writes),
            ];
            add(&mut table, &cells);
        }
        table.to_string()
    }

    /// Growth of the slowest host's time between the smallest and the largest size.
    fn slope(&self) -> String {
        let mut lines = Vec::new();
        for case in [Case::Nothing, Case::ZoneWithoutPlatform, Case::RelaysKilled] {
            let mut rows = self.rows.iter().filter(|row| row.case == case);
            let (Some(small), Some(large)) = (rows.next(), rows.next_back()) else { continue };
            let hosts = (large.size.hosts() - small.size.hosts()) as f64;
            let rise = (large.quantile(1.0) - small.quantile(1.0)) / hosts * 100.0;
            lines.push(format!("{case:?}: {rise:+.3} s for each 100 hosts more."));
        }
        let limit = LIMIT.as_secs();
        let verdict = if self.is_within_limit() { "held" } else { "NOT held" };
        format!("Last host within {limit} s: {verdict}.\n{}\n", lines.join("\n"))
    }
}

fn markdown_table(heading: &[&str]) -> Table {
    let mut table = Table::new(&[&format!("| {} |", heading.join(" | "))]);
    table.row([format!("|{}", "---|".repeat(heading.len()))]);
    table
}

fn add(table: &mut Table, cells: &[String]) {
    table.row([format!("| {} |", cells.join(" | "))]);
}
