//! The lifecycle of jobs: how they are added, changed, recorded in the store and ended.

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_workspace::may_access;

use crate::Action;
use crate::Cancellation;
use crate::JobId;
use crate::JobProgress;
use crate::JobSpec;
use crate::JobState;
use crate::Note;
use crate::Scheduler;
use crate::StopReason;
use crate::ids::JobKey;
use crate::job::Job;
use crate::retention::EndStamp;
use crate::unit::Outcome;
use crate::unit::UnitState;
use crate::worker::Phase;

impl Scheduler {
    /// Adds a job of a predecessor, with its stored progress if there is any.
    pub fn restore_job(
        &mut self,
        spec: JobSpec,
        progress: Option<&JobProgress>,
        age_ms: u64,
        now: Millis,
    ) {
        let id = spec.id;
        if self.job_keys.contains_key(&id) {
            return;
        }
        let accepted_at = Millis(now.0.saturating_sub(age_ms));
        let mut job = Job::new(spec, accepted_at, self.wall_clock);
        job.inherited = true;
        if let Some(progress) = progress {
            job.restore(progress);
        }
        let key = self.insert_open_job(job, now);
        if let Some(progress) = progress {
            self.restore_starts_in_doubt(self.jobs[key].id(), &progress.starts_in_doubt, now);
        }
    }

    pub(crate) fn add_job(&mut self, spec: JobSpec, age_ms: u64, now: Millis) {
        let id = spec.id;
        if let Some(key) = self.job_keys.get(&id) {
            // A repeated submit stored the specification of an ended job again.
            if self.jobs[*key].visible_state.is_terminal() {
                self.actions.push(Action::DeleteSpec(id));
            }
            return;
        }
        let accepted_at = Millis(now.0.saturating_sub(age_ms));
        let key = self.insert_open_job(Job::new(spec, accepted_at, self.wall_clock), now);
        self.jobs_added += 1;
        self.jobs[key].arrival_number = self.jobs_added;
        self.predict_wait(key, now);
        self.inherit_if_known_to_predecessor(key);
        self.resolve_orphans(id, now);
        self.expire_unknown_runs_of_job(key, now);
    }

    fn insert_open_job(&mut self, mut job: Job, now: Millis) -> JobKey {
        let id = job.id();
        let workspace = job.spec.workspace.as_ref();
        job.workspace = workspace.map(|name| self.workspaces.key_of(name));
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        self.open_jobs.insert(key);
        self.mark_by_rate(key);
        if self.take_early_cancellation(key) {
            self.end_job(key, JobState::Cancelled, now);
        }
        key
    }

    /// Forgets the cancellations of a job that arrived before it. Returns whether one of them is heeded.
    fn take_early_cancellation(&mut self, key: JobKey) -> bool {
        let spec = &self.jobs[key].spec;
        let (id, owner) = (spec.id, spec.workspace.as_ref());
        let is_of_job = |cancellation: &Cancellation, _at: &mut Millis| cancellation.job == id;
        let taken = self.early_cancellations.extract_if(.., is_of_job);
        taken.fold(false, |is_heeded, (cancellation, _at)| {
            is_heeded | may_access(owner, cancellation.workspace.as_ref())
        })
    }

    pub(crate) fn cancel(&mut self, cancellation: Cancellation, now: Millis) {
        let id = cancellation.job;
        let Some(key) = self.job_keys.get(&id).copied() else {
            self.early_cancellations.insert(cancellation, now);
            return;
        };
        let job = &self.jobs[key];
        if !may_access(job.spec.workspace.as_ref(), cancellation.workspace.as_ref()) {
            return;
        }
        if job.visible_state.is_terminal() {
            // The cancellation arrived after the end and left a record in the store.
            self.actions.push(Action::DeleteSpec(id));
        }
        if job.state.is_terminal() {
            return;
        }
        self.end_job(key, JobState::Cancelled, now);
    }

    /// Marks a job as changed and returns the change number.
    pub(crate) fn mark_changed(&mut self, key: JobKey) -> u64 {
        let job = &mut self.jobs[key];
        job.latest_change += 1;
        self.dirty.insert(key);
        job.latest_change
    }

