//! Detection of workers that run slowly although they appear healthy, by comparing the progress of their runs with
//! other tasks of the same step. Slow workers are quarantined for a while.
//!
//! Estimates are too imprecise to tell a slow worker from a long task. Tasks of one step are alike, so one that takes
//! three times as long as most of the others indicates a slow worker.

use std::collections::BTreeMap;

use syc_types::Millis;

use crate::Run;
use crate::Scheduler;
use crate::StepId;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::WorkerNote;
use crate::job::Step;
use crate::run_ends::UnitRef;
use crate::speed::to_f64;
use crate::worker::Phase;
use crate::worker::WorkerRun;
use crate::worker::fit_count;

/// A run is considered only once it has been reported for this long, because reports arrive with some delay.
const MIN_OBSERVATION_MS: u64 = 200;

/// Minimum number of tasks of the same step on other workers to compare with.
const MIN_PEERS: usize = 3;

/// Maximum number of tasks to compare with. They are sorted on every report, and a step may have 10,000 tasks.
const PEERS_LIMIT: usize = 64;

/// A worker counts as slow from this factor on. The factor is the geometric mean over its steps and one additional
/// step with factor 1, which demands more evidence from fewer steps.
const MIN_MEAN_FACTOR: f64 = 1.75;

/// Every step has to show at least this factor, since a slow worker is slow for all of them.
const MIN_STEP_FACTOR: f64 = 1.7;

/// How long a slow worker gets no new work. After that, a few runs show whether it is still slow.
const SLOW_QUARANTINE_MS: u64 = 4_000;

/// Maximum share of the workers that is quarantined as slow, in percent. If more appear slow, there is another cause.
const SLOW_WORKERS_PERCENT_LIMIT: usize = 30;

/// Minimum cost of moving a run besides the stop: the new start and the restore.
const MOVE_COST_MS: u64 = 700;

/// A run moves only if its remaining time here exceeds this percentage of the time elsewhere, including the move.
const MIN_MOVE_GAIN_PERCENT: u64 = 120;

/// Maximum number of moves per task.
const MOVES_PER_TASK_LIMIT: u32 = 2;

/// How slow a worker is, as the logarithm of a factor, and how many steps show it.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    log: f64,
    steps: usize,
    least: (StepId, f64),
}

/// A run with its projected total run time on its worker.
#[derive(Debug, Clone, Copy)]
struct RunProjection {
    task: TaskId,
    run: Run,
    place: UnitRef,
    total_ms: u64,
    /// The share left to do on this worker, and on another one, in percent.
    left_percent: u64,
    elsewhere_percent: u64,
}

impl RunProjection {
    const fn left_ms(&self) -> u64 {
        self.total_ms * self.left_percent / 100
    }
}

/// Decides whether a worker is slow from the factors (as logarithms) by which its steps are slower than elsewhere.
fn slowness(steps: &BTreeMap<StepId, f64>) -> Option<Slowness> {
    let count = u32::try_from(steps.len()).unwrap_or(u32::MAX);
    let sum: f64 = steps.values().sum();
    let least = steps.iter().min_by(|a, b| a.1.total_cmp(b.1));
    let (step, least) = least?;
    let is_slow =
        sum / f64::from(count + 1) >= MIN_MEAN_FACTOR.ln() && *least >= MIN_STEP_FACTOR.ln();
    is_slow.then(|| Slowness {
        log: sum / f64::from(count),
        steps: steps.len(),
        least: (*step, *least),
    })
}

impl Step {
    /// Returns the median run time of the tasks except some units, or `None` if too few are known.
    fn median_ms(&self, except: &[usize]) -> Option<u64> {
        let units = self.units.iter().enumerate();
        let elsewhere = units.filter(|(index, _)| !except.contains(index));
        let projected = elsewhere.filter_map(|(_, unit)| unit.expected_run_ms);
        let mut others: Vec<_> = projected.take(PEERS_LIMIT).collect();
        if others.len() < MIN_PEERS {
            return None;
        }
        others.sort_unstable();
        others.get(others.len() / 2).copied()
    }
}

impl WorkerRun {
    /// Returns its projected total run time at the speed seen so far. Returns `None` if that is unknown or does not
    /// depend on the worker's speed: gang members are as slow as the slowest of them, long-running tasks never end,
    /// and runs that fill unused processor time get whatever is left.
    fn total_ms(&self, now: Millis) -> Option<u64> {
        let (from, from_percent) = self.progress_baseline?;
        let elapsed_ms = now.since(from);
        let is_comparable = !self.gang && !self.long_running && !self.fills();
        if self.phase != Phase::Running || !is_comparable || elapsed_ms < MIN_OBSERVATION_MS {
            return None;
        }
        // The next percent may be almost complete.
        let done = u64::from(self.percent.saturating_sub(from_percent)) + 1;
        Some(elapsed_ms * 100 / done)
    }
}

impl Scheduler {
    /// Checks whether a worker is slow by the progress of its runs. If so, quarantines it for a while and moves runs
    /// that would end sooner elsewhere.
    pub(crate) fn check_slowness(&mut self, key: WorkerKey, now: Millis) {
        let projections = self.update_projections(key, now);
        let mut steps: BTreeMap<StepId, Vec<RunProjection>> = BTreeMap::new();
        for projection in &projections {
            steps
                .entry(projection.task.step)
                .or_default()
                .push(*projection);
        }
        let mut slow = BTreeMap::new();
        for (step, projections) in steps {
            if let Some(log) = self.step_slowness(key, &projections) {
                slow.insert(step, log);
            }
        }
        let Some(slowness) = slowness(&slow) else {
            return;
        };
        if self.too_many_slow(key, now) {
            return;
        }
        self.quarantine_slow(key, slowness, now);
        self.move_off_slow(key, &projections, now);
    }

