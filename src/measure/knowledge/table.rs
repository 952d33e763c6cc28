//! The report as one Markdown table, and its place in the page.

use std::fmt::Write;

use super::{Report, Row};
use crate::measure::page::{self, PageError};

/// Columns of the table; those from the sixth on have one figure per limit.
const COLUMNS: [&str; 14] = [
    "Hosts",
    "Targets",
    "Seconds",
    "Load",
    "Way",
    "In time",
    "Late",
    "Refused",
    "Full",
    "Believed free",
    "Free holder",
    "Misses",
    "KB/s per host",
    "KB/s, most",
];

/// Separator of the figures of the limits.
const SEPARATOR: &str = " / ";

/// The page with the table between the markers.
pub fn splice(page: &str, report: &Report) -> Result<String, PageError> {
    page::splice(page, &report.markdown())
}

impl Report {
    /// The table, as the page has it.
    pub fn markdown(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        let limits: Vec<String> = self.limits.iter().map(f64::to_string).collect();
        writeln!(
            out,
            "Seed {}. Limits of the expected answer time, in objectives: {}.\n",
            self.seed,
            limits.join(SEPARATOR)
        )?;
        writeln!(out, "| {} |", COLUMNS.join(" | "))?;
        writeln!(out, "|{}", " --- |".repeat(COLUMNS.len()))?;
        for rows in self.rows.chunks(self.limits.len().max(1)) {
            write_line(out, rows)?;
        }
        Ok(())
    }
}

/// Writes the runs of one size, load and way, which differ by the limit.
fn write_line(out: &mut String, rows: &[Row]) -> std::fmt::Result {
    let Row { hosts, targets, seconds, load, way, .. } = rows[0];
    write!(out, "| {hosts} | {targets} | {seconds} | {load} | {} ", way.name())?;
    let fractions: [fn(&Row) -> f64; 7] = [
        |row| row.in_time,
        |row| row.late,
        |row| row.refused,
        |row| row.full,
        |row| row.full_believed_free,
        |row| row.full_free_holder,
        |row| row.misses,
    ];
    for figure in fractions {
        write!(out, "| {} ", cell(rows, |row| format!("{:.3}", figure(row))))?;
    }
    let mean = cell(rows, |row| format!("{:.1}", row.bytes_mean / 1e3));
    let most = cell(rows, |row| format!("{:.1}", row.bytes_most / 1e3));
    writeln!(out, "| {mean} | {most} |")
}

fn cell(rows: &[Row], figure: impl Fn(&Row) -> String) -> String {
    rows.iter().map(figure).collect::<Vec<_>>().join(SEPARATOR)
}
