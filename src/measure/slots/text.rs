//! The report as text.

use std::fmt::{Result, Write};

use super::{Figures, Report, ServiceFigures};

/// Heading of the columns that `figure_cells` fills.
const COLUMNS: [&str; 13] = [
    "slots",
    "used",
    "free",
    "waiting",
    "sent",
    "to full",
    "to full while free",
    "to full, believed free",
    "load wrong by 2",
    "not placed",
    "not placed while free",
    "in time of served",
    "in time of all answers",
];

/// Name of the row of all services together.
const ALL: &str = "(all)";

impl Report {
    /// The tables as Markdown.
    pub fn markdown(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> Result {
        self.write_summary(out)?;
        writeln!(out, "\n### All windows\n")?;
        self.write_services(out, |service| &service.total)?;
        writeln!(out, "\n### The four busiest windows of each row\n")?;
        self.write_services(out, |service| &service.busiest)?;
        self.write_answer_times(out)?;
        for (name, service) in self.rows() {
            writeln!(out, "\n### Windows of 2 s: {name}\n")?;
            write_heading(out, &["from s"], &COLUMNS)?;
            for window in &service.windows {
                write_row(out, [format!("{:.0}", window.start_s)], &window.figures)?;
            }
        }
        Ok(())
    }

    fn rows(&self) -> impl Iterator<Item = (&str, &ServiceFigures)> {
        let services = self.services.iter().map(|(name, service)| (&**name, service));
        std::iter::once((ALL, &self.all)).chain(services)
    }

    fn write_summary(&self, out: &mut String) -> Result {
        let (logs, attempts) = (&self.logs, &self.attempts);
        writeln!(
            out,
            "{} lines of {} hosts; {} unreadable, {} with a clock that had jumped; {} lines \
             dropped by the hosts.",
            logs.lines, logs.hosts, logs.unreadable_lines, logs.jumped_lines, logs.dropped_lines
        )?;
        writeln!(
            out,
            "{} attempts, {} without a logged end; {} ends without a logged attempt; {} hedges not \
             placed.",
            attempts.attempts,
            attempts.attempts_without_end,
            attempts.ends_without_attempt,
            attempts.hedges_not_placed
        )?;
        self.notes.iter().try_for_each(|note| writeln!(out, "{note}"))
    }

    fn write_services(&self, out: &mut String, of: fn(&ServiceFigures) -> &Figures) -> Result {
        write_heading(out, &["service"], &COLUMNS)?;
        self.rows().try_for_each(|(name, service)| write_row(out, [name.into()], of(service)))
    }

    fn write_answer_times(&self, out: &mut String) -> Result {
        writeln!(out, "\n### Answer times of served requests\n")?;
        let columns = ["object", "target", "answers", "median ms", "over objective"];
        write_heading(out, &["service"], &columns)?;
        for (name, service) in self.rows() {
            for row in &service.answer_times {
                let object = if row.placed.is_known { "known" } else { "not known" };
                let target = if row.placed.is_full { "full" } else { "free" };
                let (answers, median, late) = (row.answers, row.median_ms, row.over_objective);
                writeln!(
                    out,
                    "| {name} | {object} | {target} | {answers} | {median} | {late:.2} |"
                )?;
            }
        }
        Ok(())
    }
}

fn write_heading(out: &mut String, first: &[&str], columns: &[&str]) -> Result {
    let cells = [first, columns].concat();
    writeln!(out, "| {} |", cells.join(" | "))?;
    writeln!(out, "|---|{}", "---:|".repeat(columns.len()))
}

fn write_row(out: &mut String, first: [String; 1], figures: &Figures) -> Result {
    let cells: Vec<String> = first.into_iter().chain(figure_cells(figures)).collect();
    writeln!(out, "| {} |", cells.join(" | "))
}

fn figure_cells(figures: &Figures) -> [String; COLUMNS.len()] {
    let counts = &figures.counts;
    let mean = |value: f64| format!("{value:.1}");
    let share = |fraction: Option<f64>| fraction.map_or("-".into(), |of| format!("{of:.2}"));
    let part = |count: u64, fraction: Option<f64>| match fraction {
        Some(fraction) => format!("{count} ({fraction:.2})"),
        None => count.to_string(),
    };
    [
        mean(figures.slots),
        mean(figures.used),
        mean(figures.free),
        mean(figures.waiting),
        counts.sent.to_string(),
        counts.sent_to_full.to_string(),
        part(counts.sent_to_full_while_free, figures.full_while_free_of_sent),
        counts.sent_to_full_believed_free.to_string(),
        part(counts.load_wrong, figures.load_wrong_of_sent),
        counts.not_placed.to_string(),
        part(counts.not_placed_while_free, figures.while_free_of_not_placed),
        share(figures.in_time_of_served),
        share(figures.in_time_of_answers),
    ]
}
