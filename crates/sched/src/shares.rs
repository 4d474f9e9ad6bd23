//! Shares of workspaces: whose waiting work goes first when the workers can't take all of it.
//!
//! Load pattern: one workspace submits several times its usual amount. In order of urgency alone, its older jobs go before
//! the new jobs of all others, which wait behind a backlog that is not theirs. So within a priority, the work of workspaces
//! that occupy clearly more than their share goes last. While there is room for everything, the order makes no difference.

use std::collections::BTreeSet;

use syc_types::Resources;

use crate::Scheduler;
use crate::ids::WorkspaceKey;
use crate::waiting::WaitingStep;

/// A workspace counts as over its share from this multiple on. A small one often exceeds its share for a moment with a
/// single large job, and its other work is not set back for that.
const OVER_SHARE_FACTOR: f64 = 1.5;

impl Scheduler {
    /// Orders waiting steps, which are sorted by urgency, by the shares of their workspaces.
    pub(crate) fn order_by_share(&self, steps: &mut [WaitingStep]) {
        let waiting: BTreeSet<_> = steps.iter().filter_map(|step| step.workspace).collect();
        if waiting.is_empty() {
            return;
        }
        let over_share = self.over_share(&waiting);
        let is_over =
            |step: &WaitingStep| step.workspace.is_some_and(|key| over_share.contains(&key));
        // The sort is stable, so urgency decides among the rest.
        steps.sort_by_cached_key(|step| (step.urgency.class(), is_over(step)));
    }

    /// Returns the workspaces that count as over their share of the workers, by weight among those that run or wait for
    /// something.
    fn over_share(&self, waiting: &BTreeSet<WorkspaceKey>) -> BTreeSet<WorkspaceKey> {
        let mut weights = 0.0;
        for (key, workspace) in self.workspaces.iter() {
            if workspace.used != Resources::ZERO || waiting.contains(&key) {
                weights += workspace.policy.weight;
            }
        }
        let pool = self.pool();
        let mut over_share = BTreeSet::new();
        for (key, workspace) in self.workspaces.iter() {
            let share = workspace.policy.weight / weights;
            if workspace.used.dominant_part(&pool) > share * OVER_SHARE_FACTOR {
                over_share.insert(key);
            }
        }
        over_share
    }

    /// Returns the capacity of all workers.
    fn pool(&self) -> Resources {
        let workers = self.workers.values();
        workers.fold(Resources::ZERO, |pool, worker| {
            pool.saturating_add(&worker.spec.capacity)
        })
    }
}
