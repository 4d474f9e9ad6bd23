//! Workspaces whose caps rise and fall, which the scheduler hears of with a delay.

use std::collections::BTreeMap;

use rand::Rng;
use syc_sched::Cancellation;
use syc_sched::Event;
use syc_sched::JobId;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::WorkspaceName;
use syc_workspace::UNLIMITED;
use syc_workspace::WorkspacePolicy;

use super::Delivery;
use super::FAULTS_UNTIL_MS;
use super::Simulation;
use crate::jobs::cpu;

/// Number of workspaces.
const WORKSPACES: u64 = 3;

/// Caps before the first change, in cores: a fifth of all workers.
const FIRST_CORES: u64 = 8;

/// Longest time until the scheduler hears of a change.
const READ_MS: u64 = 1_000;

/// A start that was ordered under a higher cap may still be carried out for this long after the cap has fallen.
const LATE_MS: u64 = 8_500;

/// Longest time of an order that is not late.
const ORDER_MS: u64 = 500;

/// The caps of the workspaces, newest last, each with when it was published.
#[derive(Debug, Default)]
pub(super) struct Caps {
    published: BTreeMap<WorkspaceName, Vec<(Millis, Resources)>>,
    are_lifted: bool,
}

/// Returns the workspace of a job.
pub(super) fn workspace_of(job: JobId) -> WorkspaceName {
    WorkspaceName::new(format!("workspace-{}", job.0 % WORKSPACES))
}

impl Simulation {
    pub(super) fn publish_first_caps(&mut self) {
        if self.profile.cap_changes == 0 {
            return;
        }
        for number in 0..WORKSPACES {
            self.publish_cap(workspace_of(JobId(number)), cpu(FIRST_CORES));
        }
    }

    fn publish_cap(&mut self, workspace: WorkspaceName, cap: Resources) {
        let now = self.now;
        let published = self.caps.published.entry(workspace).or_default();
        published.push((now, cap));
    }

    /// Changes the cap of a workspace, at times far below what it has running.
    pub(super) fn change_cap(&mut self) {
        let number = self.rng.random_range(0..WORKSPACES);
        let cores = self.rng.random_range(2..=3 * FIRST_CORES);
        self.publish_cap(workspace_of(JobId(number)), cpu(cores));
        let delay_ms = self.rng.random_range(0..READ_MS);
        self.schedule(delay_ms, Delivery::CapsRead(self.token));
    }

    /// Passes the newest caps to the scheduler.
    pub(super) fn read_caps(&mut self) {
        let policies = self.caps.published.iter().map(|(workspace, published)| {
            let newest = published.last().map(|(_, cap)| *cap);
            let first = published.first().map(|(_, cap)| *cap);
            let known = if self.profile.hides_cap_changes {
                first
            } else {
                newest
            };
            WorkspacePolicy {
                cap: known.unwrap_or(UNLIMITED),
                ..WorkspacePolicy::unlimited(workspace.clone())
            }
        });
        let policies: Vec<_> = policies.collect();
        if let Some(fault) = self.profile.planted_usage_fault
            && let Some(scheduler) = &mut self.scheduler
        {
            scheduler.plant_usage_fault(fault);
        }
        self.apply(Event::WorkspacesSet(policies));
    }

    /// Tells the checker the highest cap that may be in force, and lifts all caps at the end so that every job can end.
    pub(super) fn enforce_caps(&mut self) {
        if self.profile.cap_changes == 0 {
            return;
        }
        if self.now.0 > FAULTS_UNTIL_MS + LATE_MS && !self.caps.are_lifted {
            self.caps.are_lifted = true;
            for number in 0..WORKSPACES {
                self.publish_cap(workspace_of(JobId(number)), UNLIMITED);
            }
            self.read_caps();
        }
        for (workspace, published) in &self.caps.published {
            let newest = published.len() - 1;
            let mut highest = Resources::ZERO;
            for (index, (_, cap)) in published.iter().enumerate() {
                let replaced_at = published.get(index + 1).map(|(at, _)| *at);
                let is_over = replaced_at.is_some_and(|at| self.now.since(at) > self.overlap_ms());
                if index == newest || !is_over {
                    highest = highest.max_each(cap);
                }
            }
            self.fleet.checker.set_cap(workspace.clone(), highest);
        }
    }

    /// Returns the cancellation of a job by its own workspace.
    pub(super) fn cancellation_of(&self, job: JobId) -> Cancellation {
        let has_workspaces = self.profile.cap_changes > 0;
        Cancellation {
            job,
            workspace: has_workspaces.then(|| workspace_of(job)),
        }
    }

    /// Has callers of another workspace, and of none, cancel a job, which must change nothing.
    pub(super) fn cancel_as_another(&mut self, job: JobId) {
        if self.profile.cap_changes == 0 {
            return;
        }
        self.apply(Event::JobCancelled(Cancellation {
            job,
            workspace: Some(workspace_of(JobId(job.0 + 1))),
        }));
        self.apply(Event::JobCancelled(job.into()));
    }

    /// Returns for how long a cap counts after the next one was published.
    fn overlap_ms(&self) -> u64 {
        let has_late_orders = self.profile.late_per_mille > 0 || self.profile.resetting_workers > 0;
        if has_late_orders {
            LATE_MS
        } else {
            READ_MS + ORDER_MS
        }
    }
}
