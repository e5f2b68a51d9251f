//! SVG plots of latency distributions.

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

use crate::run_report::LatencySummary;
use crate::run_report::RunReport;

/// Width of a plot, in pixels.
const PLOT_WIDTH: u32 = 800;

/// Height of each panel, in pixels.
const PANEL_HEIGHT: u32 = 320;

/// Title of a panel and the distribution that it shows.
type Panel = (&'static str, fn(&RunReport) -> &LatencySummary);

const PANELS: [Panel; 3] = [
    ("Time to first token, ms", |report| &report.first_token),
    ("Time between tokens, ms", |report| &report.between_tokens),
    ("Total time, ms", |report| &report.total),
];

/// Plots the latency percentiles of one or more runs.
///
/// # Errors
///
/// Returns an error if the plotting library fails.
pub fn plot_reports(reports: &[RunReport]) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    {
        let height = PANEL_HEIGHT * PANELS.len() as u32;
        let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        for (panel, (title, summary)) in area.split_evenly((PANELS.len(), 1)).iter().zip(PANELS) {
            let max_value = reports
                .iter()
                .flat_map(|report| summary(report).percentiles.iter().copied())
                .fold(1.0, f64::max);
            let mut chart = ChartBuilder::on(panel)
                .caption(title, ("sans-serif", 18))
                .margin(10)
                .x_label_area_size(30)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..100.0, 0.0..max_value)
                .map_err(|error| error.to_string())?;
            chart
                .configure_mesh()
                .x_desc("percentile")
                .draw()
                .map_err(|error| error.to_string())?;
            for (index, report) in reports.iter().enumerate() {
                let colour = Palette99::pick(index).to_rgba();
                let points = summary(report).percentiles.iter().enumerate();
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
