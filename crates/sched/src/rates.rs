//! Guaranteed rates of workspaces: which jobs are within the rate of their workspace, and which are excess.
//!
//! Load pattern: several workspaces send many times their usual load for some seconds. Each workspace is entitled to
//! what it sends within its rate, whatever the others send. A token bucket for each workspace is filled at its rate; a
//! job that finds it empty is excess and gets only the remaining capacity, see [`crate::waiting`].
//!
//! The marks are not stored. A successor recomputes them from the acceptance times of the jobs that it loads.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use syc_types::Millis;
use syc_workspace::WorkspacePolicy;

use crate::Action;
use crate::Note;
use crate::RateUseChange;
use crate::Scheduler;
use crate::ids::JobKey;
use crate::ids::WorkspaceKey;

/// A job that is learnt of this long after its acceptance, and after later ones, is counted in the order of acceptance.
/// Nodes report jobs to the scheduler within a few round trips, so smaller differences are not worth a recount.
const RECOUNT_DELAY_MS: u64 = 1_000;

/// A workspace has ended sending beyond its rate once it has sent no excess job for this long.
const BEYOND_RATE_END_MS: u64 = 2_000;

/// Minimum time between two log lines about the rate of a workspace.
const RATE_LOG_INTERVAL_MS: u64 = 1_000;

/// Tokens that a workspace has left, one for each job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct TokenBucket {
    level_jobs: f64,
    filled_at: Millis,
}

impl TokenBucket {
    /// A bucket that holds the whole burst.
    pub(crate) const FULL: Self = Self {
        level_jobs: f64::INFINITY,
        filled_at: Millis(0),
    };

    /// Returns the tokens left at a time. The level is at most the burst, also if the burst has become smaller.
    pub(crate) fn level_at(&self, policy: &WorkspacePolicy, at: Millis) -> f64 {
        if !policy.rate_per_s.is_finite() {
            return policy.burst_jobs;
        }
        let passed = std::time::Duration::from_millis(at.since(self.filled_at));
        let level_jobs = self.level_jobs + policy.rate_per_s * passed.as_secs_f64();
        level_jobs.min(policy.burst_jobs)
    }

    /// Takes the token of a job. Returns whether there was one.
    pub(crate) fn take(&mut self, policy: &WorkspacePolicy, at: Millis) -> bool {
        let level_jobs = self.level_at(policy, at);
        self.filled_at = self.filled_at.max(at);
        let has_token = level_jobs >= 1.0;
        self.level_jobs = if has_token {
            level_jobs - 1.0
        } else {
            level_jobs
        };
        has_token
    }
}

/// What a workspace has sent compared with its rate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RateUse {
    bucket: TokenBucket,
    /// When its latest excess job was accepted.
    latest_excess_at: Option<Millis>,
    /// What the log says about it.
    is_logged_beyond: bool,
    logged_at: Option<Millis>,
}

impl RateUse {
    pub(crate) const fn new() -> Self {
        Self {
            bucket: TokenBucket::FULL,
            latest_excess_at: None,
            is_logged_beyond: false,
            logged_at: None,
        }
    }

    /// Returns the tokens left.
    pub(crate) fn burst_left(&self, policy: &WorkspacePolicy, now: Millis) -> f64 {
        self.bucket.level_at(policy, now)
    }

    /// Counts a job. Returns whether it is excess.
    fn count(&mut self, policy: &WorkspacePolicy, accepted_at: Millis) -> bool {
        let is_excess = !self.bucket.take(policy, accepted_at);
        if is_excess {
            self.latest_excess_at = self.latest_excess_at.max(Some(accepted_at));
        }
        is_excess
    }

    /// Returns whether it sends beyond its rate, if that is to be logged now.
    fn change_to_log(&mut self, now: Millis) -> Option<bool> {
        let latest = self.latest_excess_at;
        let is_beyond = latest.is_some_and(|at| now.since(at) < BEYOND_RATE_END_MS);
        let is_recent = |at| now.since(at) < RATE_LOG_INTERVAL_MS;
        if is_beyond == self.is_logged_beyond || self.logged_at.is_some_and(is_recent) {
            return None;
        }
        self.is_logged_beyond = is_beyond;
        self.logged_at = Some(now);
        Some(is_beyond)
    }
}

impl Scheduler {
    /// Marks a job that was just learnt of as guaranteed or excess.
    pub(crate) fn mark_by_rate(&mut self, job: JobKey) {
        let Some(key) = self.jobs[job].workspace else {
            return;
        };
        if !self.options.guaranteed_rates {
            return;
        }
        let accepted_at = self.jobs[job].accepted_at;
        let is_inherited = self.jobs[job].inherited;
        let workspace = self.workspaces.get_mut(key);
        let counted_until = workspace.rate_use.bucket.filled_at;
        if is_inherited || counted_until.since(accepted_at) >= RECOUNT_DELAY_MS {
            self.workspaces.to_recount.insert(key);
            return;
        }
        let is_excess = workspace.rate_use.count(&workspace.policy, accepted_at);
        self.jobs[job].is_excess = is_excess;
    }

    /// Recomputes buckets and marks from the known jobs, oldest first, for workspaces whose jobs became known out of
    /// order or before their rates.
    pub(crate) fn recount_rates(&mut self) {
        let to_recount = std::mem::take(&mut self.workspaces.to_recount);
        if to_recount.is_empty() || !self.options.guaranteed_rates {
            return;
        }
        for (key, jobs) in self.jobs_by_workspace(&to_recount) {
            self.workspaces.get_mut(key).rate_use.bucket = TokenBucket::FULL;
            for (accepted_at, _, job) in jobs {
                let workspace = self.workspaces.get_mut(key);
                let is_excess = workspace.rate_use.count(&workspace.policy, accepted_at);
                self.jobs[job].is_excess = is_excess;
            }
        }
    }

    /// Returns the known jobs of some workspaces in the order of their acceptance. Jobs that ended under a predecessor
    /// are left out, since their acceptance times are not stored.
    fn jobs_by_workspace(
        &self,
        workspaces: &BTreeSet<WorkspaceKey>,
    ) -> BTreeMap<WorkspaceKey, BTreeSet<(Millis, crate::JobId, JobKey)>> {
        let mut by_workspace = BTreeMap::<_, BTreeSet<_>>::new();
        for (key, job) in &self.jobs {
            let Some(workspace) = job.workspace else {
                continue;
            };
            if !workspaces.contains(&workspace) || job.spec.steps.is_empty() {
                continue;
            }
            let jobs = by_workspace.entry(workspace).or_default();
            jobs.insert((job.accepted_at, job.id(), key));
        }
        by_workspace
    }

    /// Logs which workspaces have begun or ended sending beyond their rates.
    pub(crate) fn log_rates(&mut self, now: Millis) {
        for workspace in self.workspaces.iter_mut() {
            let Some(is_beyond) = workspace.rate_use.change_to_log(now) else {
                continue;
            };
            let change = RateUseChange {
                workspace: workspace.policy.name.clone(),
                is_beyond,
                rate_per_s: workspace.policy.rate_per_s,
                burst_jobs: workspace.policy.burst_jobs,
            };
            self.actions
                .push(Action::Note(Note::RateUseChanged(change)));
        }
    }
}
