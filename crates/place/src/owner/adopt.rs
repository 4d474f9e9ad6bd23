//! What a worker's report changes: ends, adopted tasks, and tasks that are no longer there.

use syc_types::Millis;
use syc_types::Resources;
use syc_types::TaskOutcome;
use syc_types::TaskRef;

use crate::Action;
use crate::Owner;
use crate::Report;
use crate::Reported;
use crate::Tier;
use crate::WorkerKey;
use crate::owner::Contact;
use crate::owner::Phase;
use crate::owner::Task;

/// Pause before a command to end a task is repeated.
const STOP_REPEAT_MS: u64 = 2_000;

impl Owner {
    pub(super) fn polled(
        &mut self,
        key: WorkerKey,
        seq: u64,
        report: Report,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let lease_until = self.lapse_after(now);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.seq != seq {
            return;
        }
        worker.contact = Contact::Heard;
        worker.failed_polls = 0;
        worker.last_answer = now;
        worker.lease_until = worker.lease_until.max(lease_until);
        worker.version = report.version;
        worker.sent_acks.clear();
        if report.full {
            worker.reported.clear();
        }
        for task in &report.gone {
            worker.reported.remove(task);
        }
        let mut listed = Vec::new();
        for running in report.running {
            listed.push(running.task);
            worker.reported.insert(running.task, running);
        }
        let mut doubtful = report.gone;
        if report.full {
            doubtful.extend(&worker.tasks);
        } else {
            doubtful.extend(&worker.unlisted);
        }
        for ended in &report.finished {
            let listed = worker.reported.get(&ended.task);
            if listed.is_some_and(|listed| listed.attempt == ended.attempt) {
                worker.reported.remove(&ended.task);
            }
        }
        for ended in report.finished {
            self.take_end(key, ended, now, actions);
        }
        self.adopt_reported(key, &listed, now, actions);
        self.end_missing(key, seq, doubtful, now, actions);
        self.refresh_open(key);
    }

    /// Compares what a worker lists with the books: what is new, or all where something is amiss.
    fn adopt_reported(
        &mut self,
        key: WorkerKey,
        listed: &[TaskRef],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        let all = std::mem::take(&mut worker.watched);
        let mut reported = Vec::new();
        if all {
            reported.extend(worker.reported.values().cloned());
        } else {
            for task in listed {
                reported.extend(worker.reported.get(task).cloned());
            }
        }
        let mut stray = Resources::ZERO;
        for running in reported {
            let known = self.tasks.get(&running.task);
            let ours =
                known.is_some_and(|state| state.worker == key && state.attempt == running.attempt);
            if ours {
                self.stop_again(key, running.task, now, actions);
                continue;
            }
            let ended = self.ended.get(&running.task);
            let over = ended.is_some_and(|end| end.attempt >= running.attempt);
            if known.is_none() && !over {
                self.adopt(key, running, now);
                continue;
            }
            self.workers[key].watched = true;
            // It runs beside the books: it keeps its room here, and is told to end unless it is
            // later than what is known.
            stray = stray.checked_add(&running.resources).unwrap_or(stray);
            let earlier = known.is_none_or(|state| state.attempt >= running.attempt);
            if earlier {
                actions.push(Action::Stop {
                    worker: key,
                    task: running.task,
                    checkpoint: false,
                });
            }
        }
        self.room_freed |= self.ledger.set_stray(key, stray);
    }

    fn adopt(&mut self, key: WorkerKey, running: Reported, now: Millis) {
        let tier = if running.urgent {
            Tier::Urgent
        } else {
            Tier::Ordinary
        };
        let adopted = self
            .ledger
            .adopt(running.task, key, running.resources, tier);
        if adopted.is_err() {
            return;
        }
        self.shares.hold(&running.team, &running.resources);
        let worker = &mut self.workers[key];
        worker.tasks.insert(running.task);
        let state = Task {
            attempt: running.attempt,
            team: running.team,
            name: running.name,
            idempotent: running.idempotent,
            resources: running.resources,
            worker: key,
            phase: Phase::Running { seq: worker.seq },
            since: now,
            spec: None,
            unit: None,
            stopping: None,
            refused_by: Vec::new(),
        };
        self.tasks.insert(running.task, state);
    }

    fn stop_again(
        &mut self,
        key: WorkerKey,
        task: TaskRef,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.tasks.get_mut(&task) else {
            return;
        };
        let Some((why, at)) = state.stopping else {
            return;
        };
        self.workers[key].watched = true;
        if now.since(at) < STOP_REPEAT_MS || state.phase == Phase::Starting {
            return;
        }
        state.stopping = Some((why, now));
        actions.push(Action::Stop {
            worker: state.worker,
            task,
            checkpoint: false,
        });
    }

    /// Ends the attempts that a poll should have listed and did not.
    fn end_missing(
        &mut self,
        key: WorkerKey,
        seq: u64,
        doubtful: Vec<TaskRef>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let drift_ms = self.options.drift_ms;
        let worker = &self.workers[key];
        let mut missing = Vec::new();
        let mut settled = Vec::new();
        for task in doubtful {
            let Some(state) = self.tasks.get(&task) else {
                continue;
            };
            if state.worker != key {
                continue;
            }
            if worker.reported.contains_key(&task) {
                if state.phase != Phase::Starting {
                    settled.push(task);
                }
                continue;
            }
            let gone = match state.phase {
                Phase::Held { .. } | Phase::Starting => false,
                Phase::Running { seq: earlier } => seq > earlier,
                Phase::InDoubt {
                    since,
                    seq: earlier,
                } => seq > earlier && now.since(since) >= drift_ms,
            };
            if gone {
                missing.push(task);
            }
        }
        for task in settled {
            self.workers[key].unlisted.remove(&task);
            if let Some(state) = self.tasks.get_mut(&task) {
                state.phase = Phase::Running { seq };
            }
        }
        for task in missing {
            self.end_task(task, TaskOutcome::Unknown, 0, now, actions);
        }
    }
}
