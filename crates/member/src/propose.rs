//! When the view is to change, to what, and who proposes it.

use syc_types::MemberId;
use syc_types::Millis;
use syc_types::hash;

use crate::Action;
use crate::Member;
use crate::Membership;

/// Span in which view changes are counted.
const CHANGES_SPAN_MS: u64 = 60_000;

/// Longest wait after an append that failed.
const RETRY_LIMIT_MS: u64 = 15_000;

/// Most doublings of the wait.
const RETRY_DOUBLINGS: u32 = 5;

/// Time after which a proposal without any answer is given up.
const UNANSWERED_MS: u64 = 30_000;

/// The state of proposing a view on top of the current one.
#[derive(Debug, Default)]
pub(crate) struct Proposing {
    wanted_since: Option<Millis>,
    not_before: Millis,
    failures: u32,
}

impl Membership {
    pub(crate) fn hears(&self, id: &MemberId, now: Millis) -> bool {
        self.heard_within(id, self.options.suspect_ms, now)
    }

    /// A member of a new view counts as heard when the view began.
    pub(crate) fn heard_within(&self, id: &MemberId, limit_ms: u64, now: Millis) -> bool {
        if *id == self.me.id || now.since(self.viewed_at) < limit_ms {
            return true;
        }
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| peer.fresh(limit_ms, now))
    }

    /// Returns one bit for each member of the view that is heard, or 0 where this is no member or
    /// the view is not the latest.
    pub(crate) fn heard_bits(&self, now: Millis) -> u64 {
        let view = &self.views.current;
        if view.member(&self.me.id).is_none() || self.known > view.epoch {
            return 0;
        }
        let mut bits = 0;
        for (index, member) in view.members.iter().take(64).enumerate() {
            if self.hears(&member.id, now) {
                bits |= 1 << index;
            }
        }
        bits
    }

    /// Says whether a member can't be acknowledged any more by a majority of those that are not
    /// given up.
    fn cut_off(&self, index: usize, now: Millis) -> bool {
        let view = &self.views.current;
        let mut hearing = 1;
        let mut voters = 1;
        for voter in &view.members {
            if voter.id == view.members[index].id || self.given_up(&voter.id) {
                continue;
            }
            voters += 1;
            if voter.id == self.me.id {
                hearing += usize::from(self.hears(&view.members[index].id, now));
                continue;
            }
            if !self.hears(&voter.id, now) {
                continue;
            }
            let told = self.peers.get(&voter.id).and_then(|peer| peer.heard);
            let denied = told.is_some_and(|(epoch, bits)| {
                epoch == view.epoch && index < 64 && bits & (1 << index) == 0
            });
            hearing += usize::from(!denied);
        }
        hearing < voters / 2 + 1
    }

    fn given_up(&self, id: &MemberId) -> bool {
        let peer = self.peers.get(id);
        peer.is_some_and(|peer| peer.retired || peer.gone_at.is_some())
    }

    /// Says whether this member wants to be in the view and would be heard there.
    pub(crate) fn wants_in(&self, now: Millis) -> bool {
        let view = &self.views.current;
        if !self.caught_up || self.leaving() || self.retired() || self.known > view.epoch {
            return false;
        }
        if view.member(&self.me.id).is_some() {
            return false;
        }
        let mut alive = 0;
        let mut reached = 0;
        for member in &view.members {
            if self.given_up(&member.id) || !self.hears(&member.id, now) {
                continue;
            }
            alive += 1;
            let acked = self.peers.get(&member.id).and_then(|peer| peer.acked);
            let fresh = acked.is_some_and(|(epoch, sent_at)| {
                epoch == view.epoch && now.since(sent_at) < self.options.suspect_ms
            });
            reached += usize::from(fresh);
        }
        reached * 2 > alive || alive == 0
    }

    fn wanted(&self, now: Millis) -> Vec<Member> {
        let mut wanted = Vec::new();
        for (index, member) in self.views.current.members.iter().enumerate() {
            let leaves = self.leaving() && member.id == self.me.id;
            if !leaves && !self.given_up(&member.id) && !self.cut_off(index, now) {
                wanted.push(member.clone());
            }
        }
        for (id, peer) in &self.peers {
            let joins = peer.joining && peer.epoch == self.views.current.epoch;
            let Some(contact) = peer.contact.as_ref().filter(|_| joins) else {
                continue;
            };
            let fresh = peer.fresh(self.options.suspect_ms, now);
            if fresh && !self.given_up(id) && self.views.current.member(id).is_none() {
                wanted.push(Member {
                    id: id.clone(),
                    peer_address: contact.peer_address.clone(),
                    zone: contact.zone.clone(),
                });
            }
        }
        if self.wants_in(now) {
            wanted.push(self.me.clone());
        }
        wanted.sort_by(|a, b| a.id.cmp(&b.id));
        wanted
    }

    /// Says whether a majority of the view would hear of its successor.
    fn supported(&self, now: Millis) -> bool {
        let view = &self.views.current;
        let reached = view
            .members
            .iter()
            .filter(|member| self.given_up(&member.id) || self.hears(&member.id, now));
        view.members.is_empty() || reached.count() >= view.majority()
    }

    pub(crate) fn propose(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let settled_in = self.caught_up && self.known == self.views.current.epoch;
        if !settled_in || self.retired() || now < self.proposing.not_before {
            return;
        }
        let members = self.wanted(now);
        if members == self.views.current.members || members.is_empty() {
            self.proposing.wanted_since = None;
            return;
        }
        if !self.supported(now) || self.changes_exhausted(now) {
            return;
        }
        let since = *self.proposing.wanted_since.get_or_insert(now);
        let leaves = self.leaving() && self.views.current.member(&self.me.id).is_some();
        if !leaves && (self.awaits_seeds(now) || now.since(since) < self.turn_ms(now)) {
            return;
        }
        self.proposing.not_before = now.plus(UNANSWERED_MS);
        let base = self.views.current.epoch;
        actions.push(Action::Propose { base, members });
    }

    /// Nobody in the view can propose: wait a little for the others that start.
    fn awaits_seeds(&self, now: Millis) -> bool {
        let mut members = self.views.current.members.iter();
        let inside = members.any(|member| !self.given_up(&member.id));
        if inside || now.since(self.started) >= self.options.heartbeat_ms * 2 {
            return false;
        }
        self.seeds.iter().any(|seed| {
            let mut joiners = self.peers.values().filter(|peer| peer.joining);
            !joiners.any(|peer| {
                let contact = peer.contact.as_ref();
                contact.is_some_and(|contact| contact.peer_address == seed.address)
            })
        })
    }

    /// Returns how long this member leaves the proposal to those before it.
    fn turn_ms(&self, now: Millis) -> u64 {
        let view = &self.views.current;
        let order = format!("propose/{}", view.epoch.0);
        let place = |id: &MemberId| {
            let outside = view.member(id).is_none();
            (outside, std::cmp::Reverse(hash::score(&order, id.as_str())))
        };
        let mine = place(&self.me.id);
        let before = self.peers.iter().filter(|(id, peer)| {
            let proposes = peer.joining || view.member(id).is_some();
            let fresh = peer.fresh(self.options.suspect_ms, now);
            proposes && fresh && !self.given_up(id) && place(id) < mine
        });
        before.count() as u64 * self.options.stagger_ms
    }

    fn changes_exhausted(&mut self, now: Millis) -> bool {
        while let Some(first) = self.changes.front()
            && now.since(*first) >= CHANGES_SPAN_MS
        {
            self.changes.pop_front();
        }
        !self.leaving() && self.changes.len() >= self.options.changes_per_minute
    }

    pub(crate) fn proposal_ended(&mut self, appended: bool, now: Millis) {
        if appended {
            // Its record, or the one that came before it, is about to be read.
            self.proposing.not_before = now.plus(self.options.suspect_ms);
            return;
        }
        let doublings = self.proposing.failures.min(RETRY_DOUBLINGS);
        self.proposing.failures += 1;
        let wait_ms = (self.options.heartbeat_ms << doublings).min(RETRY_LIMIT_MS);
        let wait_ms = wait_ms + self.turn_ms(now);
        self.proposing.not_before = now.plus(wait_ms);
    }
}