    /// Records the projected run time of each run on a worker, and returns the projections.
    fn update_projections(&mut self, key: WorkerKey, now: Millis) -> Vec<RunProjection> {
        let mut projections = Vec::new();
        for ((task, run), held) in &self.workers[key].runs {
            let Some(total_ms) = held.total_ms(now) else {
                continue;
            };
            let Some((job, step, unit, _member)) = self.locate_task(*task) else {
                continue;
            };
            let left_percent = u64::from(100 - held.percent.min(100));
            projections.push(RunProjection {
                task: *task,
                run: *run,
                place: UnitRef { job, step, unit },
                total_ms,
                left_percent,
                elsewhere_percent: if held.checkpointed { left_percent } else { 100 },
            });
        }
        for projection in &projections {
            self.unit_mut(projection.place).expected_run_ms = Some(projection.total_ms);
        }
        projections
    }

    /// Returns the factor, as a logarithm, by which tasks of a step are slower on a worker than elsewhere. The fastest
    /// task counts, since a slow worker is slow for all of them.
    fn step_slowness(&self, worker: WorkerKey, projections: &[RunProjection]) -> Option<f64> {
        let place = projections.first()?.place;
        let of_step = &self.jobs[place.job].steps[place.step];
        if of_step.spec.data_rack.is_some() {
            // The run time depends on the rack that the task runs in.
            return None;
        }
        let here: Vec<_> = projections
            .iter()
            .map(|projection| projection.place.unit)
            .collect();
        let median_ms = of_step.median_ms(&here)?;
        let fastest_ms = projections
            .iter()
            .map(|projection| projection.total_ms)
            .min()?;
        let log = (to_f64(fastest_ms) / to_f64(median_ms.max(1))).ln();
        Some(log + self.learned_slowness_log(worker))
    }

    /// Returns the logarithm of a permanently slow worker's speed, 0 for others. It is compared with its own speed, so
    /// that it is not quarantined again and again.
    fn learned_slowness_log(&self, key: WorkerKey) -> f64 {
        let speed = &self.workers[key].speed;
        if self.options.placement_by_speed && speed.is_slow() {
            speed.relative_log().min(0.0)
        } else {
            0.0
        }
    }

    /// Quarantines a slow worker for a while.
    fn quarantine_slow(&mut self, key: WorkerKey, slowness: Slowness, now: Millis) {
        let worker = &mut self.workers[key];
        let until = now.plus(SLOW_QUARANTINE_MS);
        let is_newly_slow = worker.slow_until <= now;
        worker.slow_until = until;
        worker.quarantined_until = worker.quarantined_until.max(until);
        if is_newly_slow {
            let (least, least_log) = slowness.least;
            let note = worker.note(WorkerNote::Slow {
                slowness_percent: percent_of(slowness.log),
                steps: slowness.steps,
                least,
                least_percent: percent_of(least_log),
            });
            self.actions.push(note);
        }
    }

    /// Returns whether so many other workers are quarantined as slow that there must be another cause.
    fn too_many_slow(&self, key: WorkerKey, now: Millis) -> bool {
        let others = self.workers.iter().filter(|(other, _)| *other != key);
        let slow = others.filter(|(_, worker)| worker.slow_until > now).count();
        slow * 100 >= self.workers.len() * SLOW_WORKERS_PERCENT_LIMIT
    }

    /// Stops runs that would end sooner elsewhere, as far as other workers have room for them.
    fn move_off_slow(&mut self, key: WorkerKey, projections: &[RunProjection], now: Millis) {
        for projection in projections {
            let cost_ms = self.elsewhere_ms(projection) + self.options.max_stop_ms + MOVE_COST_MS;
            if projection.left_ms() * 100 > cost_ms * MIN_MOVE_GAIN_PERCENT
                && self.try_take_move(projection.place, key, now)
            {
                self.stop_run(key, projection.task, projection.run, StopReason::Slow, now);
            }
        }
    }

    /// Returns the expected time for the rest of a run on another worker.
    fn elsewhere_ms(&self, projection: &RunProjection) -> u64 {
        let UnitRef { job, step, unit } = projection.place;
        let of_step = &self.jobs[job].steps[step];
        let median_ms = of_step.median_ms(&[unit]);
        let total_ms = median_ms.unwrap_or_else(|| {
            if self.places_by_speed() {
                self.expected_median_ms(job, step)
            } else {
                of_step.spec.estimate_ms
            }
        });
        total_ms * projection.elsewhere_percent / 100
    }

    /// Counts a move of a task if it may move once more and another worker has room for it. Returns whether it did.
    fn try_take_move(&mut self, place: UnitRef, from: WorkerKey, now: Millis) -> bool {
        let UnitRef { job, step, .. } = place;
        let of_step = &self.jobs[job].steps[step];
        let need = of_step.spec.reserved_resources();
        let label = of_step.spec.required_label.as_ref();
        let eligible = self.eligible_workers(label, &self.jobs[job], now);
        let mut others = eligible.into_iter().filter(|key| *key != from);
        let has_room = others.any(|key| fit_count(&self.workers[key].available(), &need, 1) == 1);
        let unit = self.unit_mut(place);
        if !has_room || unit.moves >= MOVES_PER_TASK_LIMIT {
            return false;
        }
        unit.moves += 1;
        true
    }
}

/// Converts the logarithm of a factor to a percentage.
fn percent_of(log: f64) -> u64 {
    let factor = std::time::Duration::from_secs(100).mul_f64(log.exp().clamp(0.0, 1_000.0));
    factor.as_secs()
}
