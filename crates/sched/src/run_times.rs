//! Learns the speeds of workers and the durations of runs from reports, and predicts run times from them.

use std::time::Duration;

use syc_types::Millis;

use crate::Run;
use crate::Scheduler;
use crate::TaskId;
use crate::WorkerKey;
use crate::WorkerNote;
use crate::durations::Ratio;
use crate::ids::JobKey;
use crate::speed::PAIR_WEIGHT;
use crate::speed::QUEUE_WEIGHT;
use crate::speed::SpeedClass;
use crate::speed::to_f64;
use crate::unit::UnitState;
use crate::worker::Phase;
use crate::worker::WorkerRun;

/// Minimum progress of a running task, in percent, from which its run time is projected. Progress is reported in whole
/// percent, so the projection is then off by at most 10%.
const MIN_PROGRESS_PERCENT: u8 = 10;

/// Shortest run time that says something about a worker, because reports arrive with some delay.
const MIN_RUN_MS: u64 = 200;

/// Maximum number of log events about changed speeds for each comparison.
const NOTES_LIMIT: usize = 16;

/// Number of workers by learned speed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedCounts {
    /// Workers about which too little is known.
    pub unknown: usize,
    /// Workers that are about as fast as the median one, or faster.
    pub normal: usize,
    /// Workers that are permanently slow.
    pub slow: usize,
    /// Longest time for which a worker has been slow.
    pub longest_slow_ms: u64,
}

impl WorkerRun {
    /// Returns whether its run time depends on its worker alone.
    ///
    /// The members of a gang end with the slowest of them, long-running tasks never end, and runs that fill unused
    /// processor time get whatever is left.
    const fn shows_speed(&self) -> bool {
        !self.gang && !self.long_running && !self.fills()
    }

    /// Returns its whole run time if it ended as done now, or `None` if that is unknown.
    fn whole_run_ms(&self, now: Millis) -> Option<u64> {
        if self.long_running || self.fills() {
            return None;
        }
        let run_ms = if self.resumed {
            let (from, percent) = self.progress_baseline?;
            now.since(from) * 100 / u64::from(100 - percent.min(99))
        } else {
            now.since(self.confirmed_at?)
        };
        (run_ms >= MIN_RUN_MS).then_some(run_ms)
    }

    /// Returns its run time projected from its progress, or `None` if that says too little yet.
    fn projected_run_ms(&self, now: Millis) -> Option<u64> {
        let (from, from_percent) = if self.resumed {
            self.progress_baseline?
        } else {
            (self.confirmed_at?, 0)
        };
        let elapsed_ms = now.since(from);
        let done = self.percent.saturating_sub(from_percent);
        let is_running = self.phase == Phase::Running && self.percent < 100;
        if !is_running || done < MIN_PROGRESS_PERCENT || elapsed_ms < MIN_RUN_MS {
            return None;
        }
        // On average half of the next percent is done.
        Some(elapsed_ms * 200 / (u64::from(done) * 2 + 1))
    }
}

impl Scheduler {
    /// Learns from the progress of the runs on a worker.
    pub(crate) fn learn_from_progress(&mut self, key: WorkerKey, now: Millis) {
        let mut projected = Vec::new();
        for ((task, _), held) in &mut self.workers[key].runs {
            if held.is_compared || !held.shows_speed() {
                continue;
            }
            if let Some(run_ms) = held.projected_run_ms(now) {
                held.is_compared = true;
                projected.push((*task, run_ms));
            }
        }
        for (task, run_ms) in projected {
            self.learn_speed(key, task, run_ms, now);
        }
    }

    /// Learns from a run that ended as done. To be called before the end is applied to the run's unit.
    pub(crate) fn learn_from_end(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        held: &WorkerRun,
        now: Millis,
    ) {
        let Some(run_ms) = held.whole_run_ms(now) else {
            return;
        };
        if held.shows_speed() && !held.is_compared {
            self.learn_speed(key, task, run_ms, now);
        }
        self.learn_duration(key, task, run_ms, now);
    }

    /// Compares a run time with those of other tasks of the step, or if there are none with what the step's queue takes
    /// for its estimate.
    fn learn_speed(&mut self, key: WorkerKey, task: TaskId, run_ms: u64, now: Millis) {
        let Some((job, step, _unit, _member)) = self.locate_task(task) else {
            return;
        };
        if self.is_outside_data_rack(key, job, step) {
            return;
        }
        let log = to_f64(run_ms).ln();
        let of_step = &mut self.jobs[job].steps[step];
        let peers = of_step.run_times.add(key, log);
        if peers.is_empty() {
            self.compare_with_queue(key, job, step, log, now);
        }
        for peer in peers {
            let Some(other) = self.workers.get_mut(peer.worker) else {
                continue;
            };
            let faster = peer.log - log;
            if peer.counts {
                other.speed.add(Some(key), -faster, PAIR_WEIGHT, now);
            }
            let speed = &mut self.workers[key].speed;
            speed.add(Some(peer.worker), faster, PAIR_WEIGHT, now);
        }
    }

