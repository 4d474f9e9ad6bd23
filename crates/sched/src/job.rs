//! What a scheduler knows of one job: its steps, and the units that are started together.

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
use crate::predecessor_placement::PredecessorPlacement;
use crate::predecessor_placement::member_worker_names;
use crate::progress::StepProgress;
use crate::progress::UnitProgress;
use crate::retention::EndStamp;

/// How a unit's run came out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    Failed,
    /// It ended for a reason that is not the unit's fault.
    Interrupted,
}

/// Where a unit is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum UnitState {
    /// It waits for a start.
    Pending,
    /// It was started; one worker for each member, none for members not found after a takeover.
    Placed {
        run: Run,
        members: Vec<Option<WorkerKey>>,
    },
    /// A member has ended, and the others are being stopped.
    Stopping {
        run: Run,
        /// Workers of those.
        members: Vec<Option<WorkerKey>>,
        outcome: Outcome,
    },
    /// Its run has ended, and the record of that is under way.
    Recording { outcome: Outcome, change: u64 },
    /// It is done, and that is in the store.
    Done,
}

/// A task, or all tasks of a gang.
#[derive(Debug, Clone)]
pub(crate) struct Unit {
    pub(crate) state: UnitState,
    pub(crate) failures: u32,
    /// Number of its latest start.
    pub(crate) last_started: Run,
    /// Number of the latest start whose end was taken into account.
    pub(crate) last_accounted: Run,
    /// Number of the latest start that counts as failed.
    pub(crate) last_failed: Run,
    /// Number of the latest start that was given up since its lease had surely lapsed.
    pub(crate) last_lapsed: Run,
    pub(crate) checkpoint: SmolStr,
    /// Time that its latest run takes as a whole, at the speed seen.
    pub(crate) expected_run_ms: Option<u64>,
    /// Times that it was moved off a slow worker.
    pub(crate) moves: u32,
    /// Workers on which it failed; it goes elsewhere where it can.
    pub(crate) avoided_workers: Vec<WorkerKey>,
    /// What its members are suspected of, by their position.
    pub(crate) blames: BTreeMap<usize, CrashHistory>,
    /// Where a predecessor started it last.
    pub(crate) placed_before: PredecessorPlacement,
    /// Room that is kept for it, and until when.
    pub(crate) reservation: Option<Reservation>,
    /// Whether the store is told where it is about to be started.
    pub(crate) start_intent: Option<StartIntent>,
}

/// Room that is kept for a unit until what is in it has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reservation {
    pub(crate) workers: Vec<(WorkerKey, u32)>,
    pub(crate) until: Millis,
    /// Whether workers have crashed under the unit.
    pub(crate) suspected: bool,
    /// Whether the workers take nothing else meanwhile.
    pub(crate) isolated: bool,
}

impl Reservation {
    /// Returns the worker of each member.
    pub(crate) fn members(&self) -> impl Iterator<Item = WorkerKey> {
        let workers = self.workers.iter();
        workers.flat_map(|(worker, count)| {
            std::iter::repeat_n(*worker, usize::try_from(*count).unwrap_or(0))
        })
    }
}

/// A start that the store is told of before it is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StartIntent {
    /// Number of the latest start before it.
    pub(crate) previous_run: Run,
    /// Change of the job that tells of it.
    pub(crate) change: u64,
}

impl Unit {
    const fn new() -> Self {
        Self {
            state: UnitState::Pending,
            failures: 0,
            last_started: Run(0),
            last_accounted: Run(0),
            last_failed: Run(0),
            last_lapsed: Run(0),
            checkpoint: SmolStr::new_static(""),
            expected_run_ms: None,
            moves: 0,
            avoided_workers: Vec::new(),
            blames: BTreeMap::new(),
            placed_before: PredecessorPlacement::NONE,
            reservation: None,
            start_intent: None,
        }
    }

    /// Says whether a run on a worker is the one that goes on for a member: runs of one number on several workers
    /// are different ones.
    ///
    /// Of a member that was not found after a takeover, the worker is not known.
    pub(crate) fn is_placed_at(&self, worker: WorkerKey, member: usize, run: Run) -> bool {
        let UnitState::Placed {
            run: placed,
            members,
        } = &self.state
        else {
            return false;
        };
        *placed == run && members[member].is_none_or(|at| at == worker)
    }

    /// Says whether it is done, whether or not the store has it yet.
    pub(crate) const fn is_done(&self) -> bool {
        matches!(
            self.state,
            UnitState::Done
                | UnitState::Recording {
                    outcome: Outcome::Done,
                    ..
                }
        )
    }
}

/// What is known of the workers that may run a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Advice {
    /// Workers that may, with their ticket and the time that it is good until.
    pub(crate) tickets: BTreeMap<WorkerKey, Ticket>,
    /// Workers that may not.
    pub(crate) denied: BTreeSet<WorkerKey>,
    /// When the calls under way were made.
    pub(crate) asked_at: Option<Millis>,
    /// Calls under way.
    pub(crate) pending_calls: u32,
    /// No call before this time.
    pub(crate) not_before: Millis,
    /// Calls made.
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
    /// Units that wait for a start.
    pub(crate) pending_units: u32,
    /// Before this time it does not start; none where it may start at once.
    pub(crate) due_at: Option<Millis>,
    /// When its tasks began to wait.
    pub(crate) ready_at: Option<Millis>,
    /// When a worker crashed last under one of its tasks, until another has been started and did not take its worker
    /// down.
    pub(crate) suspected_at: Option<Millis>,
    /// When the log last told that it waits, and how often it has.
    pub(crate) wait_logged_at: Millis,
    pub(crate) wait_log_count: u32,
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
        }
    }

    /// Returns the members of each unit.
    pub(crate) const fn members(&self) -> u32 {
        if self.spec.gang { self.spec.tasks } else { 1 }
    }

    /// Returns the unit of a task, and the task's position in it.
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

    /// Says whether a task's next run goes on from a checkpoint.
    pub(crate) fn resumes_from_checkpoint(&self, index: u32) -> bool {
        let unit = self.unit_of(index).map(|(unit, _)| &self.units[unit]);
        unit.is_some_and(|unit| !unit.checkpoint.is_empty())
    }

    /// Returns the task at a position of a unit.
    pub(crate) fn task_at(&self, step: StepId, unit: usize, member: usize) -> TaskId {
        let index = if self.spec.gang { member } else { unit };
        TaskId {
            step,
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }
}

