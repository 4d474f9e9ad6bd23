//! What tasks on one worker do to each other beyond the room that they take.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_sched::StepSpec;
use syc_types::Millis;

/// Full speed.
pub(crate) const FULL_SPEED_PERCENT: u8 = 100;

/// A tail that is beyond its limit for this long is harm done to a task's users.
const MAX_EXCEEDED_MS: u64 = 4_000;

/// How the tail of the response times of an image depends on what fills the worker beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TailLatencyModel {
    /// With nothing beside it.
    pub baseline_ms: u64,
    /// More for each core of what fills, at full speed.
    pub per_core_ms: u64,
}

/// The tails of all images that serve.
pub(crate) type TailLatencyModels = BTreeMap<SmolStr, TailLatencyModel>;

/// How a run takes part in sharing a worker.
#[derive(Debug, Clone)]
pub(crate) struct RunInterference {
    pub(crate) image: SmolStr,
    pub(crate) pace_percent: u8,
    pub(crate) fills: bool,
    pub(crate) wanted_cpu_millis: u64,
    pub(crate) tail_limit_ms: Option<u64>,
    /// Since when its tail is beyond its limit because of what fills beside it.
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

    /// Returns the processor time by which it disturbs others.
    pub(crate) const fn interfering_cpu_millis(&self) -> u64 {
        if !self.fills {
            return 0;
        }
        self.wanted_cpu_millis * self.pace_percent as u64 / FULL_SPEED_PERCENT as u64
    }

    /// Returns its tail beside what disturbs it.
    pub(crate) fn tail_latency_ms(
        &self,
        models: &TailLatencyModels,
        interfering_cpu_millis: u64,
    ) -> Option<u64> {
        self.tail_limit_ms?;
        let model = models.get(&self.image)?;
        Some(model.baseline_ms + model.per_core_ms * interfering_cpu_millis / 1_000)
    }

    /// Lets time pass. Says whether its users have been harmed for too long now.
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