    fn compare_with_queue(
        &mut self,
        key: WorkerKey,
        job: JobKey,
        step: usize,
        log: f64,
        now: Millis,
    ) {
        let Some(ratio) = self.queue_ratio(job, step) else {
            return;
        };
        let estimate_ms = self.jobs[job].steps[step].spec.estimate_ms;
        let expected_log = (to_f64(estimate_ms) * ratio.median).ln();
        let speed = &mut self.workers[key].speed;
        speed.add(None, expected_log - log, QUEUE_WEIGHT, now);
    }

    /// Learns how long the runs of a queue take compared with their estimates. A gang counts once, at the speed of its
    /// slowest member.
    fn learn_duration(&mut self, key: WorkerKey, task: TaskId, run_ms: u64, now: Millis) {
        let Some((job, step, unit, member)) = self.locate_task(task) else {
            return;
        };
        let of_step = &self.jobs[job].steps[step];
        if of_step.spec.estimate_ms == 0 || self.is_outside_data_rack(key, job, step) {
            return;
        }
        let mut log = self.workers[key].speed.relative_log();
        if of_step.spec.gang {
            let UnitState::Placed { members, .. } = &of_step.units[unit].state else {
                return;
            };
            if member != 0 || members.iter().any(Option::is_none) {
                return;
            }
            let others = members.iter().flatten();
            let others = others.filter_map(|key| self.workers.get(*key));
            log = others.fold(log, |log, worker| log.min(worker.speed.relative_log()));
        }
        let ratio = to_f64(run_ms) * log.exp() / to_f64(of_step.spec.estimate_ms);
        let position = position_of(&self.jobs[job], step);
        let queue = self.jobs[job].spec.policy.queue.clone();
        self.durations.add(&queue, position, ratio, now);
    }

    fn is_outside_data_rack(&self, key: WorkerKey, job: JobKey, step: usize) -> bool {
        let rack = self.jobs[job].steps[step].spec.data_rack.as_ref();
        rack.is_some_and(|rack| self.workers[key].spec.rack.as_str() != rack.as_str())
    }

    fn queue_ratio(&self, job: JobKey, step: usize) -> Option<Ratio> {
        let job = &self.jobs[job];
        self.durations
            .ratio(&job.spec.policy.queue, position_of(job, step))
    }

    /// Compares the speeds of all workers if that is due, and logs which became slow or are no longer slow.
    pub(crate) fn compare_speeds(&mut self, now: Millis) {
        if !self.speeds.begin_if_due(now) {
            return;
        }
        let workers = self.workers.iter_mut();
        let compared = workers.map(|(key, worker)| {
            let group = (worker.spec.rack.clone(), worker.spec.labels.clone());
            (key, group, &mut worker.speed)
        });
        let changed = self.speeds.compare(compared.collect(), now);
        for key in changed.into_iter().take(NOTES_LIMIT) {
            let worker = &self.workers[key];
            let note = worker.note(WorkerNote::SpeedChanged {
                is_slow: worker.speed.is_slow(),
                speed_percent: to_ms(100.0 * worker.speed.relative_log().exp()),
            });
            self.actions.push(note);
        }
    }

    /// Returns the speed of a worker relative to the median one, or `None` if too little is known.
    #[must_use]
    pub fn learned_speed(&self, worker: WorkerKey) -> Option<f64> {
        self.workers.get(worker)?.speed.relative()
    }

    /// Returns the number of workers by learned speed.
    #[must_use]
    pub fn speed_counts(&self, now: Millis) -> SpeedCounts {
        let mut counts = SpeedCounts::default();
        for worker in self.workers.values() {
            let slow_ms = worker.speed.slow_since().map(|since| now.since(since));
            counts.longest_slow_ms = counts.longest_slow_ms.max(slow_ms.unwrap_or(0));
            match worker.speed.class() {
                SpeedClass::Unknown => counts.unknown += 1,
                SpeedClass::Normal => counts.normal += 1,
                SpeedClass::Slow => counts.slow += 1,
            }
        }
        counts
    }

    /// Returns the median error of the predicted run times of each queue's first step, in thousandths.
    #[must_use]
    pub fn duration_errors(&self) -> Vec<(smol_str::SmolStr, u64)> {
        self.durations.median_errors()
    }

