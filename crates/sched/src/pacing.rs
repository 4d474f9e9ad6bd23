//! Runs that fill what others leave unused, kept slow enough for those that serve users beside them.
//!
//! Each worker has one pace for all that fills it. It falls fast when the tail of a run that serves
//! nears its limit, and rises slowly while there is slack. What a pair of images got along with is
//! remembered, so that the next run starts where it disturbs least.

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

/// Full speed.
const FULL: u8 = 100;

/// The pace changes this often at most: reported tails are those of the last half second.
const STEP_MS: u64 = 500;

/// A worker on which some runs serve and others fill is asked how they do this often.
const WATCHED_WAIT_MS: u64 = 400;

/// From this share of its limit on, a tail is too long; a short burst more and it breaks the limit.
const HIGH_TAIL_PERCENT: u64 = 85;

/// Below this share of its limit, a tail leaves slack.
const LOW_TAIL_PERCENT: u64 = 65;

/// A pace that is lower than this after a cut is none: too little is done to be worth the risk.
const LEAST_PACE: u8 = 10;

/// What the pace rises by at a time: from a standstill to full speed in ten seconds.
const RISE: u8 = 5;

/// An order without an answer may be carried out this much later.
const LATE_ORDER_MS: u64 = 13_000;

/// Pace that two images are expected to get along with before they have met.
const FIRST_EXPECTED: u32 = 60;

/// Part of the way that what is remembered of two images moves at each step, in hundredths.
const MEMORY_STEP: u32 = 20;

/// A task that fills waits this long for a worker with time to spare, and then takes any.
const PATIENCE_MS: u64 = 3_000;

/// What a run that fills is known to do.
#[derive(Debug, Clone)]
pub(crate) struct Fill {
    /// What it asked for, in thousandths of a core.
    pub(crate) wanted_cpu_millis: u64,
    /// The pace that the worker surely has; none where that is not known.
    known: Option<u8>,
    ordered_at: Millis,
    in_flight: bool,
    /// Until then an earlier order may still be carried out.
    doubt_until: Millis,
}

impl Fill {
    /// A run goes at full speed until it is told otherwise.
    pub(crate) const fn started(wanted_cpu_millis: u64) -> Self {
        Self {
            wanted_cpu_millis,
            known: Some(FULL),
            ordered_at: Millis(0),
            in_flight: false,
            doubt_until: Millis(0),
        }
    }

    /// Another scheduler may have told it otherwise.
    pub(crate) const fn forget_pace(&mut self) {
        self.known = None;
    }

    /// Says whether the worker has to be told a pace: it may have another, or an order that was
    /// given up may have come after the latest.
    fn needs(&self, percent: u8, now: Millis) -> bool {
        if self.in_flight {
            return false;
        }
        if self.known.is_some_and(|known| known != percent) {
            return true;
        }
        // What was not taken, or may not have been the last to arrive, is told again, but not at once.
        let is_open = self.known.is_none() || now < self.doubt_until;
        is_open && now.since(self.ordered_at) >= STEP_MS
    }
}

/// The pace of all that fills a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PaceControl {
    percent: u8,
    changed_at: Millis,
}

impl PaceControl {
    pub(crate) const fn new() -> Self {
        Self {
            percent: FULL,
            changed_at: Millis(0),
        }
    }
}

/// What is remembered of images that fill beside images that serve: the pace that went well.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disturbance {
    paces: HashMap<(SmolStr, SmolStr), u32>,
}

impl Disturbance {
    fn expected(&self, fills: &SmolStr, serves: &SmolStr) -> u32 {
        let key = (fills.clone(), serves.clone());
        self.paces.get(&key).copied().unwrap_or(FIRST_EXPECTED)
    }

    fn learn(&mut self, fills: &SmolStr, serves: &SmolStr, percent: u8) {
        let key = (fills.clone(), serves.clone());
        let pace = self.paces.entry(key).or_insert(FIRST_EXPECTED);
        *pace = (*pace * (100 - MEMORY_STEP) + u32::from(percent) * MEMORY_STEP) / 100;
    }
}

/// Returns the next pace, by the worst tail as a share of its limit.
fn next_pace(percent: u8, tail_percent: Option<u64>) -> u8 {
    let Some(tail_percent) = tail_percent else {
        return FULL;
    };
    let lowered = if tail_percent >= 100 {
        percent / 4
    } else if tail_percent >= HIGH_TAIL_PERCENT {
        percent / 2
    } else if tail_percent < LOW_TAIL_PERCENT {
        return percent.saturating_add(RISE).min(FULL);
    } else {
        return percent;
    };
    if lowered < LEAST_PACE { 0 } else { lowered }
}

