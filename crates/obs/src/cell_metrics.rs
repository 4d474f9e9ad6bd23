//! The metrics of a node of a cell; `docs/METRICS.md` is their catalogue.

use std::cell::Cell;
use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::exporter::Exporter;

/// Bounds of the buckets of waiting times, in seconds.
const WAITING_BOUNDS_S: [f64; 14] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 60.0,
];

/// A stage of a job's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// From the arrival of the submit to its answer.
    Accept,
    /// From its arrival until the scheduler has seen it.
    HandOver,
    /// A call for advice.
    Advice,
    /// From the moment when its step could start to the order of a task's first run.
    Room,
    /// From a start order to the worker's answer.
    Order,
    /// From the decision to start it, or its adoption, to the end of a run.
    Run,
    /// Writing its end, after which it is shown.
    Write,
    /// From its arrival to its end.
    Whole,
}

impl Stage {
    /// Returns its name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::HandOver => "hand_over",
            Self::Advice => "advice",
            Self::Room => "room",
            Self::Order => "order",
            Self::Run => "run",
            Self::Write => "write",
            Self::Whole => "whole",
        }
    }
}

/// What a node reads off its own state when it is scraped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CellReadings {
    /// Whether it is the scheduler.
    pub leading: bool,
    /// Fencing token of the scheduler that it believes in.
    pub token: u64,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Tasks that wait for a start.
    pub waiting_tasks: u64,
    /// Runs that hold room.
    pub runs: usize,
    /// Workers that may get work.
    pub usable_workers: usize,
    /// Workers that do not answer.
    pub silent_workers: usize,
    /// Tasks and gangs whose end is held while a later start of them may be carried out.
    pub held_ends: usize,
    /// Runs whose latest order has no answer yet.
    pub doubtful_runs: usize,
    /// Time for which the oldest of these has been in doubt.
    pub oldest_doubt_ms: u64,
    /// Time for which the worker that has been silent longest has not answered.
    pub longest_silence_ms: u64,
    /// Time until the last lease on a silent worker has surely lapsed.
    pub longest_lease_ms: u64,
    /// Connections to workers that this node has opened.
    pub worker_connections_opened: u64,
    /// Connections to workers that it did not open, as too many were opened lately.
    pub worker_connections_withheld: u64,
}

/// Largest number of workspaces whose use is shown.
const WORKSPACES_LIMIT: usize = 100;

/// What a workspace has running, in thousandths of a core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceReading {
    /// Its name.
    pub name: String,
    /// Processor time that its runs requested.
    pub running_cpu_millis: u64,
    /// Its cap on that, if there is one.
    pub cap_cpu_millis: Option<u64>,
}

/// The metrics of one node of a cell.
pub struct CellMetrics {
    exporter: Exporter,
    requests: Counter<u64>,
    stages: Histogram<f64>,
    store_calls: Counter<u64>,
    store_times: Histogram<f64>,
    unreadable: Counter<u64>,
    missing_runs: Counter<u64>,
    stops: Counter<u64>,
    worker_connections: WorkerConnections,
    workspace_cpu: Gauge<f64>,
    gauges: Gauges,
}

impl fmt::Debug for CellMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CellMetrics").finish_non_exhaustive()
    }
}

