//! Sending of start and stop orders, and handling of their answers.

use syc_types::Millis;

use crate::Action;
use crate::LeaseBasis;
use crate::Run;
use crate::Scheduler;
use crate::StartAnswer;
use crate::StartOrder;
use crate::StartRefusal;
use crate::StopReason;
use crate::TaskId;
use crate::WorkerKey;
use crate::WriteOffReason;
use crate::run_ends::RunTermination;
use crate::worker::Phase;

impl Scheduler {
    pub(crate) fn start_answered(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        answer: StartAnswer,
        now: Millis,
    ) {
        self.settle_start(key, task, run, answer, now);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(run_state) = worker.runs.get_mut(&(task, run)) else {
            return;
        };
        let ordered_at = run_state.ordered_at;
        if run_state.phase == Phase::Starting {
            run_state.in_flight = false;
        }
        match answer {
            StartAnswer::Started => {
                run_state.confirmed_at.get_or_insert(now);
                if run_state.phase == Phase::Starting {
                    run_state.phase = Phase::Running;
                    run_state.percent_at = now;
                }
                self.order_accepted(key, ordered_at, now);
                self.mark_job_started(task.step.job, now);
            }
            StartAnswer::Refused(refusal) => {
                self.order_accepted(key, ordered_at, now);
                self.start_refused(key, task, run, refusal, now);
            }
            StartAnswer::InDoubt => self.order_failed(key, (task, run), ordered_at, now),
            // The local node did not send the order, so the outcome says nothing about the worker.
            StartAnswer::NotSent => {
                worker.breaker.clear_probe();
                self.start_not_sent(key, task, run, now);
            }
        }
    }

    /// Ends a run whose start order was not sent, unless an earlier copy of the order was.
    fn start_not_sent(&mut self, key: WorkerKey, task: TaskId, run: Run, now: Millis) {
        let worker = &mut self.workers[key];
        let Some(run_state) = worker.runs.get_mut(&(task, run)) else {
            return;
        };
        run_state.start_copies = run_state.start_copies.saturating_sub(1);
        if run_state.start_copies > 0 || run_state.reported {
            return;
        }
        // Prefers other workers for the next attempt.
        let until = now.plus(self.options.order_retry_ms);
        worker.quarantined_until = worker.quarantined_until.max(until);
        self.end_run(
            key,
            task,
            run,
            RunTermination::inferred(WriteOffReason::NotSent),
            now,
        );
    }

    fn start_refused(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        refusal: StartRefusal,
        now: Millis,
    ) {
        let worker = &mut self.workers[key];
        let Some(run_state) = worker.runs.get(&(task, run)) else {
            return;
        };
        // It says nothing of the copy that a report has shown.
        if refusal == StartRefusal::Fenced && run_state.reported {
            return;
        }
        // An earlier copy of the order may have been executed, which the worker's reports will show.
        let in_doubt = run_state.start_copies > 1 && refusal == StartRefusal::OldRun;
        if in_doubt || run_state.reported {
            self.stop_run(key, task, run, StopReason::StartInDoubt, now);
            return;
        }
        match refusal {
            StartRefusal::Unhealthy => {
                worker.quarantined_until = now.plus(self.options.quarantine_ms / 4);
            }
            // A run that is not known yet occupies the capacity. The next reports will list it.
            StartRefusal::NoRoom => {
                worker.quarantined_until = now.plus(self.options.order_retry_ms);
            }
            StartRefusal::Ticket => self.expire_ticket(key, task, now),
            StartRefusal::Fenced
            | StartRefusal::OldRun
            | StartRefusal::Late
            | StartRefusal::Malformed => {}
        }
        let retried = self.workers[key]
            .runs
            .get(&(task, run))
            .is_some_and(|run_state| run_state.start_copies > 1);
        if retried {
            // The first copy of the order may still arrive.
            self.stop_run(key, task, run, StopReason::StartInDoubt, now);
            return;
        }
        let ending = RunTermination::inferred(WriteOffReason::Refused(refusal));
        self.end_run(key, task, run, ending, now);
    }

    /// Sends a start order. The lease that it sets starts now.
    pub(crate) fn send_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        ticket: smol_str::SmolStr,
        retries: u32,
        now: Millis,
    ) {
        self.extend_lease(key, LeaseBasis::OwnStartOrder, now);
        let Some((job, step, unit, _member)) = self.locate_task(task) else {
            return;
        };
        let room = self.jobs[job].steps[step].spec.reserved_resources();
        let id = &self.workers[key].spec.id;
        self.unsettled_starts.sent(task, run, id, room);
        let job = &self.jobs[job];
        let ready_at = job.steps[step].ready_at.unwrap_or(now);
        self.actions.push(Action::Start(StartOrder {
            worker: key,
            task,
            run,
            payload: job.spec.payload.clone(),
            ticket,
            checkpoint: job.steps[step].units[unit].checkpoint.clone(),
            decided_at: now,
            retries,
            ready_ms: now.since(ready_at),
        }));
    }

    /// Stops a run or prevents it from starting. Its capacity stays allocated until it has ended.
    pub(crate) fn stop_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        reason: StopReason,
        now: Millis,
    ) {
        let Some(run_state) = self.workers[key].runs.get_mut(&(task, run)) else {
            return;
        };
        if run_state.phase == Phase::Stopping {
            return;
        }
        run_state.begin_stop(now);
        // A worker with a tripped breaker gets one order at a time, as a probe.
        if !self.workers[key].breaker.tripped {
            self.send_stop(key, task, run, reason, now);
        }
    }

    pub(crate) fn send_stop(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        reason: StopReason,
        now: Millis,
    ) {
        let Some(run_state) = self.workers[key].runs.get_mut(&(task, run)) else {
            return;
        };
        run_state.ordered_at = now;
        run_state.orders += 1;
        run_state.in_flight = true;
        self.actions.push(Action::Stop {
            worker: key,
            task,
            run,
            reason,
        });
    }

    pub(crate) fn stop_answered(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: Run,
        accepted: bool,
        now: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let mut ordered_at = now;
        if let Some(run_state) = worker.runs.get_mut(&(task, run)) {
            ordered_at = run_state.ordered_at;
            run_state.in_flight = false;
            if accepted {
                run_state.stop_accepted_at.get_or_insert(now);
            }
        }
        if accepted {
            self.order_accepted(key, ordered_at, now);
        } else {
            self.order_failed(key, (task, run), ordered_at, now);
        }
    }
}
