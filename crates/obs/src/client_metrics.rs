//! The metrics of what clients make a process hold; `docs/METRICS.md` is their catalogue.

use std::cell::Cell;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Meter;

use crate::CellReadings;

/// Number of reasons for which clients are refused.
pub(crate) const REFUSAL_REASONS: usize = 4;

/// Connections and memory of clients, and refusals, of which the process knows the sums.
pub(crate) struct ClientMetrics {
    connections: Gauge<u64>,
    held_bytes: Gauge<u64>,
    refusals: Counter<u64>,
    /// Refusals that are counted already, by reason.
    counted: Cell<[u64; REFUSAL_REASONS]>,
}

impl ClientMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            connections: gauge(
                "syc_cell_client_connections",
                "Open connections of clients and other nodes.",
            ),
            held_bytes: gauge(
                "syc_cell_client_held_bytes",
                "Memory that they hold of what they have in common.",
            ),
            refusals: meter
                .u64_counter("syc_cell_client_refusals")
                .with_description("Connections and requests that were refused, by reason.")
                .build(),
            counted: Cell::default(),
        }
    }

    pub(crate) fn set(&self, readings: &CellReadings) {
        let to_u64 = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        self.connections
            .record(to_u64(readings.client_connections), &[]);
        self.held_bytes
            .record(to_u64(readings.client_held_bytes), &[]);
        let sums = readings.client_refusals.map(|(_, sum)| sum);
        let before = self.counted.replace(sums);
        for ((reason, sum), before) in readings.client_refusals.into_iter().zip(before) {
            if reason.is_empty() {
                continue;
            }
            let labels = [KeyValue::new("reason", reason)];
            self.refusals.add(sum.saturating_sub(before), &labels);
        }
    }
}
