//! Bars of slots and demand by service and region, as SVG.

use plotters::{
    prelude::*,
    style::text_anchor::{HPos, Pos, VPos},
};

use super::RegionRow;

/// A plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot can't be drawn: {0}")]
pub struct PlotError(String);

/// Result of this module.
pub type Result<T> = std::result::Result<T, PlotError>;

/// Size of the plot in pixels; it grows with the number of rows.
const HEIGHT: u32 = 480;
const MIN_WIDTH: u32 = 640;
const WIDTH_PER_ROW: u32 = 110;

/// Size of the rows' names in pixels.
const NAME_SIZE: i32 = 12;

/// A figure of a row; `None` if it is unknown.
type Figure = (&'static str, fn(&RegionRow) -> Option<f64>);

const FIGURES: [Figure; 4] = [
    ("slots", |row| Some(row.slots)),
    ("busy", |row| row.busy),
    ("demand", |row| row.demand),
    ("forecast", |row| row.forecast),
];

/// Width of the bars of a row and the gap after them, in bars.
const ROW: f64 = FIGURES.len() as f64 + 1.0;

/// Draws the rows, with unknown figures left out.
pub fn plot(title: &str, rows: &[RegionRow]) -> Result<String> {
    draw(title, rows).map_err(|error| PlotError(error.to_string()))
}

type DrawResult<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn draw(title: &str, rows: &[RegionRow]) -> DrawResult<String> {
    let mut svg = String::new();
    {
        let width = MIN_WIDTH.max(WIDTH_PER_ROW * rows.len() as u32);
        let root = SVGBackend::with_string(&mut svg, (width, HEIGHT)).into_drawing_area();
        root.fill(&WHITE)?;
        let values = rows.iter().flat_map(|row| FIGURES.iter().filter_map(|(_, of)| of(row)));
        let highest = values.fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..ROW * rows.len().max(1) as f64, 0.0..highest)?;
        chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc("slots").draw()?;
        let centered = Pos::new(HPos::Center, VPos::Top);
        let style = ("sans-serif", NAME_SIZE).into_text_style(&root).pos(centered);
        chart.draw_series(rows.iter().enumerate().map(|(at, row)| {
            let name = format!("{} {}", row.service, row.region);
            let below_axis = (0, NAME_SIZE / 2);
            EmptyElement::at(((at as f64 + 0.5) * ROW, 0.0))
                + Text::new(name, below_axis, style.clone())
        }))?;
        for (number, (label, of)) in FIGURES.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let bars = rows.iter().enumerate().filter_map(|(at, row)| {
                let left = at as f64 * ROW + number as f64;
                Some(Rectangle::new([(left, 0.0), (left + 0.9, of(row)?)], color.filled()))
            });
            chart
                .draw_series(bars)?
                .label(*label)
                .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], color.filled()));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        root.present()?;
    }
    Ok(svg)
}
