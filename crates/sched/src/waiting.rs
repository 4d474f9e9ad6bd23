//! The steps that wait: in which order they are served, and for what they wait.

use syc_types::Millis;
use syc_types::ServiceName;

use crate::Action;
use crate::Note;
use crate::Scheduler;
use crate::StepId;
use crate::UnusableWorkers;
use crate::ids::JobKey;

/// A step waits this long before the log tells for what, and again after twice as long each time.
const TELL_WAITING_MS: u64 = 1_000;

/// Most times that the wait to the next telling doubles.
const TELL_DOUBLINGS: u32 = 5;

/// A job earns a part of its worth up to this many times its objective.
const LATE_FACTOR: u64 = 3;

/// What a waiting step is ordered by; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    /// Whether the work is of no use any more, however soon it is done.
    ///
    /// What is late but still of use keeps its turn: served after all that is not late yet, it would become
    /// useless while it waits.
    past_use: bool,
    priority: u32,
    due_at: Millis,
    id: StepId,
}

impl Scheduler {
    /// Returns the steps that are due and have tasks to start, the most urgent first.
    pub(crate) fn waiting_steps(&mut self, now: Millis) -> Vec<(Urgency, JobKey, usize)> {
        let mut waiting = Vec::new();
        let settled = self.recovery.is_settled();
        for key in &self.open_jobs {
            let job = &self.jobs[*key];
            if job.inherited && !settled || !self.may_start_job(job.number, now) {
                continue;
            }
            for step in 0..job.steps.len() {
                if job.steps[step].pending == 0 || !job.is_ready(step, now) {
                    continue;
                }
                waiting.push((urgency(job, step, now), *key, step));
            }
        }
        waiting.sort_unstable_by_key(|(urgency, _, _)| *urgency);
        for (_, job, step) in &waiting {
            let step = &mut self.jobs[*job].steps[*step];
            step.ready_at.get_or_insert(now);
        }
        waiting
    }

    /// Tells the log now and then for what a step waits.
    pub(crate) fn tell_waiting(&mut self, job: JobKey, step: usize, now: Millis) {
        let of_step = &mut self.jobs[job].steps[step];
        let last = of_step.ready_at.unwrap_or(now).max(of_step.told_at);
        let wait_ms = TELL_WAITING_MS << of_step.tells.min(TELL_DOUBLINGS);
        if of_step.pending == 0 || now.since(last) < wait_ms {
            return;
        }
        of_step.told_at = now;
        of_step.tells += 1;
        let note = self.waiting_note(job, step, now);
        self.actions.push(Action::Note(note));
    }

    fn waiting_note(&self, job: JobKey, step: usize, now: Millis) -> Note {
        let of_job = &self.jobs[job];
        let of_step = &of_job.steps[step];
        let required_label = of_step.spec.required_label.as_ref();
        let eligible = self.eligible_workers(required_label, of_job, now).len();
        let allowed = self.currently_allowed_workers(job, step, now).len();
        let lacking = if eligible == 0 {
            "workers"
        } else if of_step.advice.asked_at.is_some() {
            "advice"
        } else if allowed == 0 {
            "allowed_workers"
        } else {
            "room"
        };
        Note::Waiting {
            step: self.step_id(job, step),
            lacking,
            eligible,
            required_label: required_label.cloned().unwrap_or_default(),
            allowed,
            denied: of_step.advice.denied.len(),
            known: of_step.advice.tickets.len(),
            hindered: self.hindered(&of_job.spec.policy.service, now),
            tasks: of_step.pending * of_step.members(),
        }
    }

    /// Counts the workers of a service that get nothing new, by the reason.
    fn hindered(&self, service: &ServiceName, now: Millis) -> UnusableWorkers {
        let mut hindered = UnusableWorkers::default();
        for worker in self.workers.values() {
            if worker.spec.service != *service {
                continue;
            }
            if let Some(reason) = worker.unusable_reason(now) {
                hindered.add(reason);
            }
        }
        hindered
    }
}

fn urgency(job: &crate::job::Job, step: usize, now: Millis) -> Urgency {
    let of_step = &job.steps[step];
    let (past_use, due_at) = if of_step.spec.long_running {
        // It should run all the time: it is due from the moment at which it does not.
        (false, of_step.ready_at.unwrap_or(now))
    } else {
        let from = job.counts_from(step);
        let due_at = from.plus(job.objective_ms);
        let late_at = from.plus(job.objective_ms.saturating_mul(LATE_FACTOR));
        (now > late_at, due_at)
    };
    Urgency {
        past_use,
        priority: job.spec.policy.priority,
        due_at,
        id: job.step_id(step),
    }
}
