//! Throttles backfill runs, which use CPU that other runs leave unused, to protect the tail latency of
//! latency-bound runs on the same worker.
//!
//! All backfill runs of a worker share one pace, a percentage of full speed. The pace drops quickly when the
//! tail latency of a latency-bound run nears its limit, and rises slowly while there is slack. The paces
//! that pairs of images could sustain together are remembered, so that further backfill runs are placed where
//! they interfere least.

use std::collections::HashMap;

use smol_str::SmolStr;
use syc_types::Millis;

use crate::Action;
use crate::Run;
use crate::Scheduler;
use crate::TaskId;
use crate::WorkerKey;
use crate::WorkerNote;
use crate::ids::JobKey;
use crate::worker::CpuShare;
use crate::worker::Phase;
use crate::worker::Worker;
use crate::worker::WorkerRun;

/// The pace of an unthrottled run.
const FULL_PACE: u8 = 100;

/// Interval between changes of the pace. Reported tail latencies cover the last half second.
const ADJUST_INTERVAL_MS: u64 = 500;

/// Longest time between reports of a worker that has both latency-bound and backfill runs.
const SHARED_REPORT_WAIT_MS: u64 = 400;

/// From this percentage of its limit on, a tail latency is too high, since a short burst could exceed the limit.
const HIGH_TAIL_PERCENT: u64 = 85;

/// Below this percentage of its limit, a tail latency leaves slack.
const LOW_TAIL_PERCENT: u64 = 65;

/// A pace that is reduced below this is set to 0, since the little progress is not worth the risk.
const MIN_PACE: u8 = 10;

/// Step by which the pace rises, which takes it from 0 to full speed in ten seconds.
const PACE_INCREMENT: u8 = 5;

/// An unanswered order may still be carried out up to this much later.
const MAX_ORDER_DELAY_MS: u64 = 13_000;

/// Pace that a pair of images is expected to sustain before they have run together.
const DEFAULT_EXPECTED_PACE: u32 = 60;

/// Weight of a new observation in the moving average of a pair of images, in percent.
const LEARNING_RATE_PERCENT: u32 = 20;

/// A backfill task waits this long for a worker with enough unused CPU before it accepts any worker.
const BACKFILL_WAIT_MS: u64 = 3_000;

/// The throttling state of a backfill run.
#[derive(Debug, Clone)]
pub(crate) struct Backfill {
    /// Requested CPU, in thousandths of a core.
    pub(crate) wanted_cpu_millis: u64,
    /// The pace that the worker has confirmed, or `None` if the pace is unknown.
    confirmed_percent: Option<u8>,
    ordered_at: Millis,
    in_flight: bool,
    /// Until this time an earlier order may still be carried out.
    late_order_until: Millis,
}

impl Backfill {
    /// Creates the state of a run that was just started, which runs at full speed.
    pub(crate) const fn started(wanted_cpu_millis: u64) -> Self {
        Self {
            wanted_cpu_millis,
            confirmed_percent: Some(FULL_PACE),
            ordered_at: Millis(0),
            in_flight: false,
            late_order_until: Millis(0),
        }
    }

    /// Marks the pace as unknown, since another scheduler may have changed it.
    pub(crate) const fn forget_pace(&mut self) {
        self.confirmed_percent = None;
    }

    /// Returns whether a pace has to be sent, because the worker may have another one or an abandoned order
    /// may have been carried out after the latest.
    fn needs_order(&self, percent: u8, now: Millis) -> bool {
        if self.in_flight {
            return false;
        }
        if self
            .confirmed_percent
            .is_some_and(|confirmed| confirmed != percent)
        {
            return true;
        }
        // An order that failed, or that may not have been the last to arrive, is sent again after an interval.
        let may_differ = self.confirmed_percent.is_none() || now < self.late_order_until;
        may_differ && now.since(self.ordered_at) >= ADJUST_INTERVAL_MS
    }
}

/// The pace of all backfill runs of a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PaceControl {
    percent: u8,
    changed_at: Millis,
}

impl PaceControl {
    pub(crate) const fn new() -> Self {
        Self {
            percent: FULL_PACE,
            changed_at: Millis(0),
        }
    }
}

