//! The metrics of a node of a cell; `docs/METRICS.md` is their catalogue.

use std::cell::Cell;
use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use crate::client_metrics::CELL_CLIENTS;
use crate::client_metrics::ClientMetrics;
use crate::client_metrics::ClientReadings;
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
    /// What clients and other nodes make it hold.
    pub clients: ClientReadings,
    /// Whether it is the scheduler.
    pub leading: bool,
    /// Fencing token of the scheduler that it believes in.
    pub token: u64,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Time since there was evidence that this version is the newest one.
    pub configuration_age_ms: u64,
    /// Jobs that have not ended.
    pub open_jobs: usize,
    /// Tasks that wait for a start.
    pub waiting_tasks: u64,
    /// Runs that hold room.
    pub runs: usize,
    /// Workers that may get work.
    pub usable_workers: usize,
    /// Workers whose learned speed is about that of the median worker, or higher.
    pub normal_speed_workers: usize,
    /// Workers that are permanently slow.
    pub slow_workers: usize,
    /// Workers about whose speed too little is known.
    pub unknown_speed_workers: usize,
    /// Longest time for which a worker has been permanently slow.
    pub longest_slow_ms: u64,
    /// Workers that do not answer.
    pub silent_workers: usize,
    /// Tasks and gangs whose end is held while a later start of them may be carried out.
    pub held_ends: usize,
    /// Tasks with a start that got no answer and may still be carried out.
    pub late_start_tasks: usize,
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
    /// Nodes that relay calls to workers for this scheduler.
    pub carriers: usize,
    /// Workers that they relay for.
    pub relayed_workers: usize,
    /// Workers of the one that relays for most.
    pub most_relayed_workers: u64,
}

/// Largest number of workspaces whose use is shown.
const WORKSPACES_LIMIT: usize = 100;

/// Largest number of queues whose prediction errors are shown.
const QUEUES_LIMIT: usize = 100;

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

/// How a workspace uses its guaranteed rate.
#[derive(Debug, Clone, PartialEq)]
pub struct RateReading {
    /// Its name.
    pub name: String,
    /// Its guaranteed rate, in jobs a second.
    pub rate_per_s: f64,
    /// Jobs that it may send now before it is beyond its rate.
    pub burst_left_jobs: f64,
    /// Its waiting jobs that were submitted beyond its rate.
    pub excess_jobs: u64,
    /// Lower bound of the wait of its next job.
    pub predicted_wait_ms: u64,
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
    written_off_runs: Counter<u64>,
    listed_after_write_off: Counter<u64>,
    worker_lives_over: Counter<u64>,
    former_life_calls: Counter<u64>,
    shed_decisions: Counter<u64>,
    worker_calls: Counter<u64>,
    worker_connections: WorkerConnections,
    clients: ClientMetrics,
    workspace_cpu: Gauge<f64>,
    workspace_rates: WorkspaceRates,
    wait_errors: Histogram<f64>,
    duration_error: Gauge<f64>,
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
            written_off_runs: counter(
                &meter,
                "syc_cell_written_off_runs",
                "Runs taken as over without a report of their end, by reason.",
            ),
            listed_after_write_off: counter(
                &meter,
                "syc_cell_listed_after_write_off",
                "Runs that a worker listed after they had been taken as over, as running or ended.",
            ),
            worker_lives_over: counter(
                &meter,
                "syc_cell_worker_lives_over",
                "Sessions with a life of a worker that ended, by how it was found to be over.",
            ),
            former_life_calls: counter(
                &meter,
                "syc_cell_former_life_calls",
                "Calls that were meant for a life of a worker, and that its next one may have got.",
            ),
            shed_decisions: counter(
                &meter,
                "syc_cell_shed_decisions",
                "Submits that load shedding considered, by queue, decision and reason.",
            ),
            worker_calls: counter(
                &meter,
                "syc_cell_worker_calls",
                "Calls to workers, by way and result.",
            ),
            worker_connections: WorkerConnections::new(&meter),
            clients: ClientMetrics::new(&meter, CELL_CLIENTS),
            workspace_cpu: meter
                .f64_gauge("syc_cell_workspace_cpu_cores")
                .with_description("Processor time that workspaces have running, and their caps.")
                .build(),
            workspace_rates: WorkspaceRates::new(&meter),
            wait_errors: histogram(
                "syc_cell_wait_error",
                "Difference of predicted waits from those until the first start, by queue.",
            ),
            duration_error: meter
                .f64_gauge("syc_cell_duration_error_ratio")
                .with_description("Median error of the predicted run times, by queue.")
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

