//! In-memory state of a job: its steps and the units that are started together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_types::CellTime;
use syc_types::DayAnchor;
use syc_types::Millis;
use syc_types::TimeOfDay;
use syc_types::WorkerId;

use crate::CrashCount;
use crate::JobId;
use crate::JobProgress;
use crate::JobSpec;
use crate::JobState;
use crate::Run;
use crate::StepId;
use crate::StepSpec;
use crate::TaskId;
use crate::Version;
use crate::WorkerKey;
use crate::crash_history::CrashHistory;
use crate::ids::WorkspaceKey;
use crate::predecessor_placement::PredecessorPlacement;
use crate::predecessor_placement::member_worker_names;
use crate::progress::StepProgress;
use crate::progress::UnitProgress;
use crate::retention::EndStamp;
use crate::speed::StepTimes;
use crate::unit::Unit;
use crate::unit::UnitState;

/// Advice received for a step, and the calls for more.
#[derive(Debug, Clone, Default)]
pub(crate) struct Advice {
    /// Workers that may run the step, with their tickets.
    pub(crate) tickets: BTreeMap<WorkerKey, Ticket>,
    /// Workers that may not run the step.
    pub(crate) denied: BTreeSet<WorkerKey>,
    /// When the pending calls were made.
    pub(crate) asked_at: Option<Millis>,
    /// Calls without an answer yet.
    pub(crate) pending_calls: u32,
    /// Earliest time of the next call.
    pub(crate) not_before: Millis,
    /// Calls made so far.
    pub(crate) call_count: u32,
}

/// Proof that a worker may run a step.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: SmolStr,
    pub(crate) valid_until: Millis,
}

/// One step of a job.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    pub(crate) spec: StepSpec,
    pub(crate) units: Vec<Unit>,
    pub(crate) advice: Advice,
    /// Units that are not done.
    pub(crate) unfinished_units: u32,
    /// Units waiting to be started.
    pub(crate) pending_units: u32,
    /// Earliest start time; none if it may start immediately.
    pub(crate) due_at: Option<Millis>,
    /// When its tasks became ready.
    pub(crate) ready_at: Option<Millis>,
    /// When a worker last crashed while running one of its tasks. Cleared once another task has been started and
    /// its worker has survived it.
    pub(crate) suspected_at: Option<Millis>,
    /// When the log last reported that it waits, and how often it has done so.
    pub(crate) wait_logged_at: Millis,
    pub(crate) wait_log_count: u32,
    /// Since when the cap of its workspace has kept its next unit from starting.
    pub(crate) capped_since: Option<Millis>,
    /// Since when its next unit has waited for the cap, or for room and advice after that.
    pub(crate) claims_since: Option<Millis>,
    /// Run times of its tasks, with which others of them are compared.
    pub(crate) run_times: StepTimes,
}

impl Step {
    fn new(spec: &StepSpec, due_at: Option<Millis>) -> Self {
        let units = if spec.gang { 1 } else { spec.tasks };
        Self {
            spec: spec.clone(),
            units: vec![Unit::new(); usize::try_from(units).unwrap_or(0)],
            advice: Advice::default(),
            unfinished_units: units,
            pending_units: units,
            due_at,
            ready_at: None,
            suspected_at: None,
            wait_logged_at: Millis(0),
            wait_log_count: 0,
            capped_since: None,
            claims_since: None,
            run_times: StepTimes::default(),
        }
    }

    /// Returns the number of members of each unit.
    pub(crate) const fn members(&self) -> u32 {
        if self.spec.gang { self.spec.tasks } else { 1 }
    }

    /// Returns the index of a task's unit and of the task within it.
    pub(crate) fn unit_of(&self, index: u32) -> Option<(usize, usize)> {
        if index >= self.spec.tasks {
            return None;
        }
        let index = usize::try_from(index).ok()?;
        Some(if self.spec.gang {
            (0, index)
        } else {
            (index, 0)
        })
    }

    /// Returns whether the next run of a task resumes from a checkpoint.
    pub(crate) fn resumes_from_checkpoint(&self, index: u32) -> bool {
        let unit = self.unit_of(index).map(|(unit, _)| &self.units[unit]);
        unit.is_some_and(|unit| !unit.checkpoint.is_empty())
    }