impl Default for CellMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl CellMetrics {
    /// Registers every metric.
    #[must_use]
    pub fn new() -> Self {
        let (exporter, meter) = Exporter::new();
        let histogram = |name: &'static str, text: &'static str| {
            let built = meter.f64_histogram(name).with_unit("s");
            let bounds = WAITING_BOUNDS_S.to_vec();
            built.with_description(text).with_boundaries(bounds).build()
        };
        Self {
            requests: counter(&meter, "syc_cell_requests", "Callers' requests by outcome."),
            stages: histogram(
                "syc_cell_stage_time",
                "Time that a job spent in a stage of its wait, by queue.",
            ),
            store_calls: counter(
                &meter,
                "syc_cell_store_calls",
                "Calls to the store, by kind and result.",
            ),
            store_times: histogram(
                "syc_cell_store_time",
                "Time of calls to the store, by kind.",
            ),
            unreadable: counter(
                &meter,
                "syc_cell_unreadable",
                "What others wrote and can't be read, by source.",
            ),
            missing_runs: counter(
                &meter,
                "syc_cell_missing_runs",
                "Runs treated as ended because no worker held them.",
            ),
            stops: counter(
                &meter,
                "syc_cell_stops",
                "Orders to stop a run, by reason and by priority of the unit that room is made for.",
            ),
            worker_connections: WorkerConnections::new(&meter),
            workspace_cpu: meter
                .f64_gauge("syc_cell_workspace_cpu_cores")
                .with_description("Processor time that workspaces have running, and their caps.")
                .build(),
            gauges: Gauges::new(&meter),
            exporter,
        }
    }

    /// Counts a caller's request.
    pub fn request(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Notes how long a job of a queue spent in a stage.
    pub fn stage(&self, queue: &str, stage: Stage, time_ms: u64) {
        let labels = [
            KeyValue::new("queue", queue.to_owned()),
            KeyValue::new("stage", stage.as_str()),
        ];
        self.stages.record(to_seconds(time_ms), &labels);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, kind: &'static str, result: &'static str, time_ms: u64) {
        let kind = KeyValue::new("kind", kind);
        let labels = [kind.clone(), KeyValue::new("result", result)];
        self.store_calls.add(1, &labels);
        self.store_times.record(to_seconds(time_ms), &[kind]);
    }

    /// Counts what another wrote and can't be read.
    pub fn unreadable(&self, source: &'static str, parts: u64) {
        self.unreadable
            .add(parts, &[KeyValue::new("source", source)]);
    }

    /// Counts a run that no worker held.
    pub fn missing_run(&self, found: &'static str) {
        self.missing_runs.add(1, &[KeyValue::new("found", found)]);
    }

    /// Counts an order to stop a run. A preemption makes room for a unit of a priority, of which few exist.
    pub fn stop(&self, reason: &'static str, for_priority: Option<u32>) {
        let priority = for_priority.map_or_else(|| "none".to_owned(), |number| number.to_string());
        let labels = [
            KeyValue::new("reason", reason),
            KeyValue::new("for_priority", priority),
        ];
        self.stops.add(1, &labels);
    }

    /// Sets the use of workspaces. Only the first ones are shown.
    pub fn workspaces(&self, readings: &[WorkspaceReading]) {
        for reading in readings.iter().take(WORKSPACES_LIMIT) {
            self.workspace_cores(&reading.name, "running", reading.running_cpu_millis);
            if let Some(cap) = reading.cap_cpu_millis {
                self.workspace_cores(&reading.name, "cap", cap);
            }
        }
    }

    fn workspace_cores(&self, workspace: &str, kind: &'static str, cpu_millis: u64) {
        let labels = [
            KeyValue::new("workspace", workspace.to_owned()),
            KeyValue::new("kind", kind),
        ];
        self.workspace_cpu
            .record(from_thousandths(cpu_millis), &labels);
    }

    /// Returns the page to scrape, with the readings taken now.
    #[must_use]
    pub fn page(&self, readings: &CellReadings) -> String {
        self.gauges.set(readings);
        self.worker_connections.set(readings);
        self.exporter.page()
    }
}

/// Connections to workers, of which the node knows the sums.
struct WorkerConnections {
    counter: Counter<u64>,
    /// Sums that are counted already: of those opened, and of those withheld.
    counted: Cell<(u64, u64)>,
}

impl WorkerConnections {
    fn new(meter: &Meter) -> Self {
        Self {
            counter: counter(
                meter,
                "syc_cell_worker_connections",
                "Connections to workers that were opened, or withheld.",
            ),
            counted: Cell::new((0, 0)),
        }
    }

