//! Asking every owner what runs: a task that no settled owner knows of runs nowhere.

use std::collections::BTreeMap;
use std::collections::HashMap;

use syc_types::JobId;
use syc_types::JobKind;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::TaskOutcome;
use syc_types::TaskRef;
use syc_types::TeamId;

use super::Action;
use super::Home;
use super::KnownTask;
use super::Phase;
use super::Stop;
use super::Team;
use crate::Job;
use crate::Jobs;
use crate::TaskState;

/// What an owner told when it was asked what runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The round that it was asked in.
    pub round: u64,
    /// Who told it.
    pub owner: MemberId,
    /// Whether it is sure of all its workers; false also where it did not answer.
    pub settled: bool,
    /// The tasks that it knows of.
    pub known: Vec<KnownTask>,
}

#[derive(Debug)]
pub(super) struct Round {
    number: u64,
    // Owners that have not settled, and when each is asked next; `None` while it is being asked.
    waiting: BTreeMap<MemberId, Option<Millis>>,
    found: HashMap<TaskRef, u32>,
}

impl Round {
    /// Returns when the next owner is to be asked.
    pub(super) fn next_at(&self) -> Option<Millis> {
        self.waiting.values().filter_map(|at| *at).min()
    }
}

impl Team {
    /// Returns the first round that begins after now.
    pub(super) fn next_round(&mut self) -> u64 {
        let number = self.rounds_begun + 1;
        self.round_needed = self.round_needed.max(number);
        number
    }
}

impl Home {
    pub(super) fn asks(&mut self, acting: &[TeamId], now: Millis, actions: &mut Vec<Action>) {
        for name in acting {
            let Some(team) = self.teams.get_mut(name) else {
                continue;
            };
            if team.round.is_none() && team.round_needed > team.rounds_begun {
                team.rounds_begun += 1;
                let due = |member: &MemberId| (member.clone(), Some(now));
                team.round = Some(Round {
                    number: team.rounds_begun,
                    waiting: self.members.iter().map(due).collect(),
                    found: HashMap::new(),
                });
            }
            let Some(round) = &mut team.round else {
                continue;
            };
            for (owner, at) in &mut round.waiting {
                if at.is_none_or(|at| at > now) {
                    continue;
                }
                *at = None;
                actions.push(Action::Ask {
                    team: name.clone(),
                    owner: owner.clone(),
                    round: round.number,
                });
            }
        }
    }

    /// Takes in what an owner told.
    pub fn told(&mut self, team: &TeamId, told: &Told, jobs: &Jobs, now: Millis) {
        for task in &told.known {
            self.adopt(team, &told.owner, task, jobs, now);
        }
        let again = now.plus(self.options.ask_again_ms);
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        let asked = state.round.as_mut();
        let Some(current) = asked.filter(|round| round.number == told.round) else {
            return;
        };
        for task in &told.known {
            current.found.insert(task.task, task.attempt);
        }
        if !told.settled {
            if let Some(at) = current.waiting.get_mut(&told.owner) {
                *at = Some(again);
            }
            return;
        }
        current.waiting.remove(&told.owner);
        if current.waiting.is_empty()
            && let Some(round) = state.round.take()
        {
            self.conclude(team, &round, jobs, now);
        }
    }

