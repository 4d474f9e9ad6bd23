//! Rounds of heartbeats: when, to whom, and what they say.

use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_types::MemberId;
use syc_types::Millis;

use crate::Action;
use crate::Contact;
use crate::Heartbeat;
use crate::Membership;

/// Of the heartbeat interval, the least time between two rounds of heartbeats.
const ROUND_GAP: u64 = 10;

/// Rounds after which a silent seed outside the view is tried again.
const SEED_ROUNDS: u64 = 4;

impl Membership {
    pub(crate) fn fetch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.known <= self.views.current.epoch || now < self.next_fetch {
            return;
        }
        let address = self.known_from.as_ref().and_then(|id| self.address(id));
        if let Some(from) = address {
            self.next_fetch = now.plus(self.options.heartbeat_ms);
            actions.push(Action::FetchViews { from });
        }
    }

    /// Returns where an incarnation is reached, as far as that is known.
    pub(crate) fn address(&self, id: &MemberId) -> Option<SmolStr> {
        let told = self.peers.get(id).and_then(|peer| peer.contact.as_ref());
        if let Some(contact) = told {
            return Some(contact.peer_address.clone());
        }
        let views = self.views.former.iter().chain([&self.views.current]);
        let mut found = views.filter_map(|view| view.member(id));
        found.next().map(|member| member.peer_address.clone())
    }

    pub(crate) fn send_round(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let heard = self.heard_bits(now);
        self.round_wanted |= heard != self.told_heard;
        let waited_ms = self.last_round.map_or(u64::MAX, |at| now.since(at));
        let due = waited_ms >= self.options.heartbeat_ms;
        let early = self.round_wanted && waited_ms >= self.options.heartbeat_ms / ROUND_GAP;
        let entered = std::mem::take(&mut self.entered);
        if !due && !early {
            self.send_entered(&entered, heard, now, actions);
            return;
        }
        self.round_wanted = false;
        self.told_heard = heard;
        self.last_round = Some(now);
        self.last_sent = self.last_sent.max(now);
        self.rounds += 1;
        let heartbeat = self.heartbeat(heard, now);
        for to in self.targets(now) {
            let heartbeat = heartbeat.clone();
            actions.push(Action::Send { to, heartbeat });
        }
    }

    fn send_entered(
        &mut self,
        entered: &[MemberId],
        heard: u64,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        for id in entered {
            let Some(to) = self.address(id) else {
                continue;
            };
            self.last_sent = self.last_sent.max(now);
            let heartbeat = self.heartbeat(heard, now);
            actions.push(Action::Send { to, heartbeat });
        }
    }

    fn targets(&self, now: Millis) -> BTreeSet<SmolStr> {
        let mut targets = BTreeSet::new();
        let gone = |id: &MemberId| self.peers.get(id).is_some_and(|p| p.gone_at.is_some());
        for view in self.views.former.iter().chain([&self.views.current]) {
            for member in &view.members {
                if !gone(&member.id) {
                    targets.insert(member.peer_address.clone());
                }
            }
        }
        for peer in self.peers.values() {
            let Some(contact) = &peer.contact else {
                continue;
            };
            if peer.fresh(self.options.suspect_ms, now) {
                targets.insert(contact.peer_address.clone());
            }
        }
        let outside = self.views.current.member(&self.me.id).is_none();
        if outside || self.rounds.is_multiple_of(SEED_ROUNDS) {
            targets.extend(self.seeds.iter().map(|seed| seed.address.clone()));
        }
        targets.remove(&self.me.peer_address);
        targets
    }

    fn heartbeat(&self, heard: u64, now: Millis) -> Heartbeat {
        let inside = self.views.current.member(&self.me.id).is_some();
        let contact = (!inside).then(|| Contact {
            peer_address: self.me.peer_address.clone(),
            zone: self.me.zone.clone(),
        });
        Heartbeat {
            from: self.me.id.clone(),
            contact,
            epoch: self.known,
            sent_at: now,
            settled: self.settled,
            heard,
            joining: self.wants_in(now),
            retired: self.retired(),
            silences: self.silences(now),
        }
    }
}
