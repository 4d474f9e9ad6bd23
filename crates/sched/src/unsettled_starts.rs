//! Start orders that a worker may still carry out, although the scheduler takes their runs as over or has repeated them.
//!
//! An order without an answer may be carried out seconds later. The life that it was meant for refuses it by then, because
//! it has seen a higher fencing token, or a stop or an end of that run. The next life of the worker knows nothing of that
//! until it has answered, and carries out whatever arrives first. So a start is unsettled from when it is sent until
//!
//! - its own answer tells whether it was carried out,
//! - the worker lists its run, if no other copy of it was sent, or
//! - no call that was sent so long ago is carried out any more, see [`crate::Options::late_call_ms`]. What a life that does
//!   not answer has carried out by then may run for as long as the longest lease.
//!
//! While a task has an unsettled start:
//!
//! - No end of it that counts is acknowledged as long as the start may be carried out. If the worker is lost, that end is
//!   lost with it, and the late start is not a start after an acknowledged end.
//! - It is only started on the same worker, whose next life can't run the late start beside it.
//! - The room of the start counts on that worker: its next life may carry out all unsettled starts before it answers.
//!
//! A successor learns of them from the progress of the jobs. An order is repeated only once the store has that the earlier
//! one is in doubt, so a recorded start without a doubt has one copy.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkerId;

use crate::JobId;
use crate::Run;
use crate::StepId;
use crate::TaskId;

/// The copies of a start order that one life of a worker was sent.
#[derive(Debug, Clone)]
struct SentStart {
    run: Run,
    /// The life that they were meant for; empty for a predecessor's start on an unknown worker.
    worker: WorkerId,
    /// What the run takes of a worker.
    room: Resources,
    /// Number of copies that were sent; none if a predecessor sent an unknown number of them.
    copies: Option<u32>,
    /// Copies that have no answer yet.
    in_flight: u32,
    /// Until when each copy that got no answer may be carried out.
    in_doubt: Vec<Millis>,
    /// A copy that was carried out by this time, unheard, may still run, since the worker has not answered after it.
    unheard_since: Option<Millis>,
}

impl SentStart {
    fn is_anywhere(&self) -> bool {
        self.worker.as_str().is_empty()
    }

    /// Returns whether it may still be carried out.
    fn may_arrive(&self) -> bool {
        self.in_flight > 0 || !self.in_doubt.is_empty()
    }

    fn is_settled(&self) -> bool {
        !self.may_arrive() && self.unheard_since.is_none()
    }

    /// Settles the copies that are not carried out any more. What an unheard life carried out may run for as long as the
    /// longest lease.
    fn expire(&mut self, max_lease_ms: u64, now: Millis) {
        let expired = self.in_doubt.iter().filter(|until| **until <= now);
        let latest = expired.max().copied().filter(|_| !self.is_anywhere());
        self.unheard_since = self.unheard_since.max(latest);
        self.in_doubt.retain(|until| *until > now);
        let since = self.unheard_since;
        self.unheard_since = since.filter(|since| since.plus(max_lease_ms) > now);
    }

    /// Gives up waiting for the answers to its copies, which may be carried out until then.
    fn give_up_answers(&mut self, until: Millis) {
        let copies = usize::try_from(self.in_flight).unwrap_or(usize::MAX);
        self.in_doubt.extend(std::iter::repeat_n(until, copies));
        self.in_flight = 0;
    }
}

/// A start order without an answer, as stored for a successor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartInDoubt<'a> {
    pub(crate) task: TaskId,
    pub(crate) run: Run,
    pub(crate) worker: &'a WorkerId,
    /// Until when it may be carried out.
    pub(crate) until: Millis,
}

/// The start orders that may still be carried out, by task.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnsettledStarts {
    by_task: BTreeMap<TaskId, Vec<SentStart>>,
    /// Names of workers of which an unheard life may run a start that it carried out late.
    unheard: BTreeSet<SmolStr>,
}

impl UnsettledStarts {
    /// Records that a copy of a start order is sent.
    pub(crate) fn sent(&mut self, task: TaskId, run: Run, worker: &WorkerId, room: Resources) {
        let start = self.start_mut(task, run, worker, Some(0));
        start.room = room;
        start.copies = start.copies.map(|copies| copies + 1);
        start.in_flight += 1;
    }

    /// Records a copy that a predecessor sent. `copies` is the number of copies that it may have sent, if known.
    pub(crate) fn restore(
        &mut self,
        start_in_doubt: StartInDoubt<'_>,
        room: Resources,
        copies: Option<u32>,
    ) {
        let StartInDoubt {
            task,
            run,
            worker,
            until,
        } = start_in_doubt;
        let start = self.start_mut(task, run, worker, copies);
        start.room = room;
        if copies.is_none() {
            start.copies = None;
        }
        start.in_doubt.push(until);
    }