    fn adopt(
        &mut self,
        team: &TeamId,
        owner: &MemberId,
        known: &KnownTask,
        jobs: &Jobs,
        now: Millis,
    ) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        let Some(task) = state.tasks.get_mut(&known.task) else {
            let job = jobs.get(known.task.job_id);
            let ended = job.and_then(|job| job.tasks.get(known.task.index as usize));
            if matches!(ended, Some(TaskState::Ended(_))) {
                self.push_stop(now, owner, known.task);
            }
            return;
        };
        let may_be_it = matches!(
            task.phase,
            Phase::Unsettled { .. } | Phase::Doubtful { .. } | Phase::Running { .. }
        );
        if !may_be_it || known.attempt < task.attempt {
            return;
        }
        task.attempt = known.attempt;
        // Another owner may still tell of a later attempt.
        let round = match task.phase {
            Phase::Running { round, .. } => round,
            Phase::Unsettled { round } => Some(round),
            _ => None,
        };
        task.phase = Phase::Running {
            owner: owner.clone(),
            worker: known.worker.clone(),
            round,
        };
        if task.cancelled {
            self.push_stop(now, owner, known.task);
        }
    }

    fn conclude(&mut self, team: &TeamId, ended: &Round, jobs: &Jobs, now: Millis) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        let mut lost = Vec::new();
        for (task_ref, task) in &mut state.tasks {
            let asked = match &mut task.phase {
                Phase::Unsettled { round } => *round <= ended.number,
                Phase::Running { round, .. } if round.is_some_and(|it| it <= ended.number) => {
                    let found = ended.found.contains_key(task_ref);
                    if found {
                        *round = None;
                    }
                    !found
                }
                _ => false,
            };
            if asked {
                lost.push(*task_ref);
            }
        }
        for (job_id, tasks) in by_job(&lost) {
            let whole = jobs.get(job_id).filter(|job| never_ran(job, &tasks));
            match whole {
                Some(gang) => self.start_gang_again(team, gang, &tasks, now),
                None => {
                    for task in tasks {
                        self.lost(team, task, jobs, now);
                    }
                }
            }
        }
    }

    fn start_gang_again(&mut self, team: &TeamId, job: &Job, tasks: &[TaskRef], now: Millis) {
        let mut indexes = Vec::new();
        for task in tasks {
            if self.task(team, *task).is_some_and(|task| task.cancelled) {
                self.remove_task(team, *task);
                continue;
            }
            self.next_attempt(team, *task);
            indexes.push(task.index);
        }
        self.queue_at(job.id, &job.spec, indexes, now);
    }

    // The task surely does not run now, and how an attempt at it ended is not known.
    pub(super) fn lost(&mut self, team: &TeamId, task: TaskRef, jobs: &Jobs, now: Millis) {
        let Some(job) = jobs.get(task.job_id) else {
            self.remove_task(team, task);
            return;
        };
        let intent = job.intents.get(task.index as usize) == Some(&true);
        let cancelled = self.task(team, task).is_some_and(|task| task.cancelled);
        if cancelled {
            self.remove_task(team, task);
        } else if job.spec.idempotent || !intent {
            self.start_again(team, task, job, now, 0);
        } else {
            self.set_phase(team, task, Phase::Ending);
            self.ends.push((task, TaskOutcome::Unknown));
        }
    }

    pub(super) fn push_stop(&mut self, at: Millis, owner: &MemberId, task: TaskRef) {
        if let Some((_, last)) = self.stops.back_mut()
            && last.owner == *owner
            && last.job_id == task.job_id
            && !last.indexes.contains(&task.index)
        {
            last.indexes.push(task.index);
            return;
        }
        let stop = Stop {
            owner: owner.clone(),
            job_id: task.job_id,
            indexes: vec![task.index],
        };
        self.stops.push_back((at, stop));
    }
}

fn by_job(tasks: &[TaskRef]) -> BTreeMap<JobId, Vec<TaskRef>> {
    let mut jobs: BTreeMap<JobId, Vec<TaskRef>> = BTreeMap::new();
    for task in tasks {
        jobs.entry(task.job_id).or_default().push(*task);
    }
    jobs
}

// A gang none of whose tasks runs or has ended starts as a whole again.
fn never_ran(job: &Job, lost: &[TaskRef]) -> bool {
    let whole = lost.len() == job.spec.tasks as usize;
    let unstarted = job.spec.idempotent || !job.intents.contains(&true);
    job.spec.kind == JobKind::Gang && whole && unstarted
}
