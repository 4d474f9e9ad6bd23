//! Consistency check: finds units that stand still because nothing is left whose end could move them.
//!
//! A started unit names the worker of each member, and that worker holds the member's run until it has ended. If no
//! worker holds it, no report, expired lease or answer ever ends it, and the job stands still. Only a fault of the
//! scheduler leads there, so it is logged, and the member is treated as ended without a result.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Millis;

use crate::Action;
use crate::Note;
use crate::Run;
use crate::Scheduler;
use crate::TaskId;
use crate::WorkerKey;
use crate::WriteOffReason;
use crate::ids::JobKey;
use crate::run_ends::UnitRef;
use crate::unit::Outcome;
use crate::unit::UnitState;
use crate::write_offs::Whereabouts;

/// Interval between two checks. A check looks up each started member, so it is not done on each tick.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// How long a member's run is missing before the member is treated as ended.
const MISSING_LIMIT_MS: u64 = 2_000;

/// What is missing of a member that is recorded as running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Finding {
    /// Its worker is not attached any more.
    WorkerGone,
    /// Its worker holds no run of it.
    NoRun,
    /// No member of the unit is left.
    NoMember,
}

impl Finding {
    const fn as_str(self) -> &'static str {
        match self {
            Self::WorkerGone => "worker_gone",
            Self::NoRun => "no_run",
            Self::NoMember => "no_member",
        }
    }
}

/// A member whose run no worker holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MissingMember {
    job: JobKey,
    step: usize,
    unit: usize,
    run: Run,
    task: TaskId,
    worker: Option<WorkerKey>,
    finding: Finding,
}

/// State of the consistency check.
#[derive(Debug, Default)]
pub(crate) struct ConsistencyCheck {
    next_at: Millis,
    /// Members found missing by the latest check, with the time of the first check that found them so.
    missing_since: BTreeMap<MissingMember, Millis>,
    /// The latest logged run of each unit of which a member was missing.
    logged_runs: BTreeMap<(JobKey, usize, usize), Run>,
    /// Whether it was logged that the usage is wrong.
    logged_usage: bool,
}

impl Scheduler {
    /// Treats members as ended that have been recorded as running for a while although no worker holds their run.
    ///
    /// Nothing is checked during a takeover: members that have not been found yet are to be expected, and a predecessor
    /// may still start some of them.
    pub(crate) fn check_consistency(&mut self, now: Millis) {
        if now < self.consistency.next_at || !self.recovery.is_complete() {
            return;
        }
        self.consistency.next_at = now.plus(CHECK_INTERVAL_MS);
        self.check_usage();
        let open_jobs = &self.open_jobs;
        let logged_runs = &mut self.consistency.logged_runs;
        logged_runs.retain(|(job, _, _), _| open_jobs.contains(job));
        let before = std::mem::take(&mut self.consistency.missing_since);
        for missing in self.missing_members() {
            let since = before.get(&missing).copied().unwrap_or(now);
            self.consistency.missing_since.insert(missing, since);
            if self.has_certainly_ended(&missing, since, now) {
                self.end_missing_member(&missing, since, now);
            }
        }
    }

    /// Checks that usage is counted as the runs say. A wrong count could start work beyond a cap, or none at all.
    fn check_usage(&mut self) {
        if !self.consistency.logged_usage && !self.has_consistent_usage() {
            self.consistency.logged_usage = true;
            self.actions.push(Action::Note(Note::UsageWrong));
        }
    }

    fn missing_members(&self) -> Vec<MissingMember> {
        let mut missing = Vec::new();
        for job in &self.open_jobs {
            for (index, step) in self.jobs[*job].steps.iter().enumerate() {
                // All units are done or wait to be started.
                if step.unfinished_units == step.pending_units {
                    continue;
                }
                for unit in 0..step.units.len() {
                    let unit_ref = UnitRef {
                        job: *job,
                        step: index,
                        unit,
                    };
                    self.find_missing_members(unit_ref, &mut missing);
                }
            }
        }
        missing
    }

