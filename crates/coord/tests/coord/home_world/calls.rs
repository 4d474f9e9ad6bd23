//! Calls to owners, what they do there, and what is reported back.

use syc_coord::TaskState;
use syc_coord::home::Action;
use syc_coord::home::EndVerdict;
use syc_coord::home::KnownTask;
use syc_coord::home::Placement;
use syc_coord::home::StartOutcome;
use syc_coord::home::Told;
use syc_types::JobId;
use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TaskRef;

use super::Call;
use super::End;
use super::Fate;
use super::Run;
use super::World;

impl World {
    pub(super) fn deliver(&mut self, call: Call, fate: Fate) -> Result<(), String> {
        let now = Millis(self.now);
        let current = call.epoch == self.epoch;
        let heard = call.incarnation == self.incarnation;
        match call.action.clone() {
            // Its owner refuses a command of an earlier epoch, and nobody hears of it.
            _ if !heard => Ok(()),
            Action::Place(placement) => self.place(current, placement, fate),
            Action::Ask { team, owner, round } => {
                let mut told = Told {
                    round,
                    owner,
                    settled: false,
                    known: Vec::new(),
                };
                if fate == Fate::Arrives
                    && let Some(number) = self.number(&told.owner)
                {
                    told.settled = self.settled[number];
                    told.known = self.known(number);
                }
                self.home.told(&team, &told, &self.jobs, now);
                Ok(())
            }
            Action::Stop(stop) => {
                let number = self.number(&stop.owner);
                let arrives = fate != Fate::CallLost && fate != Fate::Refused;
                if let (Some(number), true) = (number, arrives) {
                    self.stop(number, stop.job_id, &stop.indexes);
                }
                let reached = fate == Fate::Arrives && number.is_some();
                self.home.stop_sent(&stop, reached, now);
                Ok(())
            }
            Action::RecordEnd { task, outcome } => {
                // The daemon repeats it until it is in the log.
                if self.log_up {
                    self.append_end(task, &outcome);
                } else {
                    self.calls.push(call);
                }
                Ok(())
            }
        }
    }

    pub(super) fn place(
        &mut self,
        current: bool,
        placement: Placement,
        fate: Fate,
    ) -> Result<(), String> {
        let mut outcomes = Vec::new();
        for part in placement.parts.clone() {
            let number = self.number(&part.owner).filter(|_| current);
            let idempotent = self.idempotent(placement.job_id);
            let attempt = placement.attempt;
            for &index in &part.indexes {
                let task = TaskRef {
                    job_id: placement.job_id,
                    index,
                };
                let known = number.is_some_and(|number| self.knows(task, attempt, number));
                let reserved = number.is_some() && (fate != Fate::Refused || known);
                let mut intended = idempotent || self.log_up;
                if reserved && !idempotent && intended {
                    self.jobs.intend(task);
                }
                intended &= fate != Fate::CallLost;
                let started = match number {
                    Some(number) if reserved && intended => self.start(task, attempt, number)?,
                    _ => false,
                };
                let unsure = match fate {
                    Fate::ReplyLost => number.is_some() && intended,
                    Fate::CallLost => placement.pinned,
                    _ => false,
                };
                let outcome = if unsure {
                    StartOutcome::InDoubt {
                        owner: part.owner.clone(),
                    }
                } else if started {
                    StartOutcome::Started {
                        owner: part.owner.clone(),
                        worker: "w".into(),
                    }
                } else {
                    StartOutcome::NotStarted
                };
                outcomes.push((index, outcome));
            }
        }
        if fate == Fate::ReplyLate {
            self.replies.push((placement, outcomes));
            return Ok(());
        }
        let now = Millis(self.now);
        self.home.placed(&placement, &outcomes, &self.jobs, now);
        Ok(())
    }

    pub(super) fn start(
        &mut self,
        task: TaskRef,
        attempt: u32,
        owner: usize,
    ) -> Result<bool, String> {
        if self.knows(task, attempt, owner) {
            return Ok(true);
        }
        if self.runs.iter().any(|run| run.task == task) {
            return Err(format!("two attempts at {task} at once"));
        }
        if !self.attempts.insert((task, attempt)) {
            return Err(format!("attempt {attempt} at {task} started twice"));
        }
        let starts = self.starts.entry(task).or_default();
        *starts += 1;
        let again = *starts > 1;
        if again && !self.idempotent(task.job_id) {
            return Err(format!("{task} is not idempotent and started twice"));
        }
        self.runs.push(Run {
            task,
            attempt,
            owner,
        });
        Ok(true)
    }

    pub(super) fn knows(&self, task: TaskRef, attempt: u32, owner: usize) -> bool {
        let same = |run: &Run| run.task == task && run.attempt == attempt && run.owner == owner;
        self.runs.iter().any(same) || self.ends.iter().any(|end| same(&end.run))
    }

    pub(super) fn idempotent(&self, id: JobId) -> bool {
        self.jobs.get(id).is_some_and(|job| job.spec.idempotent)
    }

    pub(super) fn known(&self, owner: usize) -> Vec<KnownTask> {
        let kept = self.ends.iter().map(|end| &end.run);
        let runs = self.runs.iter().chain(kept);
        let known = |run: &Run| KnownTask {
            task: run.task,
            attempt: run.attempt,
            worker: "w".into(),
        };
        runs.filter(|run| run.owner == owner).map(known).collect()
    }

    pub(super) fn stop(&mut self, owner: usize, job_id: JobId, indexes: &[u32]) {
        let (stopped, runs): (Vec<_>, Vec<_>) = self.runs.drain(..).partition(|run| {
            run.owner == owner && run.task.job_id == job_id && indexes.contains(&run.task.index)
        });
        self.runs = runs;
        for run in stopped {
            let outcome = TaskOutcome::Cancelled;
            self.ends.push(End { run, outcome });
        }
    }

    pub(super) fn report(&mut self, at: usize, answered: bool) {
        let End { run, outcome } = self.ends[at].clone();
        let now = Millis(self.now);
        let verdict = self
            .home
            .done(run.task, run.attempt, &outcome, &self.jobs, now);
        let kept = match verdict {
            EndVerdict::Forget => true,
            EndVerdict::Keep | EndVerdict::UnknownJob => false,
            EndVerdict::Record(outcome) => {
                if self.log_up {
                    self.append_end(run.task, &outcome);
                }
                self.log_up
            }
        };
        if kept && answered {
            self.ends.remove(at);
        }
    }

    pub(super) fn append_end(&mut self, task: TaskRef, outcome: &TaskOutcome) {
        let state = TaskState::Ended(outcome.clone());
        if self.jobs.set(task, state) {
            self.home.recorded(task, &self.jobs, Millis(self.now));
        }
    }
}