/// Moving averages of the pace that backfill images sustained next to latency-bound images.
#[derive(Debug, Clone, Default)]
pub(crate) struct Interference {
    paces: HashMap<(SmolStr, SmolStr), u32>,
}

impl Interference {
    fn expected(&self, backfill_image: &SmolStr, latency_bound_image: &SmolStr) -> u32 {
        let key = (backfill_image.clone(), latency_bound_image.clone());
        self.paces
            .get(&key)
            .copied()
            .unwrap_or(DEFAULT_EXPECTED_PACE)
    }

    fn record(&mut self, backfill_image: &SmolStr, latency_bound_image: &SmolStr, percent: u8) {
        let key = (backfill_image.clone(), latency_bound_image.clone());
        let pace = self.paces.entry(key).or_insert(DEFAULT_EXPECTED_PACE);
        *pace = (*pace * (100 - LEARNING_RATE_PERCENT)
            + u32::from(percent) * LEARNING_RATE_PERCENT)
            / 100;
    }
}

/// Returns the next pace for the worst tail latency, given as a percentage of its limit.
fn next_pace(percent: u8, tail_percent: Option<u64>) -> u8 {
    let Some(tail_percent) = tail_percent else {
        return FULL_PACE;
    };
    let lowered = if tail_percent >= 100 {
        percent / 4
    } else if tail_percent >= HIGH_TAIL_PERCENT {
        percent / 2
    } else if tail_percent < LOW_TAIL_PERCENT {
        return percent.saturating_add(PACE_INCREMENT).min(FULL_PACE);
    } else {
        return percent;
    };
    if lowered < MIN_PACE { 0 } else { lowered }
}

/// Returns the worst tail latency of the latency-bound runs as a percentage of its limit, or `None` if there are
/// no such runs.
fn worst_tail_percent(worker: &Worker) -> Option<u64> {
    let tails = worker.runs.values().filter_map(|run| match run.share {
        // Until its first report, a run neither lowers nor raises the pace.
        CpuShare::LatencyBound { limit_ms, tail_ms } => {
            Some(tail_ms.map_or(LOW_TAIL_PERCENT, |tail_ms| {
                tail_ms.saturating_mul(100) / limit_ms.max(1)
            }))
        }
        CpuShare::Reserved { .. } | CpuShare::Fills(_) => None,
    });
    tails.max()
}

impl Scheduler {
    /// Returns how long a worker may wait for a run to end before it reports.
    #[must_use]
    pub fn renewal_wait_ms(&self, worker: WorkerKey, usual_ms: u64) -> u64 {
        let Some(worker) = self.workers.get(worker) else {
            return usual_ms;
        };
        let has_latency_bound = worker.runs.values().any(WorkerRun::is_latency_bound);
        let has_backfill = worker.runs.values().any(WorkerRun::fills);
        // The step or the worker of a suspect is held back until the suspect is known not to crash its worker. Runs in
        // doubt under a withheld lease end with the first report after its expiry.
        let is_awaited = worker.has_suspect() || worker.breaker.withholds_lease;
        if has_latency_bound && has_backfill || is_awaited {
            usual_ms.min(SHARED_REPORT_WAIT_MS)
        } else {
            usual_ms
        }
    }

    /// Adjusts the pace of a worker's backfill runs to the tail latencies of its latency-bound runs.
    pub(crate) fn adjust_backfill_pace(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        let backfill_runs = worker.runs.values().filter(|run| run.fills());
        let backfill_count = backfill_runs.count();
        if backfill_count == 0 {
            return;
        }
        let tail_percent = worst_tail_percent(worker);
        let previous = worker.pace.percent;
        if now.since(worker.pace.changed_at) >= ADJUST_INTERVAL_MS {
            worker.pace.percent = next_pace(previous, tail_percent);
            worker.pace.changed_at = now;
        }
        let percent = worker.pace.percent;
        if percent != previous {
            let note = worker.note(WorkerNote::Paced {
                before_percent: previous,
                percent,
                tail_percent,
                fills: backfill_count,
            });
            self.actions.push(note);
        }
        self.learn_interference(key);
        self.send_pace_orders(key, now);
    }

