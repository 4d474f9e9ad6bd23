//! Gives up the role while this node runs on: at a planned stop, or because it is cut off from the others.

use std::rc::Rc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::clock::now;
use crate::leader::Leader;
use crate::ports::Platform;

/// A scheduler hands over its role after hearing no other node for this long.
const ISOLATION_TIMEOUT_MS: u64 = 1_500;

/// How long a planned stop waits for a candidate to read the state that a takeover needs. Tasks are started meanwhile.
const PREPARATION_LIMIT_MS: u64 = 800;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Hands over the role to any other node.
    async fn hand_over(self: &Rc<Self>, reason: &'static str) {
        self.hand_over_to(SmolStr::default(), reason).await;
    }

    /// Hands over the role: writes pending progress, then records in the store that the role is
    /// free, and which node should take it; any, if the name is empty.
    pub(super) async fn hand_over_to(self: &Rc<Self>, successor: SmolStr, reason: &'static str) {
        if self.handing_over.replace(true) || self.ended.get() {
            return;
        }
        self.flush_progress().await;
        self.release(successor, reason).await;
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
        let is_isolated_from_nodes = self
            .peer_heard_at
            .get()
            .is_some_and(|at| now().since(at) > ISOLATION_TIMEOUT_MS);
        if !is_isolated_from_nodes {
            self.compare_reach_if_due();
            return;
        }
        let leader = Rc::clone(self);
        actix_rt::spawn(async move { leader.hand_over("cut_off_from_nodes").await });
    }
}
