//! Bar charts of a report, as SVG.

use std::{error::Error, fmt::Display};

use plotters::{coord::Shift, prelude::*};

use super::{BurnReport, IndicatorBurn, ServiceBurn};
use crate::{BurnError, Urgency};

/// Width of the picture in pixels.
const WIDTH: u32 = 900;
/// Height of one service's two bars in pixels.
const ROW_HEIGHT: u32 = 36;
/// Height in pixels of everything but the services' bars.
const FRAME_HEIGHT: u32 = 120;
/// Font family and size in pixels.
const LABEL_FONT: (&str, u32) = ("sans-serif", 15);
/// Highest burn shown; the fastest rule pages from 14.4.
const BURN_MAX: f64 = 20.0;

/// Draws the remaining budgets and the burn of services with traffic as SVG.
///
/// The first bar of a service is its availability, the second its latency. An
/// overspent budget is drawn as empty, and a burn above 20 as 20.
///
/// # Errors
///
/// Returns [`BurnError::Picture`] when the drawing library fails.
pub fn burn_picture(report: &BurnReport) -> Result<String, BurnError> {
    let mut svg = String::new();
    let drawn = draw(report, &mut svg);
    drawn.map_err(|error| BurnError::Picture {
        reason: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(report: &BurnReport, svg: &mut String) -> Result<(), Box<dyn Error>> {
    let has_traffic = |service: &&ServiceBurn| service.urgency > Urgency::NoTraffic;
    let services: Vec<_> = report.services.iter().filter(has_traffic).collect();
    let height = FRAME_HEIGHT + ROW_HEIGHT * services.len().max(1) as u32;
    let root = SVGBackend::with_string(svg, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(WIDTH / 2);
    let partial = if report.partial { " (PARTIAL)" } else { "" };
    let budget = Panel {
        title: format!("Budget left, %: blue availability, green latency{partial}"),
        max: 100.0,
        value: |indicator| indicator.budget_left.map(|left| left * 100.0),
    };
    draw_panel(&left, &services, &budget)?;
    let burn = Panel {
        title: format!("Burn over the slow window{partial}"),
        max: BURN_MAX,
        value: |indicator| indicator.rules.first().and_then(|rule| rule.slow_burn),
    };
    draw_panel(&right, &services, &burn)?;
    root.present()?;
    Ok(())
}

/// Chart with two bars per service, in one half of the picture.
struct Panel {
    title: String,
    /// Highest value of the axis; higher values are drawn at this length.
    max: f64,
    /// Returns the value that a bar shows, or `None` for no bar.
    value: fn(&IndicatorBurn) -> Option<f64>,
}

/// Draws a panel with caption, axes, service names and bars.
fn draw_panel<DB: DrawingBackend>(
    area: &DrawingArea<DB, Shift>,
    services: &[&ServiceBurn],
    panel: &Panel,
) -> Result<(), Box<dyn Error>>
where
    DB::ErrorType: 'static,
{
    let rows = services.len().max(1);
    let mut chart = ChartBuilder::on(area)
        .caption(&panel.title, LABEL_FONT)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..panel.max, (0..rows).into_segmented())?;
    let name = |row: &SegmentValue<usize>| match row {
        SegmentValue::CenterOf(row) => label(services.get(*row).map(|service| &service.service)),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows)
        .label_style(LABEL_FONT)
        .y_label_formatter(&name)
        .draw()?;
    let bar_specs = services.iter().enumerate().flat_map(|(row, service)| {
        [
            (row, 4, 20, &service.availability, BLUE),
            (row, 20, 4, &service.latency, GREEN),
        ]
    });
    let bars = bar_specs.filter_map(|(row, above, below, indicator, colour)| {
        let value = (panel.value)(indicator)?.clamp(0.0, panel.max);
        let corners = [
            (0.0, SegmentValue::Exact(row)),
            (value, SegmentValue::Exact(row + 1)),
        ];
        let mut bar = Rectangle::new(corners, colour.mix(0.7).filled());
        bar.set_margin(below, above, 0, 0);
        Some(bar)
    });
    chart.draw_series(bars)?;
    Ok(())
}

fn label(name: Option<&impl Display>) -> String {
    name.map_or_else(String::new, ToString::to_string)
}