    fn set(&self, readings: &CellReadings) {
        let opened = readings.worker_connections_opened;
        let withheld = readings.worker_connections_withheld;
        let before = self.counted.replace((opened, withheld));
        self.add("opened", opened.saturating_sub(before.0));
        self.add("withheld", withheld.saturating_sub(before.1));
    }

    fn add(&self, result: &'static str, count: u64) {
        self.counter.add(count, &[KeyValue::new("result", result)]);
    }
}

struct Gauges {
    leading: Gauge<u64>,
    token: Gauge<u64>,
    configuration: Gauge<u64>,
    jobs: Gauge<u64>,
    tasks: Gauge<u64>,
    workers: Gauge<u64>,
    doubtful: Gauge<u64>,
    held_ends: Gauge<u64>,
    oldest_doubt: Gauge<f64>,
    longest_silence: Gauge<f64>,
    longest_lease: Gauge<f64>,
}

impl Gauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let time = |name: &'static str, text: &'static str| {
            let built = meter.f64_gauge(name).with_unit("s");
            built.with_description(text).build()
        };
        Self {
            doubtful: gauge(
                "syc_cell_doubtful_runs",
                "Runs whose latest order has no answer yet.",
            ),
            held_ends: gauge(
                "syc_cell_held_ends",
                "Ends that are not shown while a later start may be carried out.",
            ),
            oldest_doubt: time(
                "syc_cell_oldest_doubt",
                "Time for which the oldest run has been in doubt.",
            ),
            longest_silence: time(
                "syc_cell_longest_silence",
                "Time for which the worker that has been silent longest has not answered.",
            ),
            longest_lease: time(
                "syc_cell_longest_lease",
                "Time until the last lease on a silent worker has surely lapsed.",
            ),
            leading: gauge("syc_cell_leading", "1 where this node is the scheduler."),
            token: gauge(
                "syc_cell_fencing_token",
                "Fencing token of the scheduler that this node believes in.",
            ),
            configuration: gauge(
                "syc_cell_configuration_version",
                "Version of the configuration in force here.",
            ),
            jobs: gauge("syc_cell_open_jobs", "Jobs that have not ended."),
            tasks: gauge(
                "syc_cell_tasks",
                "Tasks that wait, and runs that hold room.",
            ),
            workers: gauge("syc_cell_workers", "Workers by state."),
        }
    }

    fn set(&self, readings: &CellReadings) {
        self.leading.record(u64::from(readings.leading), &[]);
        self.token.record(readings.token, &[]);
        self.configuration.record(readings.configuration, &[]);
        self.jobs.record(to_u64(readings.open_jobs), &[]);
        self.doubtful.record(to_u64(readings.doubtful_runs), &[]);
        self.held_ends.record(to_u64(readings.held_ends), &[]);
        let times = [
            (&self.oldest_doubt, readings.oldest_doubt_ms),
            (&self.longest_silence, readings.longest_silence_ms),
            (&self.longest_lease, readings.longest_lease_ms),
        ];
        for (gauge, time_ms) in times {
            gauge.record(to_seconds(time_ms), &[]);
        }
        let tasks = [
            ("waiting", readings.waiting_tasks),
            ("running", to_u64(readings.runs)),
        ];
        for (state, count) in tasks {
            self.tasks.record(count, &[KeyValue::new("state", state)]);
        }
        let workers = [
            ("usable", to_u64(readings.usable_workers)),
            ("silent", to_u64(readings.silent_workers)),
        ];
        for (state, count) in workers {
            self.workers.record(count, &[KeyValue::new("state", state)]);
        }
    }
}

fn counter(meter: &Meter, name: &'static str, text: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(text).build()
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

fn to_seconds(time_ms: u64) -> f64 {
    from_thousandths(time_ms)
}

/// Converts an amount in thousandths.
fn from_thousandths(amount_millis: u64) -> f64 {
    let amount_millis = u32::try_from(amount_millis).unwrap_or(u32::MAX);
    f64::from(amount_millis) / 1_000.0
}
