//! The measured points and fitted slopes, as tables or JSON.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::Serialize;

use crate::fit;
use crate::fit::Line;
use crate::point::Point;

/// One dimension's points and slopes.
#[derive(Debug, Serialize)]
pub struct Sweep {
    dimension: &'static str,
    unit: &'static str,
    points: Vec<(u32, Point)>,
    cpu_percent: Line,
    memory_bytes: Line,
    bytes_per_s: Line,
    appends_per_s: Line,
}

impl Sweep {
    /// Fits lines through the points of a dimension.
    pub fn new(dimension: &'static str, unit: &'static str, points: &[(u32, Point)]) -> Self {
        Self {
            dimension,
            unit,
            points: points.to_vec(),
            cpu_percent: fitted(points, |point| point.cpu_percent),
            memory_bytes: fitted(points, |point| point.memory_bytes),
            bytes_per_s: fitted(points, |point| point.bytes_per_s),
            appends_per_s: fitted(points, |point| point.appends_per_s),
        }
    }
}

fn fitted<F>(points: &[(u32, Point)], value: F) -> Line
where
    F: Fn(&Point) -> f64,
{
    let pairs: Vec<_> = points
        .iter()
        .map(|(x, point)| (f64::from(*x), value(point)))
        .collect();
    fit::line(&pairs)
}

/// Prints all sweeps.
pub fn print(sweeps: &[Sweep], json: bool) {
    if json {
        match serde_json::to_string_pretty(sweeps) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        }
        return;
    }
    for sweep in sweeps {
        print_points(sweep);
        print_slopes(sweep);
    }
}

fn print_points(sweep: &Sweep) {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header([
        sweep.dimension,
        "CPU % of a core",
        "memory MiB",
        "network B/s",
        "appends/s, all",
        "running",
    ]);
    for (value, point) in &sweep.points {
        table.add_row([
            value.to_string(),
            format!("{:.3}", point.cpu_percent),
            format!("{:.1}", point.memory_bytes / f64::from(1 << 20)),
            format!("{:.0}", point.bytes_per_s),
            format!("{:.2}", point.appends_per_s),
            point.running.to_string(),
        ]);
    }
    println!("{table}\n");
}

fn print_slopes(sweep: &Sweep) {
    let Sweep {
        unit,
        cpu_percent,
        memory_bytes,
        bytes_per_s,
        appends_per_s,
        ..
    } = sweep;
    println!(
        "Per {unit}, on each daemon: {:.5} % of a core, {:.1} KiB, {:.2} B/s; {:.4} appends/s of \
         all. At zero: {:.3} %, {:.1} MiB, {:.0} B/s, {:.2} appends/s.\n",
        cpu_percent.slope,
        memory_bytes.slope / 1024.0,
        bytes_per_s.slope,
        appends_per_s.slope,
        cpu_percent.base,
        memory_bytes.base / f64::from(1 << 20),
        bytes_per_s.base,
        appends_per_s.base,
    );
}
