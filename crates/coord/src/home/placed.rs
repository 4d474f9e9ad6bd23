//! What came of placements: tasks that run, wait again, or are in doubt.

use syc_types::Class;
use syc_types::JobKind;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::TaskRef;
use syc_types::TeamId;

use super::Home;
use super::Phase;
use super::Placement;
use super::StartOutcome;
use super::Unit;
use crate::Job;
use crate::Jobs;

impl Home {
    /// Takes in what came of the start of each task of a placement.
    pub fn placed(
        &mut self,
        placement: &Placement,
        outcomes: &[(u32, StartOutcome)],
        jobs: &Jobs,
        now: Millis,
    ) {
        self.placing = self.placing.saturating_sub(1);
        let urgent = usize::from(placement.urgent);
        self.placing_urgent = self.placing_urgent.saturating_sub(urgent);
        let Some(job) = jobs.get(placement.job_id) else {
            return;
        };
        let mut refused = Vec::new();
        for (index, outcome) in outcomes {
            let task = TaskRef {
                job_id: job.id,
                index: *index,
            };
            if self.started(&job.spec.team, task, placement, outcome, now) {
                refused.push(*index);
            }
        }
        let whole = refused.len() == outcomes.len();
        self.offer_again(job, placement, refused, whole, now);
    }

    // Returns whether the task waits again.
    fn started(
        &mut self,
        team: &TeamId,
        task: TaskRef,
        placement: &Placement,
        outcome: &StartOutcome,
        now: Millis,
    ) -> bool {
        let Some(state) = self.task(team, task) else {
            return false;
        };
        let Phase::Placing { stale } = state.phase else {
            return false;
        };
        if state.attempt != placement.attempt {
            // This attempt has ended already, and the next is being placed.
            return false;
        }
        let cancelled = state.cancelled;
        match outcome {
            StartOutcome::NotStarted if placement.pinned => {
                self.unsettle(team, task);
                false
            }
            StartOutcome::NotStarted if cancelled => {
                self.remove_task(team, task);
                false
            }
            StartOutcome::NotStarted => {
                self.set_phase(team, task, Phase::Waiting);
                true
            }
            StartOutcome::Started { owner, worker } => {
                let next = self.teams.get_mut(team).filter(|_| stale);
                let round = next.map(super::Team::next_round);
                let phase = Phase::Running {
                    owner: owner.clone(),
                    worker: worker.clone(),
                    round,
                };
                self.set_phase(team, task, phase);
                if cancelled {
                    self.push_stop(now, owner, task);
                }
                false
            }
            StartOutcome::InDoubt { owner } => {
                self.doubt(team, task, owner, stale || cancelled, now);
                if cancelled {
                    self.push_stop(now, owner, task);
                }
                false
            }
        }
    }

    fn doubt(
        &mut self,
        team: &TeamId,
        task: TaskRef,
        owner: &MemberId,
        by_round: bool,
        now: Millis,
    ) {
        if by_round {
            self.unsettle(team, task);
            return;
        }
        let phase = Phase::Doubtful {
            owner: owner.clone(),
        };
        self.set_phase(team, task, phase);
        let at = now.plus(self.options.ask_again_ms);
        let unit = Unit {
            job_id: task.job_id,
            indexes: vec![task.index],
            class: Class::Urgent,
            tries: 0,
            asked: Vec::new(),
            pinned: Some(owner.clone()),
        };
        if let Some(state) = self.teams.get_mut(team) {
            state.queue.push_at(at, unit);
        }
    }

    fn offer_again(
        &mut self,
        job: &Job,
        placement: &Placement,
        refused: Vec<u32>,
        whole: bool,
        now: Millis,
    ) {
        let owners = u32::try_from(self.members.len()).unwrap_or(u32::MAX).max(1);
        let tries = placement.tries.saturating_add(1);
        let asked = self.asked_in_turn(placement);
        let turns = tries / owners;
        let pause_ms = if turns == 0 {
            0
        } else {
            let doubled = self.options.no_room_min_ms << (turns - 1).min(16);
            doubled.min(self.options.no_room_max_ms)
        };
        let units: Vec<_> = if whole && job.spec.kind == JobKind::Gang {
            vec![refused]
        } else {
            refused.into_iter().map(|index| vec![index]).collect()
        };
        let Some(team) = self.teams.get_mut(&job.spec.team) else {
            return;
        };
        for indexes in units {
            let unit = Unit {
                job_id: job.id,
                indexes,
                class: job.spec.class,
                tries,
                asked: asked.clone(),
                pinned: None,
            };
            team.queue.push_at(now.plus(pause_ms), unit);
        }
    }

    // Of several owners that were asked together it is not known which one refused. When each has
    // been asked alone, the next turn begins.
    fn asked_in_turn(&self, placement: &Placement) -> Vec<MemberId> {
        let mut asked = placement.asked.clone();
        if let [only] = placement.parts.as_slice() {
            asked.push(only.owner.clone());
        }
        if self.members.iter().all(|member| asked.contains(member)) {
            asked.clear();
        }
        asked
    }
}