    /// Returns the identifier of a unit's member.
    pub(crate) fn task_at(&self, step: StepId, unit: usize, member: usize) -> TaskId {
        let index = if self.spec.gang { member } else { unit };
        TaskId {
            step,
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }
}

/// State of a job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) steps: Vec<Step>,
    /// State as of the latest change, whether or not the store has it.
    pub(crate) state: JobState,
    /// State that may be reported to clients, because the store has it.
    pub(crate) visible_state: JobState,
    /// Number of the latest change.
    pub(crate) latest_change: u64,
    /// Number of the latest change that the store has.
    pub(crate) recorded_change: u64,
    /// When it was accepted, by the scheduler's clock.
    pub(crate) accepted_at: Millis,
    /// Target time to completion.
    pub(crate) objective_ms: u64,
    /// Whether a predecessor may have started tasks of it that this scheduler does not know of.
    pub(crate) inherited: bool,
    /// The workspace that it belongs to.
    pub(crate) workspace: Option<WorkspaceKey>,
    /// Whether it was submitted beyond the guaranteed rate of its workspace.
    pub(crate) is_excess: bool,
    /// Lower bound of its wait, predicted when it arrived.
    pub(crate) predicted_wait_ms: Option<u64>,
    /// Sequence number among the jobs added since this scheduler began; 0 for jobs that it restored.
    pub(crate) arrival_number: u64,
    /// When it ended, by the scheduler's clock.
    pub(crate) ended_at: Option<Millis>,
    /// When its end was first written to a record.
    pub(crate) end_stamp: Option<EndStamp>,
    /// When its end became visible to clients, which starts its retention time.
    pub(crate) end_visible_at: Option<CellTime>,
    /// Whether a worker has reported a run of it.
    pub(crate) has_started: bool,
}

impl Job {
    /// Creates a job that has not started. Until the scheduler knows the time of day, due times are derived from
    /// the acceptance time.
    pub(crate) fn new(spec: JobSpec, accepted_at: Millis, day: Option<DayAnchor>) -> Self {
        let accepted = DayAnchor {
            at: accepted_at,
            day: spec.accepted_at_ms,
        };
        let steps = expand_steps(&spec, accepted_at, day.unwrap_or(accepted));
        let objective_ms = objective_ms(&spec);
        Self {
            steps,
            state: JobState::Queued,
            visible_state: JobState::Queued,
            latest_change: 0,
            recorded_change: 0,
            accepted_at,
            objective_ms,
            inherited: false,
            workspace: None,
            is_excess: false,
            predicted_wait_ms: None,
            arrival_number: 0,
            ended_at: None,
            end_stamp: None,
            end_visible_at: None,
            has_started: false,
            spec,
        }
    }

    pub(crate) const fn id(&self) -> JobId {
        self.spec.id
    }

    /// Records that a task of it has started on a worker.
    pub(crate) fn mark_started(&mut self) {
        self.has_started = true;
        if self.state == JobState::Queued {
            self.state = JobState::Running;
        }
    }

    /// Recomputes the due times from the time of day.
    pub(crate) fn set_wall_clock(&mut self, day: DayAnchor) {
        let steps_per_occurrence = self.spec.steps.len().max(1);
        for (index, step) in self.steps.iter_mut().enumerate() {
            let occurrence = u32::try_from(index / steps_per_occurrence).unwrap_or(u32::MAX);
            let due_at = self.spec.schedule.due_at(occurrence);
            step.due_at = due_at.map(|due_at| day.steady_at(due_at).max(self.accepted_at));
        }
    }

    /// Returns whether a step is due and all steps that it depends on are done.
    pub(crate) fn is_ready(&self, step: usize, now: Millis) -> bool {
        if self.steps[step].due_at.is_some_and(|due_at| due_at > now) {
            return false;
        }
        let first = step - step % self.spec.steps.len().max(1);
        let before = &self.steps[step].spec.after;
        before.iter().all(|after| {
            let step = self.steps.get(first + usize::from(*after));
            step.is_some_and(|step| step.unfinished_units == 0)
        })
    }

    /// Returns the index of a step among the steps of all occurrences.
    pub(crate) fn step_index(&self, step: StepId) -> Option<usize> {
        let steps_per_occurrence = self.spec.steps.len();
        let position = usize::from(step.step);
        let occurrence = usize::try_from(step.occurrence).ok()?;
        let index = occurrence
            .checked_mul(steps_per_occurrence)?
            .checked_add(position)?;
        (position < steps_per_occurrence && index < self.steps.len()).then_some(index)
    }

    /// Returns the identifier of the step at an index among the steps of all occurrences.
    pub(crate) fn step_id(&self, index: usize) -> StepId {
        let steps_per_occurrence = self.spec.steps.len().max(1);
        StepId {
            job: self.id(),
            occurrence: u32::try_from(index / steps_per_occurrence).unwrap_or(u32::MAX),
            step: u16::try_from(index % steps_per_occurrence).unwrap_or(u16::MAX),
        }
    }

    /// Returns the time from which the objective of a step is measured.
    pub(crate) fn objective_from(&self, step: usize) -> Millis {
        self.steps[step].due_at.unwrap_or(self.accepted_at)
    }

    /// Restores the progress that a predecessor stored.
    pub(crate) fn restore(&mut self, progress: &JobProgress) {
        self.state = progress.state;
        self.visible_state = progress.state;
        self.has_started = progress.state != JobState::Queued;
        for (step, stored) in self.steps.iter_mut().zip(&progress.steps) {
            restore_step(step, stored);
        }
    }