    /// Counts a run that was taken as over without a report of its end.
    pub fn written_off_run(&self, reason: &'static str) {
        let labels = [KeyValue::new("reason", reason)];
        self.written_off_runs.add(1, &labels);
    }

    /// Counts a run that a worker listed after it had been taken as over.
    pub fn listed_after_write_off(&self, is_running: bool) {
        let listed_as = if is_running { "running" } else { "ended" };
        let labels = [KeyValue::new("listed_as", listed_as)];
        self.listed_after_write_off.add(1, &labels);
    }

    /// Counts the end of the session with a life of a worker.
    pub fn worker_life_over(&self, how: &'static str) {
        self.worker_lives_over.add(1, &[KeyValue::new("how", how)]);
    }

    /// Counts calls to a life of a worker that is over, since its last answer to a renewal.
    pub fn former_life_calls(&self, how: &'static str, result: &'static str, calls: u32) {
        let labels = [KeyValue::new("how", how), KeyValue::new("result", result)];
        if calls > 0 {
            self.former_life_calls.add(u64::from(calls), &labels);
        }
    }

    /// Counts a submit of a job that would end too late for its caller. The queue is one of the configuration.
    pub fn shed_decision(&self, queue: &str, decision: &'static str, reason: &'static str) {
        let labels = [
            KeyValue::new("queue", queue.to_owned()),
            KeyValue::new("decision", decision),
            KeyValue::new("reason", reason),
        ];
        self.shed_decisions.add(1, &labels);
    }

