//! Interference between the tasks on a worker: backfill runs raise the tail latency of serving tasks.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_sched::StepSpec;
use syc_types::Millis;

/// Pace of a run at full speed.
pub(crate) const FULL_SPEED_PERCENT: u8 = 100;

/// Time for which a tail latency may exceed its limit before it is a violation.
const MAX_EXCEEDED_MS: u64 = 4_000;

/// Tail latency of an image as a function of the backfill CPU on the same worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TailLatencyModel {
    /// Tail latency without backfill runs.
    pub baseline_ms: u64,
    /// Increase for each core that backfill runs use at full speed.
    pub per_core_ms: u64,
}

/// Tail latencies of the images of serving tasks.
pub(crate) type TailLatencyModels = BTreeMap<SmolStr, TailLatencyModel>;

/// Properties of a run that determine its interference with others.
#[derive(Debug, Clone)]
pub(crate) struct RunInterference {
    pub(crate) image: SmolStr,
    pub(crate) pace_percent: u8,
    pub(crate) fills: bool,
    pub(crate) wanted_cpu_millis: u64,
    pub(crate) tail_limit_ms: Option<u64>,
    /// Time since which backfill runs keep the tail latency above its limit.
    exceeded_since: Option<Millis>,
}

impl RunInterference {
    pub(crate) fn of_step(step: &StepSpec) -> Self {
        Self {
            image: step.image.clone(),
            pace_percent: FULL_SPEED_PERCENT,
            fills: step.fills,
            wanted_cpu_millis: step.resources.cpu_millis,
            tail_limit_ms: step.tail_limit_ms,
            exceeded_since: None,
        }
    }

    /// Returns the CPU with which the run slows down others, in thousandths of a core.
    pub(crate) const fn interfering_cpu_millis(&self) -> u64 {
        if !self.fills {
            return 0;
        }
        self.wanted_cpu_millis * self.pace_percent as u64 / FULL_SPEED_PERCENT as u64
    }

    /// Returns the tail latency of the run while backfill runs use `interfering_cpu_millis`.
    pub(crate) fn tail_latency_ms(
        &self,
        models: &TailLatencyModels,
        interfering_cpu_millis: u64,
    ) -> Option<u64> {
        self.tail_limit_ms?;
        let model = models.get(&self.image)?;
        Some(model.baseline_ms + model.per_core_ms * interfering_cpu_millis / 1_000)
    }

    /// Updates the state to `now` and returns whether the tail latency has exceeded its limit for too long. A task that
    /// exceeds its limit even without backfill runs does not count.
    pub(crate) fn exceeds_tail_limit(
        &mut self,
        models: &TailLatencyModels,
        interfering_cpu_millis: u64,
        now: Millis,
    ) -> bool {
        let (Some(limit_ms), Some(tail_latency_ms)) = (
            self.tail_limit_ms,
            self.tail_latency_ms(models, interfering_cpu_millis),
        ) else {
            return false;
        };
        let baseline_ms = self.tail_latency_ms(models, 0).unwrap_or(0);
        if tail_latency_ms <= limit_ms || baseline_ms > limit_ms {
            self.exceeded_since = None;
            return false;
        }
        let since = *self.exceeded_since.get_or_insert(now);
        now.since(since) > MAX_EXCEEDED_MS
    }
}