/// Returns the worst tail of the runs that serve, as a share of its limit; none where none serves.
fn worst_tail_percent(worker: &Worker) -> Option<u64> {
    let tails = worker.runs.values().filter_map(|run| match run.share {
        // Until its first figure, a run counts as one with neither slack nor want.
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
    /// Returns how long a worker may wait for an end before it reports.
    #[must_use]
    pub fn renewal_wait_ms(&self, worker: WorkerKey, usual_ms: u64) -> u64 {
        let Some(worker) = self.workers.get(worker) else {
            return usual_ms;
        };
        let serves = worker.runs.values().any(WorkerRun::is_latency_bound);
        let filled = worker.runs.values().any(WorkerRun::fills);
        // Until a suspect is known not to take its worker down, its step or its worker waits.
        if serves && filled || worker.has_suspect() {
            usual_ms.min(WATCHED_WAIT_MS)
        } else {
            usual_ms
        }
    }

    /// Sets the pace of what fills a worker by how those do that serve there.
    pub(crate) fn pace_fills(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        let fills = worker.runs.values().filter(|run| run.fills());
        let fills = fills.count();
        if fills == 0 {
            return;
        }
        let tail_percent = worst_tail_percent(worker);
        let before = worker.pace.percent;
        if now.since(worker.pace.changed_at) >= STEP_MS {
            worker.pace.percent = next_pace(before, tail_percent);
            worker.pace.changed_at = now;
        }
        let percent = worker.pace.percent;
        if percent != before {
            let note = worker.note(WorkerNote::Paced {
                before_percent: before,
                percent,
                tail_percent,
                fills,
            });
            self.actions.push(note);
        }
        self.learn_disturbance(key);
        self.order_paces(key, now);
    }

    fn order_paces(&mut self, key: WorkerKey, now: Millis) {
        let worker = &mut self.workers[key];
        // What takes no orders gets one at a time, as a probe.
        if worker.contact.shut {
            return;
        }
        let percent = worker.pace.percent;
        for ((task, run), of_run) in &mut worker.runs {
            let is_running = of_run.phase == Phase::Running;
            let CpuShare::Fills(fill) = &mut of_run.share else {
                continue;
            };
            if !is_running || !fill.needs(percent, now) {
                continue;
            }
            fill.in_flight = true;
            fill.ordered_at = now;
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
        name: (TaskId, Run),
        percent: u8,
        taken: bool,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(of_run) = worker.runs.get_mut(&name) else {
            return;
        };
        let CpuShare::Fills(fill) = &mut of_run.share else {
            return;
        };
        fill.in_flight = false;
        fill.known = taken.then_some(percent);
        let ordered_at = fill.ordered_at;
        if taken {
            self.order_taken(key, ordered_at, now);
        } else {
            fill.doubt_until = now.plus(LATE_ORDER_MS);
        }
    }

    /// Remembers which pace the images on a worker get along with.
    fn learn_disturbance(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let percent = worker.pace.percent;
        let mut met = Vec::new();
        for ((fill, _), of_fill) in &worker.runs {
            if !of_fill.fills() {
                continue;
            }
            for ((serving, _), of_serving) in &worker.runs {
                if of_serving.is_latency_bound() {
                    met.push((self.image_of(*fill), self.image_of(*serving)));
                }
            }
        }
        met.sort();
        met.dedup();
        for (fills, serves) in met {
            self.disturbance.learn(&fills, &serves, percent);
        }
    }

    fn image_of(&self, task: TaskId) -> SmolStr {
        let found = self.locate(task);
        found.map_or_else(SmolStr::default, |(job, step, _unit, _member)| {
            self.jobs[job].steps[step].spec.image.clone()
        })
    }

    /// Picks the worker on which a task that fills disturbs least and gets the most; none while it
    /// had better wait for one with time to spare.
    pub(crate) fn pick_to_fill(
        &self,
        job: JobKey,
        step: usize,
        candidates: &[WorkerKey],
        now: Millis,
    ) -> Option<WorkerKey> {
        let of_step = &self.jobs[job].steps[step];
        let wanted = of_step.spec.resources.cpu_millis;
        let waited_ms = now.since(of_step.ready_at.unwrap_or(now));
        let least = if waited_ms > PATIENCE_MS {
            0
        } else {
            wanted / 2
        };
        let spare = candidates
            .iter()
            .map(|key| (self.workers[*key].idle_cpu_millis(), *key));
        let spare = spare.filter(|(unused, _)| *unused >= least);
        let ranked = spare.map(|(unused, key)| {
            let got = unused.min(wanted) * 100 / wanted.max(1);
            let pace = self.expected_pace(key, &of_step.spec.image);
            (got * u64::from(pace), unused, key)
        });
        let best = ranked.max_by_key(|(worth, unused, _)| (*worth, *unused));
        best.map(|(_, _, key)| key)
    }

    /// Returns the pace that something of an image is expected to go at on a worker.
    fn expected_pace(&self, key: WorkerKey, image: &SmolStr) -> u32 {
        let mut expected = u32::from(FULL);
        for ((task, _), of_run) in &self.workers[key].runs {
            if !of_run.is_latency_bound() {
                continue;
            }
            let serves = self.image_of(*task);
            expected = expected.min(self.disturbance.expected(image, &serves));
        }
        expected
    }
}
