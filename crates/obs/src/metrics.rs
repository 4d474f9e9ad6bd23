//! The metrics of one daemon; `docs/METRICS.md` is their catalogue.
//!
//! They are kept with opentelemetry and scraped in the Prometheus text form.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use syc_types::Class;
use syc_types::Resources;

use crate::client_metrics::ClientMetrics;
use crate::client_metrics::ClientReadings;
use crate::client_metrics::DAEMON_CLIENTS;
use crate::events;
use crate::exporter::Exporter;

/// Bounds of the buckets of waiting times, in seconds; 1.1 is the target of urgent work.
const WAITING_BOUNDS_S: [f64; 17] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.1, 2.5, 5.0, 10.0, 60.0, 600.0,
    3_600.0,
];

/// Milliseconds of a second.
const MS_PER_S: f64 = 1_000.0;

/// What a daemon reads off its own state when it is scraped.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Readings {
    /// What clients and other daemons make it hold.
    pub clients: ClientReadings,
    /// Number of its view.
    pub epoch: u64,
    /// Members of its view.
    pub members: u64,
    /// Whether it may act as owner and home.
    pub acting: bool,
    /// Whether it has read the log to its end once.
    pub caught_up: bool,
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Requests in progress.
    pub requests_in_progress: u64,
    /// Requests that wait for an endpoint.
    pub requests_waiting: u64,
    /// Open jobs of the teams that it is the home of.
    pub open_jobs: u64,
    /// Tasks of these jobs that wait for a worker.
    pub tasks_waiting: u64,
    /// Tasks of these jobs that run.
    pub tasks_running: u64,
    /// What its workers have together.
    pub capacity: Resources,
    /// What they have granted together.
    pub granted: Resources,
    /// Entries of the log that it has still to read.
    pub log_lag_entries: u64,
    /// Appends tried.
    pub log_appends: u64,
    /// Bytes exchanged with other daemons.
    pub peer_bytes: u64,
    /// Bytes exchanged with workers.
    pub worker_bytes: u64,
    /// Bytes exchanged with the log.
    pub log_bytes: u64,
}

/// The metrics of one daemon.
pub struct Metrics {
    exporter: Exporter,
    waiting: Waiting,
    state: State,
    totals: Totals,
    clients: ClientMetrics,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Registers every metric.
    #[must_use]
    pub fn new() -> Self {
        let (exporter, meter) = Exporter::new();
        Self {
            exporter,
            waiting: Waiting::new(&meter),
            state: State::new(&meter),
            totals: Totals::new(&meter),
            clients: ClientMetrics::new(&meter, DAEMON_CLIENTS),
        }
    }

    /// Notes how long a request waited for an endpoint.
    pub fn request_waited(&self, class: Class, waited_ms: u64) {
        let seconds = to_f64(waited_ms) / MS_PER_S;
        self.waiting.request.record(seconds, &[class_label(class)]);
    }

    /// Notes how long a task waited from the acceptance of its job to its start.
    pub fn task_waited(&self, class: Class, waited_ms: u64) {
        let seconds = to_f64(waited_ms) / MS_PER_S;
        self.waiting.task.record(seconds, &[class_label(class)]);
    }

    /// Returns the page to scrape, with the readings taken now.
    #[must_use]
    pub fn page(&self, readings: &Readings) -> String {
        self.state.set(readings);
        self.totals.set(readings);
        self.clients.set(&readings.clients);
        self.exporter.page()
    }
}

struct Waiting {
    request: Histogram<f64>,
    task: Histogram<f64>,
}

impl Waiting {
    fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, text: &'static str| {
            let bounds = WAITING_BOUNDS_S.to_vec();
            let built = meter.f64_histogram(name).with_unit("s");
            built.with_description(text).with_boundaries(bounds).build()
        };
        Self {
            request: histogram(
                "syc_request_waiting_time",
                "Time that a request waited for an endpoint, by class.",
            ),
            task: histogram(
                "syc_task_waiting_time",
                "Time from the acceptance of a job to the start of a task, by class.",
            ),
        }
    }
}

struct State {
    epoch: Gauge<u64>,
    members: Gauge<u64>,
    condition: Gauge<u64>,
    requests: Gauge<u64>,
    jobs: Gauge<u64>,
    tasks: Gauge<u64>,
    granted: Gauge<f64>,
    log_lag: Gauge<u64>,
}

