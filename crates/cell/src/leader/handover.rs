//! Gives up the role while this node runs on: at a planned stop, or because it is cut off from the others.

use std::rc::Rc;
use std::time::Duration;

use syc_types::Millis;

use crate::clock::now;
use crate::leader::Leader;
use crate::ports::Platform;

/// A scheduler hands over its role after hearing no other node for this long, or hearing fewer than
/// half of the workers for this long beyond their answer timeout.
const ISOLATION_TIMEOUT_MS: u64 = 1_500;

/// How long a planned stop waits for a candidate to read the state that a takeover needs. Tasks are started meanwhile.
const PREPARATION_LIMIT_MS: u64 = 800;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Hands over the role: writes pending progress, then records in the store that the role is
    /// free.
    pub(crate) async fn hand_over(self: &Rc<Self>, reason: &'static str) {
        if self.handing_over.replace(true) || self.ended.get() {
            return;
        }
        self.flush_progress().await;
        self.release(reason).await;
    }

    /// Hands over the role once a candidate has read the state that a takeover needs, or after a while. The scheduler goes
    /// on as usual until then.
    pub(crate) async fn hand_over_to_prepared(self: &Rc<Self>, reason: &'static str) {
        self.hands_over_soon.set(true);
        if self.loaded.get() && self.contact_plans.borrow().nodes() > 0 {
            let limit = Duration::from_millis(PREPARATION_LIMIT_MS);
            let _prepared = tokio::time::timeout(limit, self.successor_prepared.notified()).await;
        }
        self.hand_over(reason).await;
    }

    /// Returns whether the role will be handed over as soon as a candidate is prepared.
    pub(crate) const fn hands_over_soon(&self) -> bool {
        self.hands_over_soon.get()
    }

    /// Returns whether fewer than half of the workers have answered for longer than they are given
    /// to answer.
    ///
    /// That time adapts to how fast workers answer. With a fixed time, nodes kept handing over the
    /// role when all workers were slow.
    fn is_isolated_from_workers(&self, now: Millis) -> bool {
        if self.scheduler.borrow().half_of_workers_respond() {
            self.workers_heard_at.set(now);
            return false;
        }
        now.since(self.workers_heard_at.get()) > ISOLATION_TIMEOUT_MS + self.median_slack_ms()
    }

    /// Hands over the role if this node appears isolated while the store, and therefore other
    /// nodes, may be reachable.
    pub(crate) fn hand_over_if_isolated(self: &Rc<Self>) {
        if self.authority.borrow().is_expired(now()) {
            self.step_down("isolated");
            return;
        }
        if !self.loaded.get() || self.handing_over.get() || !self.node.store_answers() {
            return;
        }
        let now = now();
        let isolated_from_nodes = self
            .peer_heard_at
            .get()
            .is_some_and(|at| now.since(at) > ISOLATION_TIMEOUT_MS);
        let isolated_from_workers = self.is_isolated_from_workers(now);
        if !isolated_from_nodes && !isolated_from_workers {
            return;
        }
        let leader = Rc::clone(self);
        let reason = if isolated_from_nodes {
            "cut_off_from_nodes"
        } else {
            "cut_off_from_workers"
        };
        actix_rt::spawn(async move { leader.hand_over(reason).await });
    }
}
