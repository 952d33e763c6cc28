//! Plots of a measurement as SVG.

use plotters::prelude::*;

use super::{Contender, Member, Report, Scenario, Summary};

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot can't be drawn: {0}")]
pub struct PlotError(String);

/// Result of this module.
pub type Result<T> = std::result::Result<T, PlotError>;

/// One figure of a row, and how it is shown.
struct Figure {
    file: &'static str,
    label: &'static str,
    log: bool,
    of: fn(&Summary) -> f64,
}

const FIGURES: [Figure; 3] = [
    Figure { file: "p99", label: "p99 in ms", log: true, of: |row| row.p99.median },
    Figure {
        file: "headroom",
        label: "lowest headroom in %",
        log: false,
        of: |row| row.headroom.median * 100.0,
    },
    Figure {
        file: "lost",
        label: "lost requests in %",
        log: false,
        of: |row| row.lost.median * 100.0,
    },
];

/// Bars of a scenario and the gap after them.
const SLOT: f64 = Contender::ALL.len() as f64 + 2.0;

/// Draws each figure for each member: file names and SVG texts.
pub fn plots(report: &Report) -> Result<Vec<(String, String)>> {
    let mut plots = Vec::new();
    let summaries = report.summaries();
    for member in Member::ALL {
        let rows: Vec<&Summary> = summaries.iter().filter(|row| row.member == member).collect();
        if rows.is_empty() {
            continue;
        }
        for figure in &FIGURES {
            let svg = draw(member, figure, &rows).map_err(|error| PlotError(error.to_string()))?;
            plots.push((format!("{}-{}.svg", member.name(), figure.file), svg));
        }
    }
    Ok(plots)
}

type DrawResult<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn draw(member: Member, figure: &Figure, rows: &[&Summary]) -> DrawResult<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (1200, 480)).into_drawing_area();
        root.fill(&WHITE)?;
        let highest = rows.iter().map(|row| (figure.of)(row)).fold(1.0, f64::max) * 1.1;
        let scale = |value: f64| if figure.log { value.max(1.0).log10() } else { value };
        let width = SLOT * Scenario::ALL.len() as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{}: {}", member.name(), figure.label), ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..width, 0.0..scale(highest))?;
        let name = |at: &f64| {
            let scenario = Scenario::ALL.get((at / SLOT) as usize);
            scenario.map(|scenario| scenario.name().to_string()).unwrap_or_default()
        };
        let value = |at: &f64| {
            if figure.log { format!("{:.0}", 10_f64.powf(*at)) } else { format!("{at:.0}") }
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(Scenario::ALL.len())
            .x_label_formatter(&name)
            .y_label_formatter(&value)
            .draw()?;
        for (number, contender) in Contender::ALL.into_iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let bars = rows.iter().filter(|row| row.contender == contender).filter_map(|row| {
                let place = Scenario::ALL.iter().position(|&scenario| scenario == row.scenario)?;
                let left = place as f64 * SLOT + number as f64;
                let corners = [(left, 0.0), (left + 0.9, scale((figure.of)(row)))];
                Some(Rectangle::new(corners, color.filled()))
            });
            chart
                .draw_series(bars)?
                .label(contender.name())
                .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], color.filled()));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
    }
    Ok(svg)
}
