//! The report as Markdown, and its place in the page.

use std::fmt::Write;

use super::{Figure, Load, Report, Resource, RoleCost, limits::Limit, target};
use crate::measure::page::{self, PageError};

/// The page with the part between the markers replaced.
pub fn splice(page: &str, report: &Report) -> Result<String, PageError> {
    page::splice(page, &report.markdown())
}

impl Report {
    /// Every table, as the page has them.
    pub fn markdown(&self) -> String {
        let mut out = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut out);
        out
    }

    fn write(&self, out: &mut String) -> std::fmt::Result {
        writeln!(out, "At {}.\n\n### Limits\n", heading())?;
        writeln!(out, "| Resource | All roles | Limit | Kept | Basis |")?;
        writeln!(out, "| --- | ---: | ---: | --- | --- |")?;
        for limit in &self.limits {
            let (name, basis) = (name(limit.resource), limit.basis.as_str());
            let (used, most) =
                (shown(limit.resource, limit.used), shown(limit.resource, limit.limit));
            writeln!(out, "| {name} | {used} | {most} | {} | {basis} |", verdict(limit))?;
        }
        writeln!(out, "\n### Roles\n")?;
        writeln!(out, "| Role | State | Messages | Mechanism |")?;
        writeln!(out, "| --- | --- | --- | --- |")?;
        for role in &self.roles {
            let RoleCost { mechanism, messages, state, .. } = role;
            writeln!(out, "| {} | {state} | {messages} | {mechanism} |", role.role)?;
        }
        writeln!(out, "\n### Loads at the target's size\n")?;
        writeln!(out, "| Role | Resource | Load | Share of its limit | Basis | How |")?;
        writeln!(out, "| --- | --- | ---: | ---: | --- | --- |")?;
        for role in &self.roles {
            role.loads.iter().try_for_each(|load| self.load(out, role.role, load))?;
        }
        writeln!(out, "\n### Slopes\n")?;
        writeln!(out, "| Role | Cost | Measured | Slope | At the target |")?;
        writeln!(out, "| --- | --- | --- | ---: | ---: |")?;
        for role in &self.roles {
            role.figures.iter().try_for_each(|figure| slope(out, role.role, figure))?;
        }
        writeln!(out, "\n### Failures of an ordinary year\n")?;
        writeln!(out, "| Failure | How often | What it costs | Basis |")?;
        writeln!(out, "| --- | --- | --- | --- |")?;
        for cost in &self.failures {
            let basis = cost.basis.as_str();
            writeln!(out, "| {} | {} | {} | {basis} |", cost.failure, cost.often, cost.cost)?;
        }
        Ok(())
    }

    fn load(&self, out: &mut String, role: &str, load: &Load) -> std::fmt::Result {
        let limit = self.limits.iter().find(|limit| limit.resource == load.resource);
        let share = limit
            .map_or("-".to_owned(), |limit| format!("{:.1} %", 100.0 * load.value / limit.limit));
        let (name, value) = (name(load.resource), shown(load.resource, load.value));
        let basis = load.basis.as_str();
        writeln!(out, "| {role} | {name} | {value} | {share} | {basis} | {} |", load.how)
    }
}

fn slope(out: &mut String, role: &str, figure: &Figure) -> std::fmt::Result {
    let Figure { axis, name, unit, .. } = figure;
    let point = |point: &super::Point| format!("{}: {}", digits(point.size), digits(point.value));
    let points = figure.points.iter().map(point).collect::<Vec<_>>().join("; ");
    let slope = figure.fit.map_or("-".to_owned(), |fit| {
        format!(
            "{} ± {} {unit} (points off by {:.1} %)",
            digits(fit.slope),
            digits(fit.slope_error),
            100.0 * fit.residual,
        )
    });
    let at = format!("{} {unit} at {}", digits(figure.value), digits(figure.target));
    writeln!(out, "| {role} | {name}, {unit} by {axis} | {points} | {slope} | {at} |")
}

fn verdict(limit: &Limit) -> String {
    if limit.is_kept() {
        return "yes".to_owned();
    }
    format!("**no, {:.1} times the limit**", limit.used / limit.limit)
}

fn name(resource: Resource) -> &'static str {
    match resource {
        Resource::ControlCpu => "control, processor",
        Resource::ControlWire => "control, bytes a second",
        Resource::InForce => "change in force",
        Resource::Memory => "memory",
        Resource::PlatformReads => "platform, reads a second",
        Resource::PlatformWrites => "platform, writes a second",
        Resource::TrafficCpu => "traffic, processor",
    }
}

fn shown(resource: Resource, value: f64) -> String {
    match resource {
        Resource::ControlCpu | Resource::TrafficCpu => format!("{:.3} % of a core", 100.0 * value),
        Resource::ControlWire => format!("{:.2} KB/s", value / 1e3),
        Resource::InForce => format!("{value:.1} s"),
        Resource::Memory => format!("{:.1} MB", value / 1e6),
        Resource::PlatformReads | Resource::PlatformWrites => format!("{value:.1} /s"),
    }
}

/// Four significant digits at most.
fn digits(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".to_owned();
    }
    if 1_000.0 <= size {
        return format!("{value:.0}");
    }
    let places = (3 - size.log10().floor() as i32).clamp(0, 9) as usize;
    let text = format!("{value:.places$}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// The size at which the tables stand.
fn heading() -> String {
    format!(
        "{} daemons, {} client blocks, {} sites, {:.0} look-ups a second, {} regions, {} zones, \
         {:.0} changes a day",
        target::DAEMONS,
        target::BLOCKS,
        target::SITES,
        target::LOOKUPS_PER_SECOND,
        target::REGIONS,
        target::ZONES,
        target::CHANGES_PER_DAY,
    )
}
