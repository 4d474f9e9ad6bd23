//! Applies the reports of workers: runs that are confirmed, ended, lost, adopted or unwanted.

use std::collections::BTreeSet;

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::EndReport;
use crate::JobId;
use crate::JobState;
use crate::LatestRun;
use crate::LeaseBasis;
use crate::Note;
use crate::Run;
use crate::RunEnd;
use crate::RunningReport;
use crate::Scheduler;
use crate::StepSpec;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::WorkerNote;
use crate::WorkerReport;
use crate::WorkerSpec;
use crate::WriteOffReason;
use crate::crash_history::Probation;
use crate::drain_record::DrainRecord;
use crate::orphans::RunReport;
use crate::orphans::UNKNOWN_CHANGE;
use crate::run_ends::RunTermination;
use crate::unit::UnitState;
use crate::worker::CpuShare;
use crate::worker::Phase;
use crate::worker::UnacknowledgedEnd;
use crate::worker::Worker;
use crate::worker::WorkerRun;

/// Time within which all members of a completed gang end by themselves.
const GANG_END_GRACE_MS: u64 = 1_000;

impl Scheduler {
    pub(crate) fn worker_listed(&mut self, spec: WorkerSpec, now: Millis) {
        if let Some(key) = self.worker_keys.get(&spec.id).copied() {
            let worker = &mut self.workers[key];
            let begins_draining = spec.draining && !worker.spec.draining;
            worker.registered = true;
            worker.spec = spec;
            if !worker.spec.draining {
                worker.drain_record = DrainRecord::Incomplete;
            }
            worker.capacity_reported_at = now;
            worker.stale_capacity = None;
            if begins_draining {
                self.evacuate_draining_worker(key, now);
            }
            return;
        }
        let id = spec.id.clone();
        let mut worker = Worker::new(spec.clone(), now);
        // A predecessor may have renewed its lease.
        let inherited_until = self.recovery.inherited_leases_expire_at(now);
        worker.extend_leases(inherited_until, LeaseBasis::TakeoverBound);
        let key = self.workers.insert(worker);
        self.worker_keys.insert(id, key);
        self.actions.push(Action::Attach { worker: key, spec });
        self.resolve_misdirected(now);
    }

    pub(crate) fn worker_unlisted(&mut self, id: &WorkerId, now: Millis) {
        let Some(key) = self.worker_keys.get(id).copied() else {
            return;
        };
        self.workers[key].registered = false;
        self.detach_if_idle(key, now);
    }

    /// Detaches a worker that is no longer registered and holds no runs.
    ///
    /// A draining worker that is silent and no longer registered has probably left, but may also be cut off. Runs that may
    /// be on it are therefore given up only once its lease has expired. During a takeover, these are the recorded ones if
    /// the predecessor had recorded all of them, and otherwise any run that it may have started.
    pub(crate) fn detach_if_idle(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.registered || !worker.runs.is_empty() {
            return;
        }
        let lease_end = if worker.runs_known {
            worker.leases_expire_at
        } else {
            self.unheard_leases_expire_at(worker)
        };
        let lapsed = lease_end <= now;
        let has_all_ends = worker.all_ends_reported_at >= worker.last_answer_at;
        let is_known_idle = worker.runs_known && has_all_ends;
        let is_recorded_idle = worker.silent && worker.drain_record == DrainRecord::Recorded;
        if lapsed || worker.spec.draining && (is_known_idle || is_recorded_idle) {
            self.detach(key, now);
        }
    }

    pub(crate) fn detach(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.worker_keys.remove(&worker.spec.id);
        let id = worker.spec.id;
        let late_until = now.plus(self.options.late_call_ms);
        self.unsettled_starts.life_ended(&id, late_until);
        self.recovery.worker_gone(&id);
        self.actions.push(Action::Detach { worker: key });
        let is_kept = !worker.runs_known && self.recovery.keep_in_roster(&id);
        if !is_kept && !self.may_reach_next_life(&id) {
            self.actions.push(Action::ForgetWorker(id));
        }
    }

