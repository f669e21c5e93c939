//! Table, JSON and plots of the experiment.

use std::{fs, path::Path};

use plotters::prelude::*;
use snafu::ResultExt;

use super::ScalePoint;
use crate::{RigError, rig_error::FileSnafu};

const PLOT_SIZE: (u32, u32) = (800, 480);
const TEXT: (&str, u32) = ("sans-serif", 18);

/// One column of the table.
struct Column {
    title: &'static str,
    value: fn(&ScalePoint) -> f64,
}

const COLUMNS: [Column; 22] = [
    Column {
        title: "nodes",
        value: |point| point.nodes as f64,
    },
    Column {
        title: "joined ms",
        value: |point| point.joined_ms as f64,
    },
    Column {
        title: "idle B/s",
        value: |point| point.idle_bytes_per_s,
    },
    Column {
        title: "idle B/s max",
        value: |point| point.idle_bytes_per_s_max,
    },
    Column {
        title: "idle msg/s",
        value: |point| point.idle_messages_per_s,
    },
    Column {
        title: "idle cpu %",
        value: |point| point.idle_cpu_percent,
    },
    Column {
        title: "cpu % max",
        value: |point| point.idle_cpu_percent_max,
    },
    Column {
        title: "platform calls/s",
        value: |point| point.idle_platform_calls_per_s,
    },
    Column {
        title: "watches",
        value: |point| point.waiting_watches as f64,
    },
    Column {
        title: "change p50 ms",
        value: |point| point.change_p50_ms as f64,
    },
    Column {
        title: "p99 ms",
        value: |point| point.change_p99_ms as f64,
    },
    Column {
        title: "max ms",
        value: |point| point.change_max_ms as f64,
    },
    Column {
        title: "change B",
        value: |point| point.change_bytes,
    },
    Column {
        title: "change cpu ms",
        value: |point| point.change_cpu_ms,
    },
    Column {
        title: "change calls",
        value: |point| point.change_platform_calls,
    },
    Column {
        title: "watcher killed ms",
        value: |point| point.watcher_killed_max_ms as f64,
    },
    Column {
        title: "after outage ms",
        value: |point| point.after_outage_max_ms as f64,
    },
    Column {
        title: "restart B",
        value: |point| point.restart_bytes,
    },
    Column {
        title: "restart calls",
        value: |point| point.restart_platform_calls,
    },
    Column {
        title: "memory MiB",
        value: |point| point.memory_mib,
    },
    Column {
        title: "memory max",
        value: |point| point.memory_mib_max,
    },
    Column {
        title: "threads",
        value: |point| point.threads,
    },
];

const NAIVE_COLUMNS: [Column; 5] = [
    Column {
        title: "nodes",
        value: |point| point.nodes as f64,
    },
    Column {
        title: "B/s",
        value: |point| point.naive.bytes_per_s,
    },
    Column {
        title: "platform calls/s",
        value: |point| point.naive.platform_calls_per_s,
    },
    Column {
        title: "change p99 ms",
        value: |point| point.naive.change_p99_ms as f64,
    },
    Column {
        title: "max ms",
        value: |point| point.naive.change_max_ms as f64,
    },
];

/// Formats one point as a row of the table.
pub(super) fn row(point: &ScalePoint) -> String {
    cells(&COLUMNS, point)
}

fn cells(columns: &[Column], point: &ScalePoint) -> String {
    let cell = |column: &Column| {
        let value = (column.value)(point);
        let text = if value.fract() == 0.0 {
            format!("{value}")
        } else {
            format!("{value:.2}")
        };
        format!(" {text} |")
    };
    let cells: String = columns.iter().map(cell).collect();
    format!("|{cells}")
}

fn table(columns: &[Column], points: &[ScalePoint]) -> String {
    let titles: Vec<&str> = columns.iter().map(|column| column.title).collect();
    let titles = titles.join(" | ");
    let rule = " --: |".repeat(columns.len());
    let rows: Vec<String> = points.iter().map(|point| cells(columns, point)).collect();
    format!("| {titles} |\n|{rule}\n{}\n", rows.join("\n"))
}

/// Writes the report into a directory.
pub(super) fn write(out: &Path, points: &[ScalePoint]) -> Result<(), RigError> {
    fs::create_dir_all(out).context(FileSnafu { path: out })?;
    let text = format!(
        "geraniumspring:\n\n{}\nnaive, every node reads all of it every second:\n\n{}",
        table(&COLUMNS, points),
        table(&NAIVE_COLUMNS, points)
    );
    let json = serde_json::to_vec_pretty(points).expect("figures serialize");
    for (name, content) in [("scale.md", text.as_bytes()), ("scale.json", &json)] {
        let path = out.join(name);
        fs::write(&path, content).context(FileSnafu { path })?;
    }
    println!("{text}");
    plot(
        &out.join("convergence.svg"),
        "change in force, ms",
        points,
        &CONVERGENCE,
    );
    plot(
        &out.join("control-bytes.svg"),
        "idle control bytes per node and second",
        points,
        &BYTES,
    );
    plot(
        &out.join("platform-calls.svg"),
        "platform calls per second",
        points,
        &CALLS,
    );
    Ok(())
}

/// One line of a plot.
struct Line {
    name: &'static str,
    colour: RGBColor,
    value: fn(&ScalePoint) -> f64,
}

const CONVERGENCE: [Line; 3] = [
    Line {
        name: "p50",
        colour: GREEN,
        value: |point| point.change_p50_ms as f64,
    },
    Line {
        name: "max",
        colour: BLUE,
        value: |point| point.change_max_ms as f64,
    },
    Line {
        name: "naive max",
        colour: RED,
        value: |point| point.naive.change_max_ms as f64,
    },
];
const BYTES: [Line; 2] = [
    Line {
        name: "mean",
        colour: GREEN,
        value: |point| point.idle_bytes_per_s,
    },
    Line {
        name: "largest",
        colour: BLUE,
        value: |point| point.idle_bytes_per_s_max,
    },
];
const CALLS: [Line; 2] = [
    Line {
        name: "fleet",
        colour: BLUE,
        value: |point| point.idle_platform_calls_per_s,
    },
    Line {
        name: "naive",
        colour: RED,
        value: |point| point.naive.platform_calls_per_s,
    },
];

/// Draws lines over the fleet's size; a plot that can't be drawn is reported
/// and left out, since the table holds the same figures.
fn plot(path: &Path, title: &str, points: &[ScalePoint], lines: &[Line]) {
    if let Err(error) = draw(path, title, points, lines) {
        eprintln!("geranium-rig: plot {}: {error}", path.display());
    }
}

fn draw(
    path: &Path,
    title: &str,
    points: &[ScalePoint],
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let most = |value: fn(&ScalePoint) -> f64| points.iter().map(value).fold(0.0, f64::max);
    let top = lines
        .iter()
        .map(|line| most(line.value))
        .fold(1.0, f64::max)
        * 1.1;
    let right = most(|point| point.nodes as f64) * 1.05;
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, TEXT)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc("nodes").draw()?;
    for line in lines {
        let dots: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (point.nodes as f64, (line.value)(point)))
            .collect();
        let colour = line.colour;
        chart
            .draw_series(LineSeries::new(dots.clone(), &colour))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        chart.draw_series(dots.iter().map(|dot| Circle::new(*dot, 3, colour.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
