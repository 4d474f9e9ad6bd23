//! Workers that run slow while they look sound: found by how far their runs come beside others of the
//! same step elsewhere, and gone round.
//!
//! Estimates are too rough to tell a slow worker from a long task. Tasks of one step are alike, so that
//! one which takes three times as long as most of the others tells of its worker.

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
use crate::units::UnitRef;
use crate::worker::Phase;
use crate::worker::WorkerRun;
use crate::worker::fit_count;

/// A run says something after it has been listed for this long: reports come a little late.
const MIN_OBSERVATION_MS: u64 = 200;

/// Tasks of the same step elsewhere that a run is compared with, at least.
const MIN_PEERS: usize = 3;

/// Tasks that a run is compared with, at most: they are sorted at each report, and a step may have 10,000.
const PEERS_LIMIT: usize = 64;

/// A worker counts as slow from this factor on, in the geometric mean over its steps and one more with factor
/// 1: the fewer steps say so, the more is asked of them.
const MIN_MEAN_FACTOR: f64 = 1.75;

/// Each step has to show at least this factor: a slow worker is slow for all.
const MIN_STEP_FACTOR: f64 = 1.7;

/// A worker that is slow gets nothing new for this long: then a few runs show whether it still is.
const SLOW_QUARANTINE_MS: u64 = 4_000;

/// At most this share of the workers is gone round as slow, in hundredths: where more seem so, it is
/// something else.
const SLOW_WORKERS_PERCENT_LIMIT: usize = 30;

/// What a run that goes elsewhere loses at least, beside the stop: the new start, and what is restored.
const MOVE_COST_MS: u64 = 700;

/// It moves only where it would end this much sooner, in hundredths of the time elsewhere.
const MIN_MOVE_GAIN_PERCENT: u64 = 120;

/// A task is moved this often at most.
const MOVES_PER_TASK_LIMIT: u32 = 2;

/// How slow a worker is, as a logarithm, and by how many steps.
#[derive(Debug, Clone, Copy)]
struct Slowness {
    log: f64,
    steps: usize,
    least: (StepId, f64),
}

/// A run on a slow worker, and the time that it still needs there.
#[derive(Debug, Clone, Copy)]
struct RunProjection {
    task: TaskId,
    run: Run,
    place: UnitRef,
    total_ms: u64,
    /// What is left of it, and what of it would be elsewhere, in hundredths.
    left_percent: u64,
    elsewhere_percent: u64,
}

impl RunProjection {
    const fn left_ms(&self) -> u64 {
        self.total_ms * self.left_percent / 100
    }
}

/// Judges by how much longer than elsewhere each step's tasks take whether a worker is slow.
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
    /// Returns the time that most tasks take, beside those at some positions; none where too few tell.
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
    /// Returns the time that it takes as a whole at the speed seen so far; none while that is not
    /// known, or says nothing of its worker: members of gangs go as slow as the slowest, what lasts
    /// never ends, what fills gets what is left.
    fn total_ms(&self, now: Millis) -> Option<u64> {
        let (from, from_percent) = self.progress_baseline?;
        let elapsed_ms = now.since(from);
        let is_comparable = !self.gang && !self.long_running && !self.fills();
        if self.phase != Phase::Running || !is_comparable || elapsed_ms < MIN_OBSERVATION_MS {
            return None;
        }
        // The next percent may be all but done.
        let done = u64::from(self.percent.saturating_sub(from_percent)) + 1;
        Some(elapsed_ms * 100 / done)
    }
}

impl Scheduler {
    /// Judges by its runs whether a worker is slow; if it is, nothing new goes there for a while, and what
    /// is better off elsewhere moves.
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
            if let Some(log) = self.step_slowness(&projections) {
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

    /// Remembers how long each run of a worker takes, and returns it.
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

    /// Returns how much longer tasks of a step take on a worker than elsewhere, as a logarithm; the
    /// fastest counts, since a slow worker is slow for all.
    fn step_slowness(&self, projections: &[RunProjection]) -> Option<f64> {
        let place = projections.first()?.place;
        let of_step = &self.jobs[place.job].steps[place.step];
        if of_step.spec.data_rack.is_some() {
            // How long a task takes depends on where it is.
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
        Some((to_f64(fastest_ms) / to_f64(median_ms.max(1))).ln())
    }

    /// Gives a slow worker nothing new for a while.
    fn quarantine_slow(&mut self, key: WorkerKey, slowness: Slowness, now: Millis) {
        let worker = &mut self.workers[key];
        let until = now.plus(SLOW_QUARANTINE_MS);
        let is_news = worker.slow_until <= now;
        worker.slow_until = until;
        worker.quarantined_until = worker.quarantined_until.max(until);
        if is_news {
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

    /// Says whether so many other workers are gone round as slow that it must be something else.
    fn too_many_slow(&self, key: WorkerKey, now: Millis) -> bool {
        let others = self.workers.iter().filter(|(other, _)| *other != key);
        let slow = others.filter(|(_, worker)| worker.slow_until > now).count();
        slow * 100 >= self.workers.len() * SLOW_WORKERS_PERCENT_LIMIT
    }

    /// Stops what would end sooner elsewhere, as far as there is room.
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

    /// Returns the time that the rest of a run should take on another worker.
    fn elsewhere_ms(&self, projection: &RunProjection) -> u64 {
        let UnitRef { job, step, unit } = projection.place;
        let of_step = &self.jobs[job].steps[step];
        let median_ms = of_step.median_ms(&[unit]);
        let total_ms = median_ms.unwrap_or(of_step.spec.estimate_ms);
        total_ms * projection.elsewhere_percent / 100
    }

    /// Says whether a task may move once more, and others have room for it.
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

/// Returns a factor in hundredths.
fn percent_of(log: f64) -> u64 {
    let factor = std::time::Duration::from_secs(100).mul_f64(log.exp().clamp(0.0, 1_000.0));
    factor.as_secs()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "times of runs are far below what a float holds exactly"
)]
const fn to_f64(time_ms: u64) -> f64 {
    time_ms as f64
}