    /// Ends a job: stops its runs and prevents further starts.
    pub(crate) fn end_job(&mut self, key: JobKey, state: JobState, now: Millis) {
        let job = &mut self.jobs[key];
        job.state = state;
        job.ended_at = Some(now);
        let id = job.id();
        self.actions.push(Action::Note(Note::JobEnded {
            job: id,
            state,
            after_ms: now.since(job.accepted_at),
            objective_ms: job.objective_ms,
        }));
        self.open_jobs.remove(&key);
        self.release_reservations(key);
        self.mark_changed(key);
        // Remaining members of a completed gang end by themselves.
        if state != JobState::Completed {
            self.assign_end_changes(id, now);
            self.stop_runs_of(id, now);
        }
    }

    fn stop_runs_of(&mut self, id: JobId, now: Millis) {
        let mut stops = Vec::new();
        for (worker, held) in &self.workers {
            for ((task, run), run_state) in &held.runs {
                if task.step.job == id && run_state.phase != Phase::Stopping {
                    stops.push((worker, *task, *run));
                }
            }
        }
        for (worker, task, run) in stops {
            self.stop_run(worker, task, run, StopReason::JobEnded, now);
        }
    }

    /// Takes the progress of changed jobs, then of jobs that started, each with the number of the last change
    /// that it includes.
    ///
    /// The caller fills in the token of the version, and passes each record back in [`Event::Recorded`] once it
    /// is stored.
    pub fn take_records(
        &mut self,
        limit: usize,
        now: Millis,
        day: TimeOfDay,
    ) -> Vec<(JobId, u64, JobProgress)> {
        let mut records = Vec::new();
        let cell_time = self.cell_clock.read(now);
        while records.len() < limit {
            let Some(key) = self.next_to_record() else {
                break;
            };
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.state.is_terminal() {
                job.end_stamp.get_or_insert(EndStamp {
                    cell_time,
                    wall_time: day,
                });
            }
            let job = &self.jobs[key];
            let mut progress = job.progress(|worker| self.recorded_name_of(worker));
            progress.starts_in_doubt = self.starts_in_doubt_of(job.id(), now);
            self.mark_unanswered_starts(key, &mut progress, now);
            records.push((job.id(), job.latest_change, progress));
        }
        records
    }

    fn next_to_record(&mut self) -> Option<JobKey> {
        let Some(changed) = self.dirty.pop_first() else {
            return self.started_since_recorded.pop_first();
        };
        self.started_since_recorded.remove(&changed);
        Some(changed)
    }

    pub(crate) fn recorded(&mut self, jobs: &[(JobId, u64)], now: Millis) {
        let cell_now = self.cell_clock.read(now);
        for (id, change) in jobs {
            let Some(key) = self.job_keys.get(id).copied() else {
                continue;
            };
            let job = &mut self.jobs[key];
            job.recorded_change = job.recorded_change.max(*change);
            let complete = job.recorded_change == job.latest_change;
            if job.state.is_terminal() {
                if complete && !job.visible_state.is_terminal() {
                    job.visible_state = job.state;
                    job.end_visible_at = Some(cell_now);
                    job.steps = Vec::new();
                    job.spec.payload = SmolStr::default();
                    self.actions.push(Action::DeleteSpec(*id));
                }
                continue;
            }
            self.apply_recorded_outcomes(key);
        }
    }

    /// Applies the unit outcomes that are now stored.
    fn apply_recorded_outcomes(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let recorded = job.recorded_change;
        for step in &mut job.steps {
            for unit in &mut step.units {
                let UnitState::Recording { outcome, change } = unit.state else {
                    continue;
                };
                if change > recorded {
                    continue;
                }
                if outcome == Outcome::Done {
                    unit.state = UnitState::Done;
                    step.unfinished_units -= 1;
                    continue;
                }
                unit.state = UnitState::Pending;
                step.pending_units += 1;
                step.ready_at = None;
            }
        }
    }
}
