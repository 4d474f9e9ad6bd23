//! Becoming and ceasing to be a team's home when the view changes.

use std::collections::HashSet;

use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::TaskRef;
use syc_types::TeamId;

use super::Home;
use super::Phase;
use super::Task;
use super::Team;
use crate::Job;
use crate::Jobs;

impl Home {
    /// Enters an epoch. What a former home may have started is asked for before it is offered; what
    /// this one started itself is confirmed by asking.
    pub fn enter<F>(
        &mut self,
        epoch: Epoch,
        members: Vec<MemberId>,
        is_home: F,
        jobs: &Jobs,
        now: Millis,
    ) where
        F: Fn(&TeamId) -> bool,
    {
        if epoch <= self.epoch && !self.members.is_empty() {
            return;
        }
        self.epoch = epoch;
        self.members = members;
        self.accepting.clear();
        self.stops.clear();
        for team in self.teams.values() {
            self.round_base = self.round_base.max(team.rounds_begun + 1);
        }
        self.teams.retain(|name, _| is_home(name));
        for rotation in &mut self.rotation {
            rotation.retain(&is_home);
        }
        for team in self.teams.values_mut() {
            team.doubt_all();
        }
        self.synchronize(is_home, jobs, now);
    }

    /// Takes over jobs that came by another way than the log's order, such as a snapshot.
    pub fn synchronize<F>(&mut self, is_home: F, jobs: &Jobs, now: Millis)
    where
        F: Fn(&TeamId) -> bool,
    {
        let mut gone = Vec::new();
        for (name, team) in &self.teams {
            for task in team.tasks.keys() {
                if jobs.get(task.job_id).is_none_or(Job::ended) {
                    gone.push((name.clone(), *task));
                }
            }
        }
        for (team, task) in gone {
            self.remove_task(&team, task);
        }
        let mut asked = HashSet::new();
        for job in jobs.iter() {
            let team = &job.spec.team;
            if !is_home(team) {
                continue;
            }
            self.learn(job, true, now);
            if asked.insert(team) {
                self.ensure_team(team);
                if let Some(state) = self.teams.get_mut(team) {
                    state.next_round();
                }
            }
        }
    }
}

impl Team {
    fn doubt_all(&mut self) {
        self.round = None;
        self.hold_endings();
        let next = self.next_round();
        for task in self.tasks.values_mut() {
            match &mut task.phase {
                Phase::Placing { stale } => *stale = true,
                Phase::Doubtful { .. } => task.phase = Phase::Unsettled { round: next },
                Phase::Running { round, .. } => *round = Some(next),
                Phase::Unsettled { round } => *round = next,
                Phase::Waiting | Phase::Ending => {}
            }
        }
    }
}

impl Team {
    // The worker that would report an end again may be gone. What was ending counts as held again, since it is looked for.
    fn hold_endings(&mut self) {
        let ending = |(task, state): (&TaskRef, &Task)| {
            matches!(state.phase, Phase::Ending).then_some(*task)
        };
        let endings: Vec<_> = self.tasks.iter().filter_map(ending).collect();
        for task in endings {
            if let Some(mut state) = self.remove(task) {
                state.phase = Phase::Unsettled { round: 0 };
                self.insert(task, state);
            }
        }
    }
}