    /// Counts a call to a worker: `direct`, `relayed` through another node, or `carried` for the scheduler.
    pub fn worker_call(&self, way: &'static str, accepted: bool) {
        let result = if accepted { "ok" } else { "failed" };
        let labels = [KeyValue::new("way", way), KeyValue::new("result", result)];
        self.worker_calls.add(1, &labels);
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

    /// Sets how workspaces use their rates. Only the first ones are shown.
    pub fn workspace_rates(&self, readings: &[RateReading]) {
        for reading in readings.iter().take(WORKSPACES_LIMIT) {
            self.workspace_rates.set(reading);
        }
    }

    /// Notes how far the wait of a job was from the predicted one.
    pub fn wait_error(&self, queue: &str, predicted_ms: u64, seen_ms: u64) {
        let direction = if predicted_ms > seen_ms {
            "shorter"
        } else {
            "longer"
        };
        let labels = [
            KeyValue::new("queue", queue.to_owned()),
            KeyValue::new("seen", direction),
        ];
        let error_ms = predicted_ms.abs_diff(seen_ms);
        self.wait_errors.record(to_seconds(error_ms), &labels);
    }

    /// Sets the median error of the predicted run times of queues, in thousandths. Only the first ones are shown.
    pub fn duration_errors(&self, errors: &[(String, u64)]) {
        for (queue, error_permille) in errors.iter().take(QUEUES_LIMIT) {
            let labels = [KeyValue::new("queue", queue.clone())];
            self.duration_error
                .record(from_thousandths(*error_permille), &labels);
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
        self.clients.set(&readings.clients);
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
    configuration_age: Gauge<f64>,
    jobs: Gauge<u64>,
    tasks: Gauge<u64>,
    workers: Gauge<u64>,
    carriers: Gauge<u64>,
    relayed_workers: Gauge<u64>,
    most_relayed_workers: Gauge<u64>,
    workers_by_speed: Gauge<u64>,
    longest_slow: Gauge<f64>,
    doubtful: Gauge<u64>,
    held_ends: Gauge<u64>,
    late_start_tasks: Gauge<u64>,
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
            late_start_tasks: gauge(
                "syc_cell_late_start_tasks",
                "Tasks with a start that got no answer and may still be carried out.",
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
            configuration_age: time(
                "syc_cell_configuration_age",
                "Time since there was evidence that this version is the newest one.",
            ),
            jobs: gauge("syc_cell_open_jobs", "Jobs that have not ended."),
            tasks: gauge(
                "syc_cell_tasks",
                "Tasks that wait, and runs that hold room.",
            ),
            workers: gauge("syc_cell_workers", "Workers by state."),
            carriers: gauge(
                "syc_cell_carriers",
                "Nodes that relay calls to workers for this scheduler.",
            ),
            relayed_workers: gauge(
                "syc_cell_relayed_workers",
                "Workers that other nodes relay calls for.",
            ),
            most_relayed_workers: gauge(
                "syc_cell_most_relayed_workers",
                "Workers of the node that relays for most.",
            ),
            workers_by_speed: gauge("syc_cell_workers_by_speed", "Workers by learned speed."),
            longest_slow: time(
                "syc_cell_longest_slow",
                "Longest time for which a worker has been permanently slow.",
            ),
        }
    }

    fn set(&self, readings: &CellReadings) {
        self.leading.record(u64::from(readings.leading), &[]);
        self.token.record(readings.token, &[]);
        self.configuration.record(readings.configuration, &[]);
        self.jobs.record(to_u64(readings.open_jobs), &[]);
        self.doubtful.record(to_u64(readings.doubtful_runs), &[]);
        self.held_ends.record(to_u64(readings.held_ends), &[]);
        self.late_start_tasks
            .record(to_u64(readings.late_start_tasks), &[]);
        self.carriers.record(to_u64(readings.carriers), &[]);
        self.relayed_workers
            .record(to_u64(readings.relayed_workers), &[]);
        self.most_relayed_workers
            .record(readings.most_relayed_workers, &[]);
        let times = [
            (&self.oldest_doubt, readings.oldest_doubt_ms),
            (&self.longest_silence, readings.longest_silence_ms),
            (&self.longest_lease, readings.longest_lease_ms),
            (&self.configuration_age, readings.configuration_age_ms),
            (&self.longest_slow, readings.longest_slow_ms),
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
        let by_speed = [
            ("unknown", readings.unknown_speed_workers),
            ("normal", readings.normal_speed_workers),
            ("slow", readings.slow_workers),
        ];
        for (class, count) in by_speed {
            let labels = [KeyValue::new("class", class)];
            self.workers_by_speed.record(to_u64(count), &labels);
        }
    }
}

/// Gauges of the guaranteed rates of workspaces.
struct WorkspaceRates {
    rate: Gauge<f64>,
    burst_left: Gauge<f64>,
    excess_jobs: Gauge<u64>,
    predicted_wait: Gauge<f64>,
}

impl WorkspaceRates {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            let built = meter.f64_gauge(name).with_description(text);
            built.build()
        };
        Self {
            rate: gauge(
                "syc_cell_workspace_rate_jobs_per_second",
                "Guaranteed rates of workspaces.",
            ),
            burst_left: gauge(
                "syc_cell_workspace_burst_left_jobs",
                "Jobs that workspaces may send before they are beyond their rates.",
            ),
            excess_jobs: meter
                .u64_gauge("syc_cell_workspace_excess_jobs")
                .with_description("Waiting jobs submitted beyond the rates of workspaces.")
                .build(),
            predicted_wait: gauge(
                "syc_cell_workspace_predicted_wait_seconds",
                "Lower bounds of the wait of the next jobs of workspaces.",
            ),
        }
    }

    fn set(&self, reading: &RateReading) {
        let labels = [KeyValue::new("workspace", reading.name.clone())];
        self.rate.record(reading.rate_per_s, &labels);
        self.burst_left.record(reading.burst_left_jobs, &labels);
        self.excess_jobs.record(reading.excess_jobs, &labels);
        let wait_s = to_seconds(reading.predicted_wait_ms);
        self.predicted_wait.record(wait_s, &labels);
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
