//! What a run came to, as tables or JSON.

use comfy_table::Table;
use comfy_table::presets::UTF8_BORDERS_ONLY;
use serde::Serialize;

/// What became of one workload.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Row {
    /// The workload.
    pub workload: &'static str,
    /// Pieces of work that were sent.
    pub count: u64,
    /// Pieces that got their whole answer.
    pub answered: u64,
    /// Pieces that were refused without being run.
    pub not_run: u64,
    /// Pieces of which nothing certain was said.
    pub unknown: u64,
    /// Pieces that were executed twice where they must not be.
    pub doubled: u64,
    /// Pieces that got no answer, or a wrong one.
    pub lost: u64,
    /// Median of the time that was not work, in microseconds.
    pub wait_p50_us: u64,
    /// 99th percentile of the time that was not work, in microseconds.
    pub wait_p99_us: u64,
}

impl Row {
    /// Makes an empty row.
    pub fn new(workload: &'static str) -> Self {
        Self {
            workload,
            ..Self::default()
        }
    }
}

/// What became of one deployment's workloads.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: &'static str,
    /// Its workloads.
    pub rows: Vec<Row>,
    /// Share of all processor time that tasks were granted.
    pub cpu_granted_share: f64,
    /// Appends to the log per second.
    pub appends_per_second: f64,
    /// Starts that would have given a worker more than it has.
    pub over_given: u64,
    /// Requests that reached an endpoint without a free slot.
    pub slot_overruns: u64,
}

impl Report {
    /// Says whether nothing was lost, doubled or over-given.
    pub fn sound(&self) -> bool {
        let broken = self.rows.iter().any(|row| row.lost > 0 || row.doubled > 0);
        !broken && self.over_given == 0
    }
}

/// Prints the reports as one JSON document.
pub fn print_json(reports: &[Report]) {
    match serde_json::to_string_pretty(reports) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// Prints the reports as tables.
pub fn print_tables(reports: &[Report]) {
    for report in reports {
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header([
            "workload", "count", "answered", "not run", "unknown", "doubled", "lost", "wait p50",
            "wait p99",
        ]);
        for row in &report.rows {
            table.add_row([
                row.workload.to_owned(),
                row.count.to_string(),
                row.answered.to_string(),
                row.not_run.to_string(),
                row.unknown.to_string(),
                row.doubled.to_string(),
                row.lost.to_string(),
                millis(row.wait_p50_us),
                millis(row.wait_p99_us),
            ]);
        }
        println!("{}", report.deployment);
        println!("{table}");
        println!(
            "packing: {:.1}% of all cores granted; log: {:.1} appends/s; over-given: {}; \
             slot overruns: {}\n",
            report.cpu_granted_share * 100.0,
            report.appends_per_second,
            report.over_given,
            report.slot_overruns,
        );
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "waits are far below the precision of a float"
)]
fn millis(micros: u64) -> String {
    format!("{:.2} ms", micros as f64 / 1_000.0)
}