    fn send_pace_orders(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        // A worker with a tripped breaker gets one order at a time, as a probe.
        if worker.breaker.tripped {
            return;
        }
        let percent = worker.pace.percent;
        for ((task, run), run_state) in &mut worker.runs {
            let is_running = run_state.phase == Phase::Running;
            let CpuShare::Fills(backfill) = &mut run_state.share else {
                continue;
            };
            if !is_running || !backfill.needs_order(percent, now) {
                continue;
            }
            backfill.in_flight = true;
            backfill.ordered_at = now;
            self.actions.push(Action::Pace {
                worker: key,
                task: *task,
                run: *run,
                percent,
            });
        }
    }

    pub(crate) fn pace_answered(
        &mut self,
        key: WorkerKey,
        task_run: (TaskId, Run),
        percent: u8,
        accepted: bool,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(run_state) = worker.runs.get_mut(&task_run) else {
            return;
        };
        let CpuShare::Fills(backfill) = &mut run_state.share else {
            return;
        };
        backfill.in_flight = false;
        backfill.confirmed_percent = accepted.then_some(percent);
        let ordered_at = backfill.ordered_at;
        if accepted {
            self.order_accepted(key, ordered_at, now);
        } else {
            backfill.late_order_until = now.plus(MAX_ORDER_DELAY_MS);
        }
    }

    /// Records the current pace for each pair of images on a worker.
    fn learn_interference(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let percent = worker.pace.percent;
        let mut pairs = Vec::new();
        for ((backfill, _), backfill_run) in &worker.runs {
            if !backfill_run.fills() {
                continue;
            }
            for ((latency_bound, _), latency_bound_run) in &worker.runs {
                if latency_bound_run.is_latency_bound() {
                    pairs.push((self.image_of(*backfill), self.image_of(*latency_bound)));
                }
            }
        }
        pairs.sort();
        pairs.dedup();
        for (backfill_image, latency_bound_image) in pairs {
            self.interference
                .record(&backfill_image, &latency_bound_image, percent);
        }
    }

    fn image_of(&self, task: TaskId) -> SmolStr {
        let found = self.locate_task(task);
        found.map_or_else(SmolStr::default, |(job, step, _unit, _member)| {
            self.jobs[job].steps[step].spec.image.clone()
        })
    }

    /// Picks the worker on which a backfill task gets the most CPU and interferes least, or `None` while it should
    /// wait for a worker with more unused CPU.
    pub(crate) fn pick_backfill_worker(
        &self,
        job: JobKey,
        step: usize,
        candidates: &[WorkerKey],
        now: Millis,
    ) -> Option<WorkerKey> {
        let step_state = &self.jobs[job].steps[step];
        let wanted = step_state.spec.resources.cpu_millis;
        let waited_ms = now.since(step_state.ready_at.unwrap_or(now));
        let min_unused = if waited_ms > BACKFILL_WAIT_MS {
            0
        } else {
            wanted / 2
        };
        let spare = candidates
            .iter()
            .map(|key| (self.workers[*key].idle_cpu_millis(), *key));
        let spare = spare.filter(|(unused, _)| *unused >= min_unused);
        let ranked = spare.map(|(unused, key)| {
            let cpu_percent = unused.min(wanted) * 100 / wanted.max(1);
            let pace = self.expected_pace(key, &step_state.spec.image);
            (cpu_percent * u64::from(pace), unused, key)
        });
        let best = ranked.max_by_key(|(score, unused, _)| (*score, *unused));
        best.map(|(_, _, key)| key)
    }

    /// Returns the pace that an image is expected to sustain on a worker.
    fn expected_pace(&self, key: WorkerKey, image: &SmolStr) -> u32 {
        let mut expected = u32::from(FULL_PACE);
        for ((task, _), run_state) in &self.workers[key].runs {
            if !run_state.is_latency_bound() {
                continue;
            }
            let latency_bound_image = self.image_of(*task);
            expected = expected.min(self.interference.expected(image, &latency_bound_image));
        }
        expected
    }
}
