//! Periodic checks for expired leases, unanswered orders, stalled runs and failing workers.

use syc_types::Millis;

use crate::Scheduler;
use crate::StopReason;
use crate::WorkerKey;
use crate::reports::status_note;
use crate::worker::Phase;

/// Largest number of times that the quarantine of a worker is doubled.
const QUARANTINE_DOUBLINGS: u32 = 3;

impl Scheduler {
    /// Performs all periodic checks.
    pub(crate) fn tick(&mut self, now: Millis) {
        self.record_held_ends(now);
        self.try_complete_recovery(now);
        self.discard_orphans(now);
        self.expire_misdirected(now);
        let max_lease_ms = self.options.max_lease_ms;
        self.unsettled_starts.expire(max_lease_ms, now);
        self.update_headroom_level();
        self.log_rates(now);
        self.compare_speeds(now);
        let mut keys: Vec<_> = self.workers.keys().collect();
        // The first worker may use up the retry budget of the cell, so the order rotates.
        let turn = usize::try_from(now.0).unwrap_or(0) % keys.len().max(1);
        keys.rotate_left(turn);
        for key in keys {
            self.retry_orders(key, now);
            self.check_progress(key, now);
            self.check_in_doubt_orders(key, now);
            self.expire_lease(key, now);
        }
        self.release_ends_of_ended_jobs(now);
        self.record_drains();
        self.check_consistency(now);
        self.time_out_advice_calls(now);
        self.advance_waves(now);
        self.balance_pools(now);
        self.forget_expired_jobs(now);
    }

    /// Ends the runs of a silent worker once its lease has expired for certain.
    ///
    /// A worker that answers reports what ended before its withheld lease expired, see [`Scheduler::renewed`].
    pub(crate) fn expire_lease(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.silent && worker.leases_expire_at <= now {
            self.expire_runs(key, now);
        }
        self.detach_if_idle(key, now);
    }

    /// Stops stalled runs and quarantines their worker.
    fn check_progress(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.silent {
            return;
        }
        let mut stalled = Vec::new();
        for ((task, run), run_state) in &worker.runs {
            if run_state.phase != Phase::Running || run_state.percent >= 100 {
                continue;
            }
            let still_ms = now.since(run_state.percent_at);
            if still_ms > self.stall_timeout_ms(task.step) && worker.last_answer_at.plus(500) > now
            {
                stalled.push((*task, *run));
            }
        }
        if stalled.is_empty() {
            return;
        }
        for (task, run) in stalled {
            if let Some((job, step, unit, _member)) = self.locate_task(task) {
                let unit = &mut self.jobs[job].steps[step].units[unit];
                if !unit.avoided_workers.contains(&key) {
                    unit.avoided_workers.push(key);
                }
            }
            self.stop_run(key, task, run, StopReason::Stalled, now);
        }
        self.quarantine(key, "stalls", now);
    }

    /// Returns how long a run of a step may show no progress.
    ///
    /// Progress is reported in steps of one percent of the work, and estimates may be off by half or more.
    fn stall_timeout_ms(&self, step: crate::StepId) -> u64 {
        let job = self.job_keys.get(&step.job).map(|key| &self.jobs[*key]);
        let step_spec = job.and_then(|job| job.spec.steps.get(usize::from(step.step)));
        // A backfill run may legitimately get no CPU for a while.
        if step_spec.is_some_and(|spec| spec.long_running || spec.fills) {
            return u64::MAX;
        }
        let estimate_ms = step_spec.map_or(0, |step| step.estimate_ms);
        self.options.stall_timeout_ms + estimate_ms / 10
    }

    /// Quarantines a worker after several consecutive failed runs.
    pub(crate) fn quarantine_if_failing(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.consecutive_failures < self.options.run_failures_limit {
            return;
        }
        self.workers[key].consecutive_failures = 0;
        self.quarantine(key, "fails", now);
    }

    fn quarantine(&mut self, key: WorkerKey, why: &'static str, now: Millis) {
        let worker = &mut self.workers[key];
        if worker.quarantined_until > now {
            return;
        }
        let times = 1_u64 << worker.quarantines.min(QUARANTINE_DOUBLINGS);
        worker.quarantines += 1;
        worker.quarantined_until = now.plus(self.options.quarantine_ms * times);
        let note = status_note(worker, why, now);
        self.actions.push(note);
    }

    /// Stops the checkpointed runs of a worker that is about to leave, so that they continue elsewhere.
    pub(crate) fn evacuate_draining_worker(&mut self, key: WorkerKey, now: Millis) {
        let note = status_note(&self.workers[key], "draining", now);
        self.actions.push(note);
        let mut moves = Vec::new();
        for ((task, run), run_state) in &self.workers[key].runs {
            if run_state.checkpointed && run_state.phase == Phase::Running {
                moves.push((*task, *run));
            }
        }
        for (task, run) in moves {
            self.stop_run(key, task, run, StopReason::Draining, now);
        }
    }
}