    pub(crate) fn renewing(&mut self, key: WorkerKey, now: Millis) {
        self.extend_lease(key, LeaseBasis::OwnRenewal, now);
    }

    /// Records that a lease is set on a worker by an order that is sent now.
    pub(crate) fn extend_lease(&mut self, key: WorkerKey, basis: LeaseBasis, now: Millis) {
        let bound_ms = self.options.lease_bound_ms;
        let list_readable_ms = self.registrations.readable_ms;
        if let Some(worker) = self.workers.get_mut(key) {
            worker.list_readable_at_lease_ms = list_readable_ms;
            worker.extend_leases(now.plus(bound_ms), basis);
        }
    }

    pub(crate) fn renewal_failed(&mut self, key: WorkerKey, now: Millis) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !worker.silent {
            worker.silent = true;
            worker.silent_since = now;
            let note = status_note(worker, "silent", now);
            self.actions.push(note);
            self.note_silence_on_probation(key);
        }
        self.expire_lease(key, now);
    }

    pub(crate) fn replaced(&mut self, key: WorkerKey, now: Millis) {
        if !self.workers.contains_key(key) {
            return;
        }
        self.record_worker_crash(key, now);
        let id = self.workers[key].spec.id.clone();
        self.unsettled_starts.worker_replaced(&id);
        self.lose_runs(key, WriteOffReason::Replaced, now);
        self.detach(key, now);
    }

    /// Treats everything that ran on a worker as ended without a result.
    pub(crate) fn lose_runs(&mut self, key: WorkerKey, reason: WriteOffReason, now: Millis) {
        let runs = self.workers[key].runs.keys().copied().collect();
        self.lose(key, runs, reason, now);
    }

    fn lose(
        &mut self,
        key: WorkerKey,
        runs: Vec<(TaskId, Run)>,
        reason: WriteOffReason,
        now: Millis,
    ) {
        if !runs.is_empty() {
            let note = lost_note(&self.workers[key], &runs, reason.as_str(), now);
            self.actions.push(note);
        }
        for (task, run) in runs {
            self.end_run(key, task, run, RunTermination::inferred(reason), now);
        }
    }

    /// Treats everything that ran on a worker as ended because its leases have certainly expired.
    pub(crate) fn expire_runs(&mut self, key: WorkerKey, now: Millis) {
        let worker = &self.workers[key];
        if worker.silent && !worker.registered && worker.runs_known {
            self.record_worker_crash(key, now);
        }
        self.set_starts_on_unheard_life_aside(key, now);
        self.lose_runs(key, WriteOffReason::LeaseLapsed, now);
    }

    pub(crate) fn renewed(
        &mut self,
        key: WorkerKey,
        sent_at: Millis,
        report: &WorkerReport,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let was_silent = worker.silent;
        if was_silent {
            worker.silent = false;
            worker.breaker.probe_immediately(now);
            let note = status_note(worker, "answers", now);
            self.actions.push(note);
            self.mark_capacity_stale(key, now);
        }
        if !self.workers[key].runs_known {
            self.bound_leases_at_first_answer(key, now);
        }
        let worker = &mut self.workers[key];
        worker.confirm_acknowledgement();
        worker.runs_known = true;
        worker.last_answer_at = now;
        let id = worker.spec.id.clone();
        for ended in &report.ended {
            self.handle_reported_end(key, ended, now);
        }
        for running in &report.running {
            self.handle_reported_run(key, running, now);
            if was_silent {
                self.forget_silence((running.task, running.run));
            }
        }
        self.end_missing_runs(key, sent_at, report, now);
        self.unsettled_starts.worker_reported(&id, sent_at);
        let mut was_last = false;
        if !report.has_more_ends {
            self.workers[key].all_ends_reported_at = now;
            self.expire_withheld_lease(key, sent_at, report, now);
            was_last = self.recovery.worker_reported(&id);
        }
        self.adjust_backfill_pace(key, now);
        self.learn_from_progress(key, now);
        self.check_slowness(key, now);
        if was_last {
            self.try_complete_recovery(now);
        }
    }

    /// Ends the runs of a worker whose lease is withheld and that it does not list as running, if the lease had expired for
    /// certain when the worker was asked for its report.
    fn expire_withheld_lease(
        &mut self,
        key: WorkerKey,
        sent_at: Millis,
        report: &WorkerReport,
        now: Millis,
    ) {
        let worker = &self.workers[key];
        if !worker.breaker.withholds_lease || worker.leases_expire_at > sent_at {
            return;
        }
        let listed = listed_runs(report);
        let names = worker.runs.keys().copied();
        let unlisted = names.filter(|name| !listed.contains(name)).collect();
        self.lose(key, unlisted, WriteOffReason::LeaseLapsed, now);
    }

    /// Records that a worker has reported a run of a job.
    ///
    /// An order alone does not count: its worker may be unreachable, and then the job is still waiting.
    pub(crate) fn mark_job_started(&mut self, id: JobId, now: Millis) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            return;
        };
        if self.jobs[key].has_started {
            return;
        }
        self.jobs[key].mark_started();
        self.compare_wait(key, now);
        self.started_since_recorded.insert(key);
    }

    fn handle_reported_end(&mut self, key: WorkerKey, ended: &EndReport, now: Millis) {
        let worker = &mut self.workers[key];
        if ended.number <= worker.handled_end {
            return;
        }
        worker.handled_end = ended.number;
        self.settle_by_end(key, ended);
        let job_id = ended.task.step.job;
        if self.hold_orphan(key, RunReport::Ended(ended.clone()), now) {
            self.workers[key].remove(ended.task, ended.run);
        } else {
            self.mark_job_started(job_id, now);
            if let Some(held) = self.workers[key].runs.get(&(ended.task, ended.run)) {
                self.clear_step(ended.task, held.held_since);
            } else {
                self.unsettled_starts
                    .inherited_run_listed(ended.task, ended.run);
                self.note_listed_end(key, ended, now);
            }
            self.end_run(key, ended.task, ended.run, RunTermination::from(ended), now);
        }
        let is_done = ended.end == RunEnd::Done;
        let settles = self.scope_of_end(ended);
        let change = if self.is_end_withheld(ended.task, is_done, now) {
            UNKNOWN_CHANGE
        } else {
            self.change_covering_end(job_id)
        };
        self.workers[key]
            .unacknowledged
            .push_back(UnacknowledgedEnd {
                number: ended.number,
                job: job_id,
                task: ended.task,
                is_done,
                settles,
                change,
            });
    }

    fn handle_reported_run(&mut self, key: WorkerKey, listed: &RunningReport, now: Millis) {
        let worker = &mut self.workers[key];
        let id = &worker.spec.id;
        self.unsettled_starts.listed(listed.task, listed.run, id);
        let Some(held_run) = worker.runs.get_mut(&(listed.task, listed.run)) else {
            self.adopt_or_stop(key, listed, now);
            return;
        };
        let was_in_doubt = held_run.phase == Phase::Starting;
        let ordered_at = held_run.ordered_at;
        if was_in_doubt {
            held_run.phase = Phase::Running;
        }
        let is_news = held_run.confirmed_at.is_none();
        held_run.confirmed_at.get_or_insert(now);
        held_run.record_progress(listed.percent, now);
        if held_run.checkpoint != listed.checkpoint {
            held_run.checkpoint = listed.checkpoint.clone();
        }
        self.update_load(key, listed);
        self.update_probation(key, (listed.task, listed.run), now);
        if was_in_doubt {
            self.order_accepted(key, ordered_at, now);
        }
        if is_news {
            self.mark_job_started(listed.task.step.job, now);
        }
        let held_run = &self.workers[key].runs[&(listed.task, listed.run)];
        let stopped_long = now.since(held_run.ordered_at) > self.options.max_stop_ms * 2;
        if held_run.phase == Phase::Stopping && held_run.stop_accepted_at.is_some() && stopped_long
        {
            self.send_stop(key, listed.task, listed.run, StopReason::Unwanted, now);
        } else if held_run.phase == Phase::Running && !self.is_wanted(listed.task, listed.run, now)
        {
            self.stop_run(key, listed.task, listed.run, StopReason::Unwanted, now);
        }
    }

    fn is_wanted(&self, task: TaskId, run: Run, now: Millis) -> bool {
        if self.ends_by_itself(task, now) || self.is_orphan(task, run) {
            return true;
        }
        let Some((job, step, unit, _member)) = self.locate_task(task) else {
            return false;
        };
        let job = &self.jobs[job];
        let same = match &job.steps[step].units[unit].state {
            UnitState::Placed { run: placed, .. } => *placed == run,
            // The members of a completed gang soon end by themselves.
            UnitState::Recording { .. } => true,
            _ => false,
        };
        same && !job.state.is_terminal()
    }

    /// Returns whether a run belongs to a job that has just completed. The members of a gang end within
    /// milliseconds of each other and need not be stopped.
    fn ends_by_itself(&self, task: TaskId, now: Millis) -> bool {
        let Some(key) = self.job_keys.get(&task.step.job) else {
            return false;
        };
        let job = &self.jobs[*key];
        let ended_at = job.ended_at.filter(|_| job.state == JobState::Completed);
        ended_at.is_some_and(|at| now.since(at) <= GANG_END_GRACE_MS)
    }

    /// Ends the runs that are missing from a worker's report.
    ///
    /// A report can be older than the answer to an order, so only runs that the worker knew of when the renewal was
    /// sent are considered.
    ///
    /// If the report leaves out ends, a missing run may be among them. If it were presumed lost, a task that is done would
    /// be started again. Only runs of units that are done anyway end then: how they ended does not matter, and the worker
    /// may list their ends only after earlier ones are acknowledged, which may wait for them.
    fn end_missing_runs(
        &mut self,
        key: WorkerKey,
        sent_at: Millis,
        report: &WorkerReport,
        now: Millis,
    ) {
        let listed = listed_runs(report);
        let mut absent = Vec::new();
        for (name, held_run) in &self.workers[key].runs {
            if listed.contains(name) {
                continue;
            }
            let known_before = |at: Option<Millis>| at.is_some_and(|at| at < sent_at);
            let was_known = held_run.reported
                || known_before(held_run.confirmed_at)
                || known_before(held_run.stop_accepted_at);
            let may_have_ended_as_done = report.has_more_ends && !self.is_end_pending(name.0);
            if was_known && !may_have_ended_as_done {
                absent.push(*name);
            }
        }
        for (task, run) in absent {
            self.end_run(
                key,
                task,
                run,
                RunTermination::inferred(WriteOffReason::Absent),
                now,
            );
        }
    }

    /// Adopts a run that the predecessor started, or stops it if it is not wanted.
    pub(crate) fn adopt_or_stop(&mut self, key: WorkerKey, listed: &RunningReport, now: Millis) {
        self.mark_job_started(listed.task.step.job, now);
        let held = WorkerRun {
            phase: Phase::Running,
            orders: 0,
            start_copies: 0,
            in_flight: false,
            confirmed_at: Some(now),
            reported: true,
            resumed: true,
            percent: listed.percent,
            checkpoint: listed.checkpoint.clone(),
            ..self.unordered_run(key, listed.task, now)
        };
        self.workers[key].insert(listed.task, listed.run, held);
        self.update_load(key, listed);
        if self.hold_orphan(key, RunReport::Running(listed.clone()), now) {
            return;
        }
        self.unsettled_starts
            .inherited_run_listed(listed.task, listed.run);
        if self.adopt(key, listed.task, listed.run) {
            let worker = self.workers[key].spec.id.clone();
            self.recovery.adopted += 1;
            self.actions.push(Action::Note(Note::Adopted {
                task: listed.task,
                run: listed.run,
                worker,
            }));
            return;
        }
        self.note_listed_run(key, listed.task, listed.run, now);
        self.stop_run(key, listed.task, listed.run, StopReason::Unwanted, now);
    }

    /// Creates the state of a run that this scheduler did not order. A run of an unknown job is assumed to use the
    /// whole worker.
    pub(crate) fn unordered_run(&self, key: WorkerKey, task: TaskId, now: Millis) -> WorkerRun {
        let job = self.job_keys.get(&task.step.job);
        let spec = job.map(|job| &self.jobs[*job].spec);
        let step = spec.and_then(|spec| spec.steps.get(usize::from(task.step.step)));
        let whole = StepSpec {
            resources: self.workers[key].spec.capacity,
            ..StepSpec::default()
        };
        let priority = spec.map_or(0, |spec| spec.policy.priority);
        let mut run = WorkerRun::starting(step.unwrap_or(&whole), priority, now);
        run.owner = self.owner_of_runs(job.copied());
        if let CpuShare::Fills(fill) = &mut run.share {
            fill.forget_pace();
        }
        if let Some((job, step, unit, _member)) = self.locate_task(task) {
            let unit = &self.jobs[job].steps[step].units[unit];
            run.probation = Probation::of(unit);
        }
        run
    }

    /// Stores the approximate load that a worker reports for a run.
    fn update_load(&mut self, key: WorkerKey, listed: &RunningReport) {
        let run = self.workers[key].runs.get_mut(&(listed.task, listed.run));
        match run.map(|run| &mut run.share) {
            Some(CpuShare::LatencyBound { tail_ms, .. }) => *tail_ms = listed.load,
            Some(CpuShare::Reserved { used_cpu_millis }) => *used_cpu_millis = listed.load,
            Some(CpuShare::Fills(_)) | None => {}
        }
    }

    fn adopt(&mut self, key: WorkerKey, task: TaskId, run: Run) -> bool {
        let Some((job_key, step, unit, member)) = self.locate_task(task) else {
            return false;
        };
        let recovery_complete = self.recovery.is_complete();
        let job = &mut self.jobs[job_key];
        if job.state.is_terminal() {
            return false;
        }
        let is_taken_over = job.inherited && !recovery_complete;
        let step = &mut job.steps[step];
        let members = usize::try_from(step.members()).unwrap_or(1);
        // A single task is adopted wherever it is found, members of a gang only while a takeover still waits for
        // the other members.
        if members > 1 && !is_taken_over {
            return false;
        }
        let unit = &mut step.units[unit];
        if run <= unit.last_accounted {
            return false;
        }
        match &mut unit.state {
            UnitState::Pending => {
                let mut placed = vec![None; members];
                placed[member] = Some(key);
                unit.state = UnitState::Placed {
                    run,
                    members: placed,
                };
                step.pending_units -= 1;
            }
            UnitState::Placed {
                run: placed_run,
                members,
            } if *placed_run == run && members[member].is_none() => {
                members[member] = Some(key);
            }
            _ => return false,
        }
        unit.last_started = unit.last_started.max(run);
        true
    }
}

fn listed_runs(report: &WorkerReport) -> BTreeSet<(TaskId, Run)> {
    let running = report.running.iter();
    running.map(|running| (running.task, running.run)).collect()
}

fn lost_note(worker: &Worker, lost: &[(TaskId, Run)], reason: &'static str, now: Millis) -> Action {
    let held = lost
        .iter()
        .filter_map(|name| Some((name, worker.runs.get(name)?)));
    let latest_run = held.max_by_key(|(_, run)| run.held_since);
    let latest_run = latest_run.map(|((task, run), held)| LatestRun {
        task: *task,
        run: *run,
        seen_ms: worker.last_answer_at.since(held.held_since),
    });
    worker.note(WorkerNote::Lost {
        reason,
        silent_ms: now.since(worker.last_answer_at),
        runs: lost.len(),
        latest_run,
    })
}

pub(crate) fn status_note(worker: &Worker, status: &'static str, now: Millis) -> Action {
    worker.note(WorkerNote::StatusChanged {
        status,
        silent_ms: now.since(worker.last_answer_at),
    })
}