    /// Records that the answer to a copy is known, so that it will not be carried out later.
    pub(crate) fn answered(&mut self, task: TaskId, run: Run, worker: &WorkerId) {
        self.update(task, run, worker, |start| {
            start.in_flight = start.in_flight.saturating_sub(1);
        });
    }

    /// Records that a copy got no answer. It may be carried out until then.
    pub(crate) fn unanswered(&mut self, task: TaskId, run: Run, worker: &WorkerId, until: Millis) {
        self.update(task, run, worker, |start| {
            if start.in_flight > 0 {
                start.in_flight -= 1;
                start.in_doubt.push(until);
            }
        });
    }

    /// Records that a worker lists a run. If one copy of its start was sent, that one was carried out.
    pub(crate) fn listed(&mut self, task: TaskId, run: Run, worker: &WorkerId) {
        let Some(starts) = self.by_task.get_mut(&task) else {
            return;
        };
        let is_only_copy = |start: &SentStart| {
            let is_same_worker = start.worker.name() == worker.name();
            start.run == run && is_same_worker && start.copies == Some(1)
        };
        // The answer may still come, and has nothing to settle then.
        starts.retain(|start| !is_only_copy(start));
        if starts.is_empty() {
            self.by_task.remove(&task);
        }
    }

    /// Records that a run was carried out that this scheduler did not order.
    pub(crate) fn inherited_run_listed(&mut self, task: TaskId, run: Run) {
        let Some(starts) = self.by_task.get_mut(&task) else {
            return;
        };
        starts.retain(|start| start.run != run || !start.is_anywhere());
        if starts.is_empty() {
            self.by_task.remove(&task);
        }
    }

    /// Records that a member of a gang has ended as done. All members of that run were started for that, so the starts of
    /// which one copy was sent were carried out.
    pub(crate) fn gang_done(&mut self, step: StepId, run: Run) {
        let is_carried_out = |start: &SentStart| start.run == run && start.copies == Some(1);
        for (_, starts) in self.by_task.range_mut(tasks_of(step)) {
            starts.retain(|start| !is_carried_out(start));
        }
        self.by_task.retain(|_, starts| !starts.is_empty());
    }

    /// Gives up waiting for answers of a life of a worker. Its orders may be carried out until then.
    pub(crate) fn life_ended(&mut self, worker: &WorkerId, until: Millis) {
        let starts = self.by_task.values_mut().flatten();
        for start in starts.filter(|start| start.worker == *worker) {
            start.give_up_answers(until);
        }
    }

    /// Settles the orders to a worker at whose address another worker answers: that one refuses them by their name.
    pub(crate) fn worker_replaced(&mut self, worker: &WorkerId) {
        for starts in self.by_task.values_mut() {
            starts.retain(|start| start.worker.name() != worker.name());
        }
        self.by_task.retain(|_, starts| !starts.is_empty());
    }

    /// Settles the orders that are not carried out any more, and whose runs have ended wherever they were carried out.
    pub(crate) fn expire(&mut self, max_lease_ms: u64, now: Millis) {
        self.unheard.clear();
        for starts in self.by_task.values_mut() {
            for start in &mut *starts {
                start.expire(max_lease_ms, now);
                if start.unheard_since.is_some() {
                    self.unheard.insert(SmolStr::new(start.worker.name()));
                }
            }
            starts.retain(|start| !start.is_settled());
        }
        self.by_task.retain(|_, starts| !starts.is_empty());
    }

    /// Records that a worker has reported what it runs, in answer to a call that was sent at `sent_at`.
    pub(crate) fn worker_reported(&mut self, worker: &WorkerId, sent_at: Millis) {
        if !self.unheard.contains(worker.name()) {
            return;
        }
        for starts in self.by_task.values_mut() {
            for start in &mut *starts {
                let is_of_worker = start.worker.name() == worker.name();
                if is_of_worker && start.unheard_since.is_some_and(|since| since <= sent_at) {
                    start.unheard_since = None;
                }
            }
            starts.retain(|start| !start.is_settled());
        }
        self.by_task.retain(|_, starts| !starts.is_empty());
    }

    /// Returns whether a task has an unsettled start on a known worker.
    pub(crate) fn has_task_on_worker(&self, task: TaskId) -> bool {
        let starts = self.by_task.get(&task);
        let mut starts = starts.into_iter().flatten();
        starts.any(|start| !start.is_anywhere())
    }

    /// Returns whether any task of a step has an unsettled start on a known worker.
    pub(crate) fn has_step_on_worker(&self, step: StepId) -> bool {
        let mut starts = self.by_task.range(tasks_of(step)).flat_map(|(_, of)| of);
        starts.any(|start| !start.is_anywhere())
    }

    /// Returns whether a start of a task may still be carried out.
    pub(crate) fn may_start_late(&self, task: TaskId) -> bool {
        let starts = self.by_task.get(&task);
        let mut starts = starts.into_iter().flatten();
        starts.any(SentStart::may_arrive)
    }

