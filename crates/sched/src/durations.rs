//! How long runs take compared with their declared estimates, by queue and position of the step.
//!
//! The ratio of actual to estimated run time at the median worker's speed is kept in a histogram. Its median is not
//! moved by a few long runs; the 90th percentile says how far the estimates of single jobs are off.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use smol_str::SmolStr;
use syc_types::Millis;

use crate::speed::to_f64;

/// Time after which a run counts half.
const HALF_LIFE_MS: u64 = 30_000;

/// Maximum number of halvings that are carried out. After more, nothing is left.
const HALVINGS_LIMIT: u64 = 16;

/// Count of a new run, so that a single one does not disappear with the first halving.
const RUN_COUNT: u64 = 16;

/// Minimum count for a ratio: eight recent runs.
const MIN_COUNT: u64 = 8 * RUN_COUNT;

/// Largest ratio that is distinguished, in thousandths.
const RATIO_LIMIT: u64 = 100_000;

/// Maximum number of queues and step positions. Others are treated as if their estimates were right.
const KEYS_LIMIT: usize = 512;

/// The ratio of actual to estimated run time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ratio {
    pub(crate) median: f64,
    pub(crate) p90: f64,
}

impl Ratio {
    /// The ratio as long as nothing is known.
    pub(crate) const DECLARED: Self = Self {
        median: 1.0,
        p90: 1.0,
    };
}

#[derive(Debug, Clone)]
struct Ratios {
    histogram: Histogram<u32>,
    /// Errors of the predicted run times, in thousandths of the prediction.
    errors: Histogram<u32>,
    halved_at: Millis,
    current: Option<Ratio>,
}

impl Ratios {
    fn new(now: Millis) -> Option<Self> {
        let histogram = Histogram::new_with_max(RATIO_LIMIT, 2).ok()?;
        Some(Self {
            errors: histogram.clone(),
            histogram,
            halved_at: now,
            current: None,
        })
    }

    fn add(&mut self, ratio: f64, now: Millis) {
        self.age(now);
        if let Some(current) = self.current {
            let error = (ratio / current.median - 1.0).abs();
            self.errors
                .saturating_record_n(thousandths(error), counted());
        }
        self.histogram
            .saturating_record_n(thousandths(ratio), counted());
        self.current = (self.histogram.len() >= MIN_COUNT).then(|| Ratio {
            median: self.quantile(0.5),
            p90: self.quantile(0.9),
        });
    }

    fn quantile(&self, quantile: f64) -> f64 {
        to_f64(self.histogram.value_at_quantile(quantile)) / 1_000.0
    }

    /// Halves all counts once for each half-life that has passed.
    fn age(&mut self, now: Millis) {
        let halvings = now.since(self.halved_at) / HALF_LIFE_MS;
        if halvings == 0 {
            return;
        }
        self.halved_at = self.halved_at.plus(halvings * HALF_LIFE_MS);
        let shift = halvings.min(HALVINGS_LIMIT);
        halve(&mut self.histogram, shift);
        halve(&mut self.errors, shift);
    }
}

/// Ratios of all queues and step positions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Durations {
    ratios: BTreeMap<(SmolStr, u16), Ratios>,
}

impl Durations {
    /// Adds a run's ratio of actual to estimated run time at the median worker's speed.
    pub(crate) fn add(&mut self, queue: &SmolStr, position: u16, ratio: f64, now: Millis) {
        let key = (queue.clone(), position);
        if !self.ratios.contains_key(&key) {
            if self.ratios.len() >= KEYS_LIMIT {
                return;
            }
            let Some(ratios) = Ratios::new(now) else {
                return;
            };
            self.ratios.insert(key.clone(), ratios);
        }
        if let Some(ratios) = self.ratios.get_mut(&key) {
            ratios.add(ratio, now);
        }
    }

    /// Returns the ratio of a queue at a step position, or `None` if too few runs are known.
    pub(crate) fn ratio(&self, queue: &SmolStr, position: u16) -> Option<Ratio> {
        self.ratios.get(&(queue.clone(), position))?.current
    }

    /// Returns the median error of the predicted run times of each queue's first step, in thousandths.
    pub(crate) fn median_errors(&self) -> Vec<(SmolStr, u64)> {
        let mut errors = Vec::new();
        for ((queue, position), ratios) in &self.ratios {
            if *position == 0 && !ratios.errors.is_empty() {
                errors.push((queue.clone(), ratios.errors.value_at_quantile(0.5)));
            }
        }
        errors
    }
}

fn counted() -> u32 {
    u32::try_from(RUN_COUNT).unwrap_or(u32::MAX)
}

fn halve(histogram: &mut Histogram<u32>, shift: u64) {
    let old = histogram.clone();
    histogram.reset();
    for entry in old.iter_recorded() {
        let count = entry.count_at_value() >> shift;
        if count > 0 {
            histogram.saturating_record_n(entry.value_iterated_to(), count);
        }
    }
}

fn thousandths(ratio: f64) -> u64 {
    let limit = to_f64(RATIO_LIMIT);
    let thousandths = (ratio * 1_000.0).clamp(1.0, limit);
    std::time::Duration::from_secs_f64(thousandths).as_secs()
}
