//! Waiting steps: the order in which they are served, and what they wait for.

use syc_types::Millis;
use syc_types::ServiceName;

use crate::Action;
use crate::Note;
use crate::Scheduler;
use crate::StepId;
use crate::UnusableWorkers;
use crate::ids::JobKey;
use crate::ids::WorkspaceKey;
use crate::job::Step;
use crate::unit::UnitState;

/// How long a step waits before the log reports why. The interval doubles with each report.
const WAIT_LOG_INTERVAL_MS: u64 = 1_000;

/// Maximum number of times that the interval doubles.
const WAIT_LOG_DOUBLINGS_LIMIT: u32 = 5;

/// A gang that its workspace's cap has kept waiting for this long goes before the workspace's other work, also the more
/// urgent: a steady stream of small tasks could keep it waiting for ever. A single task finds room among them.
const CAP_PATIENCE_MS: u64 = 1_000;

/// For how long it does so at a time. It may need advice and room then, and must not hold up the others for long if there
/// is none.
const CLAIM_LIMIT_MS: u64 = 2_500;

/// A late job is still of partial value up to this many times its objective.
const EXPIRY_FACTOR: u64 = 3;

/// Sort key of a waiting step; the least is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    /// Whether completing the work is of no value any more.
    ///
    /// Late work that is still of value keeps its position. If it were served after all work that is not late,
    /// it would expire while waiting.
    is_expired: bool,
    /// Whether its workspace submitted it beyond its guaranteed rate. What a workspace submits within its rate goes
    /// before that, whatever its priority.
    is_excess: bool,
    priority: u32,
    due_at: Millis,
    id: StepId,
}

impl Urgency {
    /// Returns what goes before shares of workspaces and due times.
    pub(crate) const fn class(&self) -> (bool, bool, u32) {
        (self.is_expired, self.is_excess, self.priority)
    }
}

impl Step {
    /// Returns whether its next unit goes before the other work of its workspace. After some time, the others have a turn.
    fn claims_cap_first(&mut self, now: Millis) -> bool {
        let Some(since) = self.claims_since else {
            return false;
        };
        let waited_ms = now.since(since);
        if waited_ms >= CAP_PATIENCE_MS + CLAIM_LIMIT_MS {
            self.claims_since = Some(now);
            return false;
        }
        waited_ms >= CAP_PATIENCE_MS
    }
}

/// A step that is ready and has tasks to start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingStep {
    pub(crate) urgency: Urgency,
    pub(crate) job: JobKey,
    pub(crate) step: usize,
    /// The workspace that the job belongs to.
    pub(crate) workspace: Option<WorkspaceKey>,
}

impl Scheduler {
    /// Returns the steps that are ready and have tasks to start, in the order in which they are served.
    pub(crate) fn waiting_steps(&mut self, now: Millis) -> Vec<WaitingStep> {
        let mut waiting = Vec::new();
        let recovery_complete = self.recovery.is_complete();
        for key in &self.open_jobs {
            let job = &self.jobs[*key];
            if !self.may_start_job(job.arrival_number, now) {
                continue;
            }
            let is_awaited = job.inherited && !recovery_complete;
            for step in 0..job.steps.len() {
                if job.steps[step].pending_units == 0 || !job.is_ready(step, now) {
                    continue;
                }
                if is_awaited && !self.has_startable_unit(*key, step) {
                    continue;
                }
                waiting.push(WaitingStep {
                    urgency: urgency(job, step, now),
                    job: *key,
                    step,
                    workspace: job.workspace,
                });
            }
        }
        waiting.sort_unstable_by_key(|step| step.urgency);
        self.order_by_share(&mut waiting);
        for WaitingStep { job, step, .. } in &waiting {
            let of_step = &mut self.jobs[*job].steps[*step];
            of_step.ready_at.get_or_insert(now);
            let is_claiming = of_step.spec.gang && of_step.claims_cap_first(now);
            if is_claiming {
                self.claim_cap_first(*job, *step, now);
            }
        }
        waiting
    }

    /// Returns whether a step has a unit that may be started although a takeover waits for others.
    fn has_startable_unit(&self, job: JobKey, step: usize) -> bool {
        let units = self.jobs[job].steps[step].units.iter().enumerate();
        let mut pending = units.filter(|(_, unit)| unit.state == UnitState::Pending);
        pending.any(|(unit, _)| !self.is_unit_awaited(job, step, unit))
    }

    /// Logs at increasing intervals what a step waits for.
    pub(crate) fn log_waiting(&mut self, job_key: JobKey, step_index: usize, now: Millis) {
        let step = &mut self.jobs[job_key].steps[step_index];
        let last = step.ready_at.unwrap_or(now).max(step.wait_logged_at);
        let wait_ms = WAIT_LOG_INTERVAL_MS << step.wait_log_count.min(WAIT_LOG_DOUBLINGS_LIMIT);
        if step.pending_units == 0 || now.since(last) < wait_ms {
            return;
        }
        step.wait_logged_at = now;
        step.wait_log_count += 1;
        let note = self.waiting_note(job_key, step_index, now);
        self.actions.push(Action::Note(note));
    }

    fn waiting_note(&self, job_key: JobKey, step_index: usize, now: Millis) -> Note {
        let job = &self.jobs[job_key];
        let step = &job.steps[step_index];
        let required_label = step.spec.required_label.as_ref();
        let eligible = self.eligible_workers(required_label, job, now).len();
        let allowed = self
            .currently_allowed_workers(job_key, step_index, now)
            .len();
        let waits_for = if step.capped_since.is_some() {
            "cap"
        } else if eligible == 0 {
            "workers"
        } else if step.advice.asked_at.is_some() {
            "advice"
        } else if allowed == 0 {
            "allowed_workers"
        } else {
            "room"
        };
        Note::Waiting {
            step: self.step_id(job_key, step_index),
            waits_for,
            eligible,
            required_label: required_label.cloned().unwrap_or_default(),
            allowed,
            denied: step.advice.denied.len(),
            known: step.advice.tickets.len(),
            unusable: self.unusable_workers(&job.spec.policy.service, now),
            tasks: step.pending_units * step.members(),
        }
    }

    /// Counts the workers of a service that receive no new work, by reason.
    fn unusable_workers(&self, service: &ServiceName, now: Millis) -> UnusableWorkers {
        let mut unusable = UnusableWorkers::default();
        for worker in self.workers.values() {
            if worker.spec.service != *service {
                continue;
            }
            if let Some(reason) = worker.unusable_reason(now) {
                unusable.add(reason);
            }
        }
        unusable
    }
}

fn urgency(job: &crate::job::Job, step_index: usize, now: Millis) -> Urgency {
    let step = &job.steps[step_index];
    let (is_expired, due_at) = if step.spec.long_running {
        // It should always be running, so it is due from the moment it stops.
        (false, step.ready_at.unwrap_or(now))
    } else {
        let from = job.objective_from(step_index);
        let due_at = from.plus(job.objective_ms);
        let late_at = from.plus(job.objective_ms.saturating_mul(EXPIRY_FACTOR));
        (now > late_at, due_at)
    };
    Urgency {
        is_expired,
        is_excess: job.is_excess,
        priority: job.spec.policy.priority,
        due_at,
        id: job.step_id(step_index),
    }
}