    /// Returns whether a start of any task of a step may still be carried out.
    pub(crate) fn may_start_step_late(&self, step: StepId) -> bool {
        let mut starts = self.by_task.range(tasks_of(step)).flat_map(|(_, of)| of);
        starts.any(SentStart::may_arrive)
    }

    /// Returns whether a task may be started on a worker: no worker of another name is known to have an unsettled start of
    /// it.
    pub(crate) fn may_start_on(&self, task: TaskId, worker: &WorkerId) -> bool {
        let starts = self.by_task.get(&task);
        let mut starts = starts.into_iter().flatten();
        starts.all(|start| start.is_anywhere() || start.worker.name() == worker.name())
    }

    /// Returns what the next life of each worker would have to hold if it carried out all starts that got no answer, by the
    /// name of the worker.
    pub(crate) fn room_in_doubt(&self) -> BTreeMap<SmolStr, Resources> {
        let mut by_name: BTreeMap<SmolStr, Resources> = BTreeMap::new();
        for starts in self.by_task.values() {
            // A worker runs a task once, however many starts of it arrive.
            let in_doubt = starts.iter().filter(|start| !start.in_doubt.is_empty());
            let of_task: BTreeMap<_, _> = in_doubt
                .map(|start| (start.worker.name(), start.room))
                .collect();
            for (name, room) in of_task {
                let sum = by_name.entry(SmolStr::new(name)).or_default();
                *sum = sum.saturating_add(&room);
            }
        }
        by_name
    }

    /// Returns the first copies of starts of a job that wait for their answers.
    pub(crate) fn in_flight_of(&self, job: JobId) -> impl Iterator<Item = (TaskId, Run)> {
        let of_job = self.by_task.range(tasks_of_job(job));
        let starts = of_job.flat_map(|(task, starts)| starts.iter().map(|start| (*task, start)));
        let in_flight = starts.filter(|(_, start)| start.in_flight > 0);
        in_flight.map(|(task, start)| (task, start.run))
    }

    /// Returns the orders of a job that got no answer, but for those to unknown workers.
    pub(crate) fn in_doubt_of(&self, job: JobId) -> impl Iterator<Item = StartInDoubt<'_>> {
        let of_job = self.by_task.range(tasks_of_job(job));
        of_job.flat_map(|(task, starts)| {
            // One entry for each waiting task of a wide step would make the record too long.
            let on_worker = starts.iter().filter(|start| !start.is_anywhere());
            let in_doubt = on_worker.filter_map(|start| {
                Some(StartInDoubt {
                    task: *task,
                    run: start.run,
                    worker: &start.worker,
                    until: *start.in_doubt.iter().max()?,
                })
            });
            in_doubt.collect::<Vec<_>>()
        })
    }

    /// Returns the number of tasks with an unsettled start that got no answer.
    pub(crate) fn tasks_in_doubt(&self) -> usize {
        let is_in_doubt = |start: &SentStart| !start.in_doubt.is_empty();
        let tasks = self.by_task.values();
        tasks
            .filter(|starts| starts.iter().any(is_in_doubt))
            .count()
    }

    fn start_mut(
        &mut self,
        task: TaskId,
        run: Run,
        worker: &WorkerId,
        copies: Option<u32>,
    ) -> &mut SentStart {
        let starts = self.by_task.entry(task).or_default();
        let known = starts
            .iter()
            .position(|start| start.run == run && start.worker == *worker);
        let index = known.unwrap_or_else(|| {
            starts.push(SentStart {
                run,
                worker: worker.clone(),
                room: Resources::ZERO,
                copies,
                in_flight: 0,
                in_doubt: Vec::new(),
                unheard_since: None,
            });
            starts.len() - 1
        });
        &mut starts[index]
    }

    fn update<F>(&mut self, task: TaskId, run: Run, worker: &WorkerId, update: F)
    where
        F: Fn(&mut SentStart),
    {
        let Some(starts) = self.by_task.get_mut(&task) else {
            return;
        };
        let mut starts_of_run = starts.iter_mut();
        let start = starts_of_run.find(|start| start.run == run && start.worker == *worker);
        start.map(update);
        starts.retain(|start| !start.is_settled());
        if starts.is_empty() {
            self.by_task.remove(&task);
        }
    }
}

fn tasks_of(step: StepId) -> RangeInclusive<TaskId> {
    TaskId { step, index: 0 }..=TaskId {
        step,
        index: u32::MAX,
    }
}

fn tasks_of_job(job: JobId) -> RangeInclusive<TaskId> {
    let first = StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    let last = StepId {
        job,
        occurrence: u32::MAX,
        step: u16::MAX,
    };
    *tasks_of(first).start()..=*tasks_of(last).end()
}