    /// Returns the median run time of a step's tasks at the median worker's speed, if enough are known.
    fn step_median_ms(&self, job: JobKey, step: usize) -> Option<f64> {
        let speed_log = |key| Some(self.workers.get(key)?.speed.relative_log());
        let median = self.jobs[job].steps[step].run_times.median(speed_log);
        median.map(f64::exp)
    }

    /// Returns the expected run time of a step's task on the median worker.
    pub(crate) fn expected_median_ms(&self, job: JobKey, step: usize) -> u64 {
        to_ms(self.expected_median(job, step))
    }

    fn expected_median(&self, job: JobKey, step: usize) -> f64 {
        if let Some(median_ms) = self.step_median_ms(job, step) {
            return median_ms;
        }
        let ratio = self.queue_ratio(job, step).unwrap_or(Ratio::DECLARED);
        to_f64(self.jobs[job].steps[step].spec.estimate_ms) * ratio.median
    }

    /// Returns the expected run time of a step's task on a worker.
    pub(crate) fn expected_run_ms(&self, job: JobKey, step: usize, worker: WorkerKey) -> u64 {
        let speed = self.workers[worker].speed.relative_log().exp();
        to_ms(self.expected_median(job, step) / speed)
    }

    /// Returns the expected time until a run ends, from its progress if that is known. Returns `None` for a run that
    /// the worker does not hold or that does not end by itself.
    #[must_use]
    pub fn expected_remaining_ms(
        &self,
        worker: WorkerKey,
        (task, run): (TaskId, Run),
        now: Millis,
    ) -> Option<u64> {
        let held = self.workers.get(worker)?.runs.get(&(task, run))?;
        if held.long_running || held.fills() {
            return None;
        }
        if let Some(total_ms) = held.projected_run_ms(now) {
            let since_ms = now.since(held.percent_at);
            let left_ms = total_ms * u64::from(100 - held.percent.min(100)) / 100;
            return Some(left_ms.saturating_sub(since_ms));
        }
        let (job, step, _unit, _member) = self.locate_task(task)?;
        let whole_ms = self.expected_run_ms(job, step, worker);
        let left_ms = whole_ms * u64::from(100 - held.percent.min(100)) / 100;
        let since = held.confirmed_at.unwrap_or(now).max(held.percent_at);
        Some(left_ms.saturating_sub(now.since(since)))
    }

    /// Returns whether a task of a step that starts now ends within the job's objective, with a margin for the error
    /// of its estimate, at a speed given as a logarithm. Steps after it are expected to take what they declare.
    pub(crate) fn ends_in_time(
        &self,
        job: JobKey,
        step: usize,
        speed_log: f64,
        now: Millis,
    ) -> bool {
        let of_job = &self.jobs[job];
        let of_step = &of_job.steps[step];
        let passed_ms = now.since(of_job.objective_from(step));
        let later_ms = chain_after_ms(of_job, step);
        let left_ms = of_job
            .objective_ms
            .saturating_sub(passed_ms)
            .saturating_sub(later_ms);
        let ratio = self.queue_ratio(job, step).unwrap_or(Ratio::DECLARED);
        let declared_ms = to_f64(of_step.spec.estimate_ms) * ratio.p90;
        let median = self.step_median_ms(job, step);
        median.unwrap_or(declared_ms) / speed_log.exp() <= to_f64(left_ms)
    }
}

/// Returns the position of a step within its occurrence.
fn position_of(job: &crate::job::Job, step: usize) -> u16 {
    job.step_id(step).step
}

/// Returns the declared run time of the longest chain of steps after a step.
fn chain_after_ms(job: &crate::job::Job, step: usize) -> u64 {
    let position = usize::from(position_of(job, step));
    let mut ends_ms = vec![None; job.spec.steps.len()];
    if let Some(end_ms) = ends_ms.get_mut(position) {
        *end_ms = Some(0);
    }
    for (index, spec) in job.spec.steps.iter().enumerate().skip(position + 1) {
        let before = spec
            .after
            .iter()
            .map(|after| ends_ms.get(usize::from(*after)));
        let latest_ms = before.flatten().flatten().max().copied();
        ends_ms[index] = latest_ms.map(|begin_ms: u64| begin_ms.saturating_add(spec.estimate_ms));
    }
    ends_ms.into_iter().flatten().max().unwrap_or(0)
}

/// Converts a time to whole milliseconds, at most a year.
fn to_ms(time_ms: f64) -> u64 {
    const YEAR_MS: f64 = 3.2e10;
    Duration::from_secs_f64(time_ms.clamp(0.0, YEAR_MS)).as_secs()
}
