//! Which tasks are offered next, and to whom: classes in order, the teams of a class in turn.

use syc_types::Class;
use syc_types::JobSpec;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::TaskRef;
use syc_types::TeamId;

use super::Action;
use super::Home;
use super::Part;
use super::Phase;
use super::Placement;
use super::Unit;
use super::queue::class_index;
use super::rooms::OwnerRoom;
use super::rooms::rank_owners;
use super::rooms::split;
use crate::Jobs;

/// Pause of a start that waits for the log.
const LOG_PAUSE_MS: u64 = 500;

impl Home {
    /// Returns what is to be done now for the teams that `acting` allows. `log_up` says whether
    /// intents can be recorded.
    pub fn actions<F>(
        &mut self,
        acting: F,
        jobs: &Jobs,
        rooms: &[OwnerRoom],
        log_up: bool,
        now: Millis,
    ) -> Vec<Action>
    where
        F: Fn(&TeamId) -> bool,
    {
        for rotation in &mut self.rotation {
            rotation.retain(&acting);
        }
        let mut actions = Vec::new();
        for (task, outcome) in std::mem::take(&mut self.ends) {
            actions.push(Action::RecordEnd { task, outcome });
        }
        let names: Vec<_> = self
            .teams
            .keys()
            .filter(|name| acting(name))
            .cloned()
            .collect();
        self.asks(&names, now, &mut actions);
        self.due_stops(now, &mut actions);
        for name in names {
            if let Some(team) = self.teams.get_mut(&name) {
                team.queue.advance(now);
            }
            self.rotate_in(&name);
        }
        for class in [Class::Urgent, Class::Normal, Class::Patient] {
            while self.may_offer(class)
                && let Some((team, unit)) = self.next_unit(class)
            {
                actions.extend(self.offer(&team, unit, jobs, rooms, log_up, now));
            }
        }
        actions
    }

    /// Returns when [`Home::actions`] is to be asked again, if nothing else happens.
    #[must_use]
    pub fn next_at(&self) -> Option<Millis> {
        let mut next = self.next_stop_at();
        for team in self.teams.values() {
            let asked = team.round.as_ref().and_then(super::Round::next_at);
            for at in [team.queue.next_at(), asked].into_iter().flatten() {
                next = Some(next.map_or(at, |next| next.min(at)));
            }
        }
        next
    }

    const fn may_offer(&self, class: Class) -> bool {
        if matches!(class, Class::Urgent) {
            return self.placing < self.options.offers * 2;
        }
        self.placing - self.placing_urgent < self.options.offers
    }

    fn next_unit(&mut self, class: Class) -> Option<(TeamId, Unit)> {
        let class = class_index(class);
        loop {
            let name = self.rotation[class].pop_front()?;
            let Some(team) = self.teams.get_mut(&name) else {
                continue;
            };
            let unit = team.queue.pop(class);
            if team.queue.has(class) {
                self.rotation[class].push_back(name.clone());
            }
            if let Some(unit) = unit {
                return Some((name, unit));
            }
        }
    }

    fn offer(
        &mut self,
        team: &TeamId,
        mut unit: Unit,
        jobs: &Jobs,
        rooms: &[OwnerRoom],
        log_up: bool,
        now: Millis,
    ) -> Option<Action> {
        let job = jobs.get(unit.job_id)?;
        let task = |index| TaskRef {
            job_id: job.id,
            index,
        };
        unit.indexes
            .retain(|index| self.offerable(team, task(*index), unit.pinned.as_ref()));
        if unit.indexes.is_empty() {
            return None;
        }
        let state = self.teams.get_mut(team)?;
        if !log_up && !job.spec.idempotent {
            state.queue.push_at(now.plus(LOG_PAUSE_MS), unit);
            return None;
        }
        if unit.pinned.is_none() && !state.has_quota(&job.spec, unit.indexes.len()) {
            state.queue.block(unit);
            return None;
        }
        let parts = self.parts_for(&unit, &job.spec, rooms)?;
        let attempts = unit.indexes.iter().filter_map(|&index| {
            let task = self.task(team, task(index));
            task.map(|task| task.attempt)
        });
        let attempt = attempts.max()?;
        for &index in &unit.indexes {
            self.set_phase(team, task(index), Phase::Placing { stale: false });
            if let Some(state) = self.task_mut(team, task(index)) {
                state.attempt = attempt;
            }
        }
        self.placing += 1;
        self.placing_urgent += usize::from(unit.class == Class::Urgent);
        Some(Action::Place(Placement {
            job_id: job.id,
            epoch: self.epoch,
            attempt,
            tries: unit.tries,
            asked: unit.asked,
            urgent: unit.class == Class::Urgent,
            pinned: unit.pinned.is_some(),
            parts,
        }))
    }

    fn offerable(&self, team: &TeamId, task: TaskRef, pinned: Option<&MemberId>) -> bool {
        let Some(task) = self.task(team, task) else {
            return false;
        };
        match (&task.phase, pinned) {
            (Phase::Waiting, None) => !task.cancelled,
            (Phase::Doubtful { owner }, Some(pinned)) => owner == pinned && !task.cancelled,
            _ => false,
        }
    }

    fn parts_for(&self, unit: &Unit, spec: &JobSpec, rooms: &[OwnerRoom]) -> Option<Vec<Part>> {
        if let Some(owner) = &unit.pinned {
            return Some(vec![Part {
                owner: owner.clone(),
                indexes: unit.indexes.clone(),
            }]);
        }
        let several = unit.indexes.len() > 1;
        // Where one owner says it has room for all, its turn decides whether it is asked.
        if several
            && unit.tries % 2 == 1
            && let Some(parts) = split(&unit.indexes, &spec.resources, rooms)
            && parts.len() > 1
        {
            return Some(parts);
        }
        let ranked = rank_owners(unit.job_id, &unit.indexes, spec, &self.members, rooms);
        // What the owners say changes between two offers, so a place in the ranking names nobody.
        let unasked = ranked.iter().find(|owner| !unit.asked.contains(owner));
        let owner = unasked.or(ranked.first())?.clone();
        Some(vec![Part {
            owner,
            indexes: unit.indexes.clone(),
        }])
    }
}

impl super::Team {
    fn has_quota(&self, spec: &JobSpec, count: usize) -> bool {
        let count_u32 = u32::try_from(count).unwrap_or(u32::MAX);
        let tasks = self.held_tasks.saturating_add(count_u32);
        if self.quota.tasks.is_some_and(|most| tasks > most) {
            return false;
        }
        let Some(quota) = self.quota.resources else {
            return true;
        };
        let mut sum = self.used;
        for _ in 0..count {
            let Ok(more) = sum.checked_add(&spec.resources) else {
                return false;
            };
            sum = more;
        }
        sum.fits_in(&quota)
    }
}
