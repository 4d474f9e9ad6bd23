//! Former views: whose members may still act, and until when.
//!
//! A member of a former view acts no more for it once it was heard in a later epoch, once it is
//! surely gone, or once a majority of that view has stopped acknowledging it for so long that the
//! last lease it can have had is over.

use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Millis;

use crate::Key;
use crate::Membership;
use crate::Silence;
use crate::View;

impl Membership {
    /// Says whether any member of a former view may still act.
    pub(crate) fn former_may_act(&self, now: Millis) -> bool {
        self.views
            .former
            .iter()
            .any(|view| !self.view_quenched(view, now))
    }

    /// Says whether a former holder of `key`, other than this member, may still act.
    pub(crate) fn former_holds(&self, key: Key<'_>, now: Millis) -> bool {
        self.views.former.iter().any(|view| {
            let holder = view.holder(key);
            holder.is_some_and(|holder| !self.quenched(view, &holder.id, now))
        })
    }

    /// Forgets the former views in which nobody can act any more.
    pub(crate) fn settle(&mut self, now: Millis) {
        let mut former = std::mem::take(&mut self.views.former);
        former.retain(|view| view.epoch >= self.settled && !self.view_quenched(view, now));
        let first = former.first().map_or(self.views.current.epoch, |v| v.epoch);
        self.settled = self.settled.max(first);
        self.views.former = former;
    }

    fn view_quenched(&self, view: &View, now: Millis) -> bool {
        let mut members = view.members.iter();
        members.all(|member| self.quenched(view, &member.id, now))
    }

    fn quenched(&self, view: &View, id: &MemberId, now: Millis) -> bool {
        if *id == self.me.id || self.options.skip_wait {
            return true;
        }
        if let Some(peer) = self.peers.get(id)
            && (peer.epoch > view.epoch || peer.retired || peer.gone_at.is_some())
        {
            return true;
        }
        let mut lapses = Vec::new();
        for member in &view.members {
            if let Some(lapse) = self.lapse_of_grant(view.epoch, &member.id, id) {
                lapses.push(lapse);
            }
        }
        lapses.sort_unstable();
        let decisive = lapses.get(view.majority() - 1);
        decisive.is_some_and(|lapse| now >= *lapse)
    }

    /// Returns when what `voter` granted to `holder` up to `epoch` has lapsed, if it is known
    /// that it grants nothing more in that epoch.
    fn lapse_of_grant(&self, epoch: Epoch, voter: &MemberId, holder: &MemberId) -> Option<Millis> {
        let lapse_ms = self.options.lapse_ms();
        if voter == holder {
            return None;
        }
        if *voter == self.me.id {
            let granted = self.peers.get(holder).and_then(|peer| peer.last_granted);
            return Some(granted.map_or(Millis(0), |at| at.plus(lapse_ms)));
        }
        let peer = self.peers.get(voter)?;
        if let Some(gone_at) = peer.gone_at {
            return Some(gone_at.plus(lapse_ms));
        }
        if peer.epoch <= epoch {
            return None;
        }
        peer.lapses.get(holder).copied()
    }

    /// Says how long ago this member last granted a lease to each member of a former view.
    pub(crate) fn silences(&self, now: Millis) -> Vec<Silence> {
        let mut silences: Vec<Silence> = Vec::new();
        let unseen = self.known > self.views.current.epoch;
        let last = unseen.then_some(&self.views.current);
        for view in self.views.former.iter().chain(last) {
            for member in &view.members {
                let known = silences.iter().any(|silence| silence.of == member.id);
                if known || member.id == self.me.id {
                    continue;
                }
                let granted = self.peers.get(&member.id).and_then(|p| p.last_granted);
                let lapse_ms = self.options.lapse_ms();
                let silent_ms = granted.map_or(lapse_ms, |at| now.since(at));
                silences.push(Silence {
                    of: member.id.clone(),
                    silent_ms: silent_ms.min(lapse_ms),
                });
            }
        }
        silences
    }
}
