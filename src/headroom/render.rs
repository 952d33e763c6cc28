//! The reports as text.

use std::fmt::Write;

use super::{
    HeadroomReport, Loss, RegionRow, RehearsalReport, ServiceLoad, Transition,
    simulation::MAX_WINDOWS, transition::Move,
};
use crate::{operator::Table, placement::SHIFT_WINDOW};

/// Smallest fraction of requests that is shown: less is rounded to zero.
const MIN_SHOWN_FRACTION: f64 = 0.005;

/// Shown for what is unknown.
const UNKNOWN: &str = "?";

/// The headroom as text.
pub fn render_headroom(report: &HeadroomReport) -> String {
    let mut text = region_table(&report.regions);
    let short: Vec<&ServiceLoad> = report.services.iter().filter(|it| it.is_short()).collect();
    if !short.is_empty() {
        let _ = writeln!(text, "\nshort without any loss: {}", shortages(&short));
    }
    let _ = write!(text, "\n{}", loss_table(&report.losses));
    text.push('\n');
    for sentence in &report.unknown {
        let _ = writeln!(text, "not known: {sentence}");
    }
    for sentence in report.assumptions {
        let _ = writeln!(text, "assumed: {sentence}");
    }
    text
}

/// The rehearsal as text.
pub fn render_rehearsal(report: &RehearsalReport) -> String {
    let mut text = format!("after the step: {}\n\n", report.step);
    text.push_str(&render_headroom(&report.after));
    text.push('\n');
    for service in &report.newly_short {
        let _ = writeln!(text, "the step makes {service} short of slots");
    }
    for transition in &report.transitions {
        text.push_str(&render_transition(transition, report.max_shift));
    }
    if report.transitions.is_empty() {
        text.push_str("no requests move: no service with a known demand has targets there\n");
    }
    text
}

fn render_transition(transition: &Transition, max_shift: f64) -> String {
    let mut text = String::new();
    let service = &transition.service;
    let moves = transition.moves.iter().filter(|it| MIN_SHOWN_FRACTION <= it.moved);
    for it in moves.clone() {
        let _ = writeln!(text, "{service}: {}", render_move(it, max_shift));
    }
    if moves.count() == 0 {
        let _ = writeln!(text, "{service}: no requests change their region");
    }
    let (worst, last) = (transition.worst_short, transition.final_short);
    let verdict = match (transition.is_in_time(), 0.0 < last) {
        (true, false) => "the requests move in time".to_owned(),
        (true, true) => format!("stays short by {last:.1} slots"),
        (false, _) => format!(
            "not in time: short by up to {worst:.1} slots for {} windows of {} s, and by {last:.1} \
             in the end",
            transition.short_windows,
            SHIFT_WINDOW.as_secs()
        ),
    };
    let _ = writeln!(text, "{service}: {verdict}");
    text
}

fn render_move(it: &Move, max_shift: f64) -> String {
    let length = SHIFT_WINDOW.as_secs();
    let count = |windows: Option<u32>| {
        windows.map_or(format!("more than {MAX_WINDOWS}"), |windows| windows.to_string())
    };
    let (windows, at_bound) = (count(it.windows), count(it.windows_at_bound));
    let mut text = format!(
        "{:.2} of the requests of region {} change their region, in {windows} windows of {length} s \
         ({at_bound} if hosts used all of the bound of {max_shift})",
        it.moved, it.home
    );
    if MIN_SHOWN_FRACTION <= it.at_once {
        let _ = write!(
            text,
            "; {:.2} of them at once and beyond the bound, since no slots are left where they ran",
            it.at_once
        );
    }
    text
}

fn region_table(rows: &[RegionRow]) -> String {
    let mut table =
        Table::new(&["service", "region", "targets", "slots", "busy", "demand", "forecast"]);
    for row in rows {
        table.row([
            row.service.to_string(),
            row.region.to_string(),
            figure(row.targets, 0),
            figure(Some(row.slots), 0),
            figure(row.busy, 1),
            figure(row.demand, 1),
            figure(row.forecast, 1),
        ]);
    }
    table.to_string()
}

fn loss_table(losses: &[Loss]) -> String {
    let mut table = Table::new(&["loss of", "slots left", "rest takes the load", "short"]);
    for loss in losses {
        let short: Vec<&ServiceLoad> = loss.services.iter().filter(|it| it.is_short()).collect();
        let takes = match (loss.is_short(), loss.is_unknown()) {
            (true, _) => "no",
            (false, true) => UNKNOWN,
            (false, false) => "yes",
        };
        table.row([
            loss.lost.to_string(),
            figure(Some(loss.slots_left), 0),
            takes.to_owned(),
            shortages(&short),
        ]);
    }
    table.to_string()
}

fn shortages(short: &[&ServiceLoad]) -> String {
    let one = |load: &&ServiceLoad| {
        let now = load.short.unwrap_or_default();
        let forecast = load.forecast_short.filter(|it| 0.0 < *it);
        let forecast = forecast.map(|it| format!(" ({it:.1} by the forecast)")).unwrap_or_default();
        format!("{} by {now:.1} slots{forecast}", load.service)
    };
    short.iter().map(one).collect::<Vec<_>>().join(", ")
}

fn figure(value: Option<f64>, decimals: usize) -> String {
    value.map_or(UNKNOWN.to_owned(), |value| format!("{value:.decimals$}"))
}