/// One job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) steps: Vec<Step>,
    /// State of the latest change, recorded or not.
    pub(crate) state: JobState,
    /// State that may be shown: the store has it.
    pub(crate) visible_state: JobState,
    /// Changes so far.
    pub(crate) latest_change: u64,
    /// Change up to which the store has the progress.
    pub(crate) recorded_change: u64,
    /// When it was accepted, on the scheduler's clock.
    pub(crate) accepted_at: Millis,
    /// Objective, from the acceptance on.
    pub(crate) objective_ms: u64,
    /// Whether a predecessor may have started tasks that are not known.
    pub(crate) inherited: bool,
    /// Its number among the jobs that were added since this scheduler began; 0 for those that it found.
    pub(crate) arrival_number: u64,
    /// When it ended.
    pub(crate) ended_at: Option<Millis>,
    /// When its end was first written down.
    pub(crate) end_stamp: Option<EndStamp>,
    /// When its end was shown: from then on it is kept for its time.
    pub(crate) end_visible_at: Option<CellTime>,
    /// Whether some worker has told of a run of it.
    pub(crate) has_started: bool,
}

impl Job {
    /// Makes a job of which nothing has begun. Until the time of day is told, its acceptance tells it.
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

    /// Takes note that a task of it has begun on a worker.
    pub(crate) fn mark_started(&mut self) {
        self.has_started = true;
        if self.state == JobState::Queued {
            self.state = JobState::Running;
        }
    }

    /// Takes the time of day for its due times.
    pub(crate) fn set_wall_clock(&mut self, day: DayAnchor) {
        let steps_per_occurrence = self.spec.steps.len().max(1);
        for (index, step) in self.steps.iter_mut().enumerate() {
            let occurrence = u32::try_from(index / steps_per_occurrence).unwrap_or(u32::MAX);
            let due_at = self.spec.schedule.due_at(occurrence);
            step.due_at = due_at.map(|due_at| day.steady_at(due_at).max(self.accepted_at));
        }
    }

    /// Says whether a step is due, and the steps before it are all done.
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

    /// Returns the position of a step of some occurrence among all steps.
    pub(crate) fn step_index(&self, step: StepId) -> Option<usize> {
        let steps_per_occurrence = self.spec.steps.len();
        let position = usize::from(step.step);
        let occurrence = usize::try_from(step.occurrence).ok()?;
        let index = occurrence
            .checked_mul(steps_per_occurrence)?
            .checked_add(position)?;
        (position < steps_per_occurrence && index < self.steps.len()).then_some(index)
    }

    /// Returns the name of the step at a position among all steps.
    pub(crate) fn step_id(&self, index: usize) -> StepId {
        let steps_per_occurrence = self.spec.steps.len().max(1);
        StepId {
            job: self.id(),
            occurrence: u32::try_from(index / steps_per_occurrence).unwrap_or(u32::MAX),
            step: u16::try_from(index % steps_per_occurrence).unwrap_or(u16::MAX),
        }
    }

    /// Returns the time from which the objective of a step counts.
    pub(crate) fn objective_from(&self, step: usize) -> Millis {
        self.steps[step].due_at.unwrap_or(self.accepted_at)
    }

    /// Takes over what a predecessor kept of the job.
    pub(crate) fn restore(&mut self, progress: &JobProgress) {
        self.state = progress.state;
        self.visible_state = progress.state;
        self.has_started = progress.state != JobState::Queued;
        for (step, stored) in self.steps.iter_mut().zip(&progress.steps) {
            restore_step(step, stored);
        }
    }

    /// Returns what is to be kept of the job.
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

/// Makes the steps of all occurrences.
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
        unit.checkpoint = stored_unit.checkpoint.clone();
        unit.placed_before = PredecessorPlacement::restored(stored_unit);
        for (member, count) in &stored_unit.crashes {
            let member = usize::try_from(*member).unwrap_or(usize::MAX);
            unit.blames.insert(member, CrashHistory::restored(*count));
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
            stored.checkpoint = unit.checkpoint.clone();
            stored.workers = member_worker_names(unit, name_of);
            stored.crashes = crash_counts(unit);
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
    for (member, history) in &unit.blames {
        let member = u32::try_from(*member).unwrap_or(u32::MAX);
        crashes.insert(member, history.count);
    }
    crashes
}

/// Works out a job's objective from its declared run times.
fn objective_ms(spec: &JobSpec) -> u64 {
    let chain_ms = std::time::Duration::from_millis(spec.longest_chain_ms());
    let stretched = chain_ms.mul_f64(spec.policy.stretch.clamp(0.0, 1_000.0));
    let stretched_ms = u64::try_from(stretched.as_millis()).unwrap_or(u64::MAX);
    spec.policy.objective_ms.saturating_add(stretched_ms)
}
