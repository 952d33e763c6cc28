//! The load of each service over time, as SVG.

use plotters::prelude::*;

use super::{Figures, Report, ServiceFigures};

/// Size of the plot of one service, in pixels.
const PANEL: (u32, u32) = (1200, 300);

/// Room above the highest value.
const HEADROOM: f64 = 1.1;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot can't be drawn: {0}")]
pub struct PlotError(String);

/// Result of this module.
pub type Result<T> = std::result::Result<T, PlotError>;

type DrawResult<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// One line of a panel.
struct Series {
    color: RGBColor,
    label: &'static str,
    of: fn(&Figures) -> f64,
}

const SERIES: [Series; 3] = [
    Series { color: BLUE, label: "used slots", of: |figures| figures.used },
    Series { color: GREEN, label: "free slots", of: |figures| figures.free },
    Series { color: RED, label: "waiting requests", of: |figures| figures.waiting },
];

/// Draws used slots, free slots and waiting requests of each service over time.
pub fn draw(report: &Report) -> Result<String> {
    draw_panels(report).map_err(|error| PlotError(error.to_string()))
}

fn draw_panels(report: &Report) -> DrawResult<String> {
    let mut svg = String::new();
    {
        let count = report.services.len().max(1);
        let size = (PANEL.0, PANEL.1 * count as u32);
        let root = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        root.fill(&WHITE)?;
        let panels = root.split_evenly((count, 1));
        for (panel, (name, service)) in panels.iter().zip(&report.services) {
            draw_service(panel, name, service)?;
        }
        root.present()?;
    }
    Ok(svg)
}

fn draw_service(
    panel: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    name: &str,
    service: &ServiceFigures,
) -> DrawResult<()> {
    let first = service.windows.first().map_or(0.0, |window| window.start_s);
    let last = service.windows.last().map_or(0.0, |window| window.start_s);
    let values = service.windows.iter().flat_map(|window| {
        SERIES.iter().map(|series| (series.of)(&window.figures)).collect::<Vec<f64>>()
    });
    let highest = values.fold(1.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(panel)
        .caption(name, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(first..last.max(first + 1.0), 0.0..highest)?;
    chart.configure_mesh().disable_x_mesh().x_desc("s").draw()?;
    for series in &SERIES {
        let points = service.windows.iter();
        let points = points.map(|window| (window.start_s, (series.of)(&window.figures)));
        let color = series.color;
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(series.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}
