//! Distributions as SVG.

use std::error::Error;

use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::WHITE;

use crate::run_report::RunReport;
use crate::run_report::TimeSummary;

/// Size of a plot in pixels: its width and the height of each part.
const WIDTH: u32 = 800;
const PART_HEIGHT: u32 = 320;

/// A distribution of a report, with its title.
type PlotPart = (&'static str, fn(&RunReport) -> &TimeSummary);

const PARTS: [PlotPart; 3] = [
    ("Time to first token, ms", |report| &report.first_token),
    ("Time between tokens, ms", |report| &report.between_tokens),
    ("Total time, ms", |report| &report.total),
];

/// Draws the percentiles of one or more runs.
///
/// # Errors
///
/// Fails where the drawing library does.
pub fn plot_reports(reports: &[RunReport]) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    {
        let height = PART_HEIGHT * PARTS.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        for (part, (title, times)) in area.split_evenly((PARTS.len(), 1)).iter().zip(PARTS) {
            let most = reports
                .iter()
                .flat_map(|report| times(report).percentiles.iter().copied())
                .fold(1.0, f64::max);
            let mut chart = ChartBuilder::on(part)
                .caption(title, ("sans-serif", 18))
                .margin(10)
                .x_label_area_size(30)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..100.0, 0.0..most)
                .map_err(|error| error.to_string())?;
            chart
                .configure_mesh()
                .x_desc("percentile")
                .draw()
                .map_err(|error| error.to_string())?;
            for (index, report) in reports.iter().enumerate() {
                let colour = Palette99::pick(index).to_rgba();
                let points = times(report).percentiles.iter().enumerate();
                let line = points.map(|(percent, &value)| (percent as f64, value));
                chart
                    .draw_series(LineSeries::new(line, colour))
                    .map_err(|error| error.to_string())?
                    .label(&report.label)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK)
                .draw()
                .map_err(|error| error.to_string())?;
        }
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}