impl State {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            epoch: gauge("syc_epoch", "Number of the view in force here."),
            members: gauge("syc_members", "Members of the view in force here."),
            condition: gauge(
                "syc_condition",
                "1 where the daemon is acting, caught_up or draining.",
            ),
            requests: gauge("syc_requests", "Requests in progress, and those that wait."),
            jobs: gauge(
                "syc_open_jobs",
                "Open jobs that this daemon is the home of.",
            ),
            tasks: gauge("syc_tasks", "Tasks of these jobs, by state."),
            granted: meter
                .f64_gauge("syc_granted_ratio")
                .with_description("Share of the owned workers that is granted, by resource.")
                .build(),
            log_lag: gauge(
                "syc_log_lag_entries",
                "Entries of the log still to be read.",
            ),
        }
    }

    fn set(&self, readings: &Readings) {
        self.epoch.record(readings.epoch, &[]);
        self.members.record(readings.members, &[]);
        let conditions = [
            ("acting", readings.acting),
            ("caught_up", readings.caught_up),
            ("draining", readings.draining),
        ];
        for (name, holds) in conditions {
            let label = KeyValue::new("condition", name);
            self.condition.record(u64::from(holds), &[label]);
        }
        let in_progress = KeyValue::new("state", "in_progress");
        self.requests
            .record(readings.requests_in_progress, &[in_progress]);
        let waiting = KeyValue::new("state", "waiting");
        self.requests
            .record(readings.requests_waiting, std::slice::from_ref(&waiting));
        self.jobs.record(readings.open_jobs, &[]);
        self.tasks.record(readings.tasks_waiting, &[waiting]);
        let running = KeyValue::new("state", "running");
        self.tasks.record(readings.tasks_running, &[running]);
        self.set_granted(&readings.granted, &readings.capacity);
        self.log_lag.record(readings.log_lag_entries, &[]);
    }

    fn set_granted(&self, granted: &Resources, capacity: &Resources) {
        let shares = [
            ("cpu", granted.cpu_millis, capacity.cpu_millis),
            ("memory", granted.memory_bytes, capacity.memory_bytes),
            (
                "accelerators",
                u64::from(granted.accelerators),
                u64::from(capacity.accelerators),
            ),
        ];
        for (resource, granted, capacity) in shares {
            let share = to_f64(granted) / to_f64(capacity.max(1));
            let label = KeyValue::new("resource", resource);
            self.granted.record(share, &[label]);
        }
    }
}

struct Totals {
    bytes: Counter<u64>,
    appends: Counter<u64>,
    events: Counter<u64>,
    last: Cell<Readings>,
    last_events: RefCell<Vec<u64>>,
}

impl Totals {
    fn new(meter: &Meter) -> Self {
        Self {
            bytes: meter
                .u64_counter("syc_control_transferred")
                .with_unit("By")
                .with_description("Bytes exchanged with other daemons, workers and the log.")
                .build(),
            appends: meter
                .u64_counter("syc_log_appends")
                .with_description("Appends to the log that were tried.")
                .build(),
            events: meter
                .u64_counter("syc_events")
                .with_description("Log events of this process, by code and level.")
                .build(),
            last: Cell::default(),
            last_events: RefCell::new(vec![0; events::ALL.len()]),
        }
    }

    fn set(&self, readings: &Readings) {
        let last = self.last.replace(*readings);
        let bytes = [
            ("peers", readings.peer_bytes, last.peer_bytes),
            ("workers", readings.worker_bytes, last.worker_bytes),
            ("log", readings.log_bytes, last.log_bytes),
        ];
        for (to, now, before) in bytes {
            let label = KeyValue::new("to", to);
            self.bytes.add(now.saturating_sub(before), &[label]);
        }
        let appends = readings.log_appends.saturating_sub(last.log_appends);
        self.appends.add(appends, &[]);
        self.set_events();
    }

    fn set_events(&self) {
        let mut last = self.last_events.borrow_mut();
        for (index, event) in events::ALL.iter().enumerate() {
            let now = events::count(index);
            let more = now.saturating_sub(last[index]);
            last[index] = now;
            let labels = [
                KeyValue::new("code", format!("SYC{:04}", event.code)),
                KeyValue::new("level", event.level.as_str()),
            ];
            self.events.add(more, &labels);
        }
    }
}

fn class_label(class: Class) -> KeyValue {
    let name = match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Patient => "patient",
    };
    KeyValue::new("class", name)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "metrics need no more than 52 bits of a number"
)]
fn to_f64(value: u64) -> f64 {
    value as f64
}
