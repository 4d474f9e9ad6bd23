//! Tasks that ended in the log while they may still run: they are stopped, and kept in mind until
//! they surely do not run.

use syc_types::MemberId;
use syc_types::Millis;
use syc_types::TaskRef;
use syc_types::TeamId;

use super::Action;
use super::Home;
use super::Phase;
use super::Stop;

impl Home {
    /// Takes in that a task has ended in the log, by a cancellation or a record of its end.
    pub fn ended_in_log(&mut self, team: &TeamId, task: TaskRef, now: Millis) {
        let Some(state) = self.task_mut(team, task) else {
            return;
        };
        state.cancelled = true;
        let owner = match &state.phase {
            Phase::Waiting | Phase::Ending => {
                self.remove_task(team, task);
                return;
            }
            Phase::Running { owner, .. } | Phase::Doubtful { owner } => owner.clone(),
            Phase::Unsettled { .. } | Phase::Placing { .. } => return,
        };
        if matches!(state.phase, Phase::Doubtful { .. }) {
            self.unsettle(team, task);
        }
        self.push_stop(now, &owner, task);
    }

    /// Takes in what came of a stop; one that did not reach the owner is sent again.
    pub fn stop_sent(&mut self, stop: &Stop, reached: bool, now: Millis) {
        self.stopping = self.stopping.saturating_sub(1);
        let still_a_member = self.members.contains(&stop.owner);
        if reached || !still_a_member {
            return;
        }
        let at = now.plus(self.options.ask_again_ms);
        self.stops.push_back((at, stop.clone()));
    }

    pub(super) fn unsettle(&mut self, team: &TeamId, task: TaskRef) {
        let Some(state) = self.teams.get_mut(team) else {
            return;
        };
        let round = state.next_round();
        self.set_phase(team, task, Phase::Unsettled { round });
    }

    pub(super) fn due_stops(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for _ in 0..self.stops.len() {
            if self.stopping >= self.options.stops {
                return;
            }
            let Some((at, stop)) = self.stops.pop_front() else {
                return;
            };
            if at > now {
                self.stops.push_back((at, stop));
                continue;
            }
            self.stopping += 1;
            actions.push(Action::Stop(stop));
        }
    }

    pub(super) fn next_stop_at(&self) -> Option<Millis> {
        self.stops.iter().map(|(at, _)| *at).min()
    }

    /// Says whether this owner is one of the epoch's members.
    #[must_use]
    pub fn knows(&self, owner: &MemberId) -> bool {
        self.members.contains(owner)
    }
}