    /// Returns the progress to store.
    pub(crate) fn progress<N>(&self, name_of: N) -> JobProgress
    where
        N: Fn(WorkerKey) -> Option<WorkerId>,
    {
        let mut progress = JobProgress {
            version: Version {
                token: 0,
                change: self.latest_change,
            },
            state: self.state,
            steps: Vec::new(),
            starts_in_doubt: Vec::new(),
            workspace: self.spec.workspace.clone(),
            ended_at_ms: self
                .end_stamp
                .map_or(TimeOfDay::default(), |ended| ended.wall_time),
            ended_at_cell_ms: self.end_stamp.map(|ended| ended.cell_time),
        };
        if self.state.is_terminal() {
            return progress;
        }
        for step in &self.steps {
            progress.steps.push(step_progress(step, &name_of));
        }
        progress
    }
}

/// Creates the steps of all occurrences.
fn expand_steps(spec: &JobSpec, accepted_at: Millis, day: DayAnchor) -> Vec<Step> {
    let mut steps = Vec::new();
    for occurrence in 0..spec.schedule.occurrence_count() {
        let due_at = spec.schedule.due_at(occurrence);
        let due_at = due_at.map(|due_at| day.steady_at(due_at).max(accepted_at));
        for step in &spec.steps {
            steps.push(Step::new(step, due_at));
        }
    }
    steps
}

fn restore_step(step: &mut Step, stored: &StepProgress) {
    for (index, unit) in step.units.iter_mut().enumerate() {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let stored_unit = stored.units.get(&index);
        if stored.done || stored_unit.is_some_and(|stored_unit| stored_unit.done) {
            unit.state = UnitState::Done;
            step.unfinished_units -= 1;
            step.pending_units -= 1;
            continue;
        }
        let Some(stored_unit) = stored_unit else {
            continue;
        };
        unit.failures = stored_unit.failures;
        unit.last_started = stored_unit.last_started;
        unit.last_accounted = stored_unit.last_accounted;
        unit.last_failed = stored_unit.last_failed;
        unit.failed_runs.clone_from(&stored_unit.failed_runs);
        unit.failed_before = stored_unit.failed_before();
        unit.checkpoint = stored_unit.checkpoint.clone();
        unit.predecessor_placement = PredecessorPlacement::restored(stored_unit);
        unit.silent_run = stored_unit.silent_run;
        unit.possible_crashes = stored_unit.possible_crashes;
        for (member, count) in &stored_unit.crashes {
            let member = usize::try_from(*member).unwrap_or(usize::MAX);
            unit.crash_histories
                .insert(member, CrashHistory::restored(*count));
            step.suspected_at = Some(Millis(0));
        }
    }
}

fn step_progress<N>(step: &Step, name_of: &N) -> StepProgress
where
    N: Fn(WorkerKey) -> Option<WorkerId>,
{
    let mut progress = StepProgress::default();
    for (index, unit) in step.units.iter().enumerate() {
        let done = unit.is_done();
        if unit.last_started == Run(0) && !done {
            continue;
        }
        let mut stored = UnitProgress {
            done,
            ..UnitProgress::default()
        };
        if !done {
            stored.failures = unit.failures;
            stored.last_started = unit.last_started;
            stored.last_accounted = unit.last_accounted;
            stored.last_failed = unit.last_failed;
            stored.failed_runs.clone_from(&unit.failed_runs);
            stored.failed_before = unit.failed_before;
            stored.checkpoint = unit.checkpoint.clone();
            stored.workers = member_worker_names(unit, name_of);
            stored.crashes = crash_counts(unit);
            stored.silent_run = unit.silent_run;
            stored.possible_crashes = unit.possible_crashes;
        }
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        progress.units.insert(index, stored);
    }
    progress.done = step.units.iter().all(Unit::is_done);
    if progress.done {
        progress.units.clear();
    }
    progress
}

fn crash_counts(unit: &Unit) -> BTreeMap<u32, CrashCount> {
    let mut crashes = BTreeMap::new();
    for (member, history) in &unit.crash_histories {
        let member = u32::try_from(*member).unwrap_or(u32::MAX);
        crashes.insert(member, history.count);
    }
    crashes
}

/// Returns a job's objective: the time from its acceptance within which it should end, computed from its declared run
/// times.
#[must_use]
pub fn objective_ms(spec: &JobSpec) -> u64 {
    let chain_ms = std::time::Duration::from_millis(spec.longest_chain_ms());
    let stretched = chain_ms.mul_f64(spec.policy.stretch.clamp(0.0, 1_000.0));
    let stretched_ms = u64::try_from(stretched.as_millis()).unwrap_or(u64::MAX);
    spec.policy.objective_ms.saturating_add(stretched_ms)
}