    fn find_missing_members(&self, unit_ref: UnitRef, missing: &mut Vec<MissingMember>) {
        let UnitRef { job, step, unit } = unit_ref;
        let step_state = &self.jobs[job].steps[step];
        let (UnitState::Placed { run, members } | UnitState::Stopping { run, members, .. }) =
            &step_state.units[unit].state
        else {
            return;
        };
        let id = self.step_id(job, step);
        let as_missing = |member: usize, worker: Option<WorkerKey>, finding| MissingMember {
            job,
            step,
            unit,
            run: *run,
            task: step_state.task_at(id, unit, member),
            worker,
            finding,
        };
        if members.iter().all(Option::is_none) {
            missing.push(as_missing(0, None, Finding::NoMember));
            return;
        }
        for (member, worker) in members.iter().enumerate() {
            let Some(key) = *worker else {
                continue;
            };
            let task = step_state.task_at(id, unit, member);
            let finding = match self.workers.get(key) {
                Some(worker) if worker.runs.contains_key(&(task, *run)) => continue,
                Some(_) if self.is_set_aside(task, *run) => continue,
                Some(_) => Finding::NoRun,
                None => Finding::WorkerGone,
            };
            missing.push(as_missing(member, Some(key), finding));
        }
    }

    /// Returns whether nothing of a member can be running, so that it may be started again.
    ///
    /// A worker that is attached lists what it runs with each answer, and what it lists is held from then on. A
    /// silent one has ended everything once its leases have expired. A worker that is not attached had left, or its
    /// leases had expired, and it gets no more renewals: whatever it may still run ends within its longest lease. A
    /// misdirected run ends, or is held by the next incarnation of its worker, within the same time.
    /// An end that is still to be reported would complete the unit, so all ends of the worker are waited for.
    fn has_certainly_ended(&self, missing: &MissingMember, since: Millis, now: Millis) -> bool {
        let limit = since.plus(MISSING_LIMIT_MS);
        if now < limit {
            return false;
        }
        match missing.worker.map(|key| self.workers.get(key)) {
            Some(Some(worker)) => {
                worker.all_ends_reported_at >= limit || worker.leases_expire_at <= now
            }
            Some(None) => since.plus(self.options.max_lease_ms) <= now,
            // Each member had ended when it was struck off.
            None => true,
        }
    }

    fn end_missing_member(&mut self, missing: &MissingMember, since: Millis, now: Millis) {
        let unit = (missing.job, missing.step, missing.unit);
        let logged = self.consistency.logged_runs.insert(unit, missing.run);
        if logged != Some(missing.run) {
            self.actions.push(Action::Note(Note::RunMissing {
                task: missing.task,
                run: missing.run,
                worker: missing.worker.and_then(|key| self.name_of(key)),
                found: missing.finding.as_str(),
                missing_ms: now.since(since),
            }));
        }
        let place = missing
            .worker
            .map_or(Whereabouts::Unknown, Whereabouts::Attached);
        let name = (missing.task, missing.run);
        self.write_off(name, place, WriteOffReason::Missing, now);
        self.record_run_end(
            missing.worker.unwrap_or_default(),
            missing.task,
            missing.run,
            Outcome::Interrupted,
            SmolStr::default(),
            now,
        );
    }

    /// Drops a run from its worker without ending it, so that tests can observe how that is noticed.
    #[doc(hidden)]
    pub fn plant_missing_run(&mut self, worker: WorkerKey, task: TaskId, run: Run) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.remove(task, run);
        }
    }

    /// Strikes off all members of a task's unit without ending it, so that tests can observe how that is noticed.
    #[doc(hidden)]
    pub fn plant_missing_members(&mut self, task: TaskId) {
        let Some((job, step, unit, _)) = self.locate_task(task) else {
            return;
        };
        if let UnitState::Placed { members, .. } | UnitState::Stopping { members, .. } =
            &mut self.unit_mut(UnitRef { job, step, unit }).state
        {
            members.fill(None);
        }
    }
}
