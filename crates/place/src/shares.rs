//! Weighted fair sharing of several resources among teams, by dominant share.

use std::collections::HashMap;

use syc_types::Resources;
use syc_types::TeamId;

/// Scale of a share.
const SHARE_UNIT: u128 = 1_000_000_000;

#[derive(Debug, Clone, Copy, Default)]
struct TeamUse {
    held: Resources,
    weight: u32,
}

/// What each team holds, and its weight.
#[derive(Debug, Clone, Default)]
pub(crate) struct Shares {
    teams: HashMap<TeamId, TeamUse>,
    pool: Resources,
}

impl Shares {
    /// Sets the sum of all capacities.
    pub(crate) const fn set_pool(&mut self, pool: Resources) {
        self.pool = pool;
    }

    /// Returns the sum of all capacities.
    pub(crate) const fn pool(&self) -> Resources {
        self.pool
    }

    /// Sets the teams' weights; a team that is not named weighs one.
    pub(crate) fn set_weights(&mut self, weights: &[(TeamId, u32)]) {
        for team in self.teams.values_mut() {
            team.weight = 1;
        }
        for (team, weight) in weights {
            self.teams.entry(team.clone()).or_default().weight = *weight;
        }
    }

    /// Notes that a team holds more.
    pub(crate) fn hold(&mut self, team: &TeamId, resources: &Resources) {
        let team = self.teams.entry(team.clone()).or_default();
        team.held = team.held.checked_add(resources).unwrap_or(team.held);
    }

    /// Notes that a team holds less.
    pub(crate) fn give_back(&mut self, team: &TeamId, resources: &Resources) {
        if let Some(team) = self.teams.get_mut(team) {
            team.held = team.held.saturating_sub(resources);
        }
    }

    /// Returns a team's greatest share of any resource, divided by its weight.
    pub(crate) fn dominant(&self, team: &TeamId) -> u128 {
        let Some(team) = self.teams.get(team) else {
            return 0;
        };
        let part = |held: u64, all: u64| u128::from(held) * SHARE_UNIT / u128::from(all.max(1));
        let cpu = part(team.held.cpu_millis, self.pool.cpu_millis);
        let memory = part(team.held.memory_bytes, self.pool.memory_bytes);
        let accelerators = part(
            u64::from(team.held.accelerators),
            u64::from(self.pool.accelerators),
        );
        cpu.max(memory).max(accelerators) / u128::from(team.weight.max(1))
    }
}
