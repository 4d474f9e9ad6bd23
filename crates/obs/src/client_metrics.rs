//! The metrics of what clients make a process hold; `docs/METRICS.md` is their catalogue.

use std::cell::Cell;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

/// Number of reasons for which clients are refused.
const REFUSAL_REASONS: usize = 4;

/// What clients make a process hold at present, and how often they were refused so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientReadings {
    /// Open connections.
    pub connections: usize,
    /// Memory that they hold of what they have in common.
    pub held_bytes: usize,
    /// Refusals, by reason.
    pub refusals: [(&'static str, u64); REFUSAL_REASONS],
}

/// Names of the metrics of one program.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientMetricNames {
    connections: &'static str,
    held_bytes: &'static str,
    refusals: &'static str,
}

/// Names of the metrics of a node of a cell.
pub(crate) const CELL_CLIENTS: ClientMetricNames = ClientMetricNames {
    connections: "syc_cell_client_connections",
    held_bytes: "syc_cell_client_held_bytes",
    refusals: "syc_cell_client_refusals",
};

/// Names of the metrics of a daemon.
pub(crate) const DAEMON_CLIENTS: ClientMetricNames = ClientMetricNames {
    connections: "syc_client_connections",
    held_bytes: "syc_client_held_bytes",
    refusals: "syc_client_refusals",
};

/// Connections and memory of clients, and refusals, of which the process knows the sums.
pub(crate) struct ClientMetrics {
    connections: Gauge<u64>,
    held_bytes: Gauge<u64>,
    refusals: Counter<u64>,
    /// Refusals that are counted already, by reason.
    counted: Cell<[u64; REFUSAL_REASONS]>,
}

impl ClientMetrics {
    pub(crate) fn new(meter: &Meter, names: ClientMetricNames) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            connections: gauge(names.connections, "Open connections at all addresses."),
            held_bytes: gauge(
                names.held_bytes,
                "Memory that they hold of what they have in common.",
            ),
            refusals: meter
                .u64_counter(names.refusals)
                .with_description("Connections and requests that were refused, by reason.")
                .build(),
            counted: Cell::default(),
        }
    }

    pub(crate) fn set(&self, readings: &ClientReadings) {
        let to_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.connections.record(to_u64(readings.connections), &[]);
        self.held_bytes.record(to_u64(readings.held_bytes), &[]);
        let sums = readings.refusals.map(|(_, sum)| sum);
        let before = self.counted.replace(sums);
        for ((reason, sum), before) in readings.refusals.into_iter().zip(before) {
            let labels = [KeyValue::new("reason", reason)];
            self.refusals.add(sum.saturating_sub(before), &labels);
        }
    }
}
