//! The state machine of one member.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use smol_str::SmolStr;
use syc_types::Epoch;
use syc_types::MemberId;
use syc_types::Millis;

use crate::Ack;
use crate::Action;
use crate::Event;
use crate::Heartbeat;
use crate::Key;
use crate::Member;
use crate::Options;
use crate::View;
use crate::Views;
use crate::peer::Peer;
use crate::propose::Proposing;

/// Suspicion intervals after which a silent process outside the views is forgotten.
const FORGET_SUSPICIONS: u64 = 20;

/// Another entry VM that a daemon is told of at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seed {
    /// Its address for peers, `ip:port`.
    pub address: SmolStr,
}

/// Whether a member means to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It stays.
    Staying,
    /// A planned stop has begun; it acts until the view changes.
    Leaving,
    /// It acts no more and will not again.
    Retired,
}

/// What one member knows, and what follows from it.
#[derive(Debug)]
pub struct Membership {
    pub(crate) me: Member,
    pub(crate) options: Options,
    pub(crate) seeds: Vec<Seed>,
    pub(crate) started: Millis,
    pub(crate) views: Views,
    pub(crate) viewed_at: Millis,
    /// The highest epoch that is known to exist.
    pub(crate) known: Epoch,
    /// Nobody acts in an epoch before this one.
    pub(crate) settled: Epoch,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) caught_up: bool,
    pub(crate) standing: Standing,
    pub(crate) proposing: Proposing,
    pub(crate) changes: VecDeque<Millis>,
    pub(crate) listed: BTreeSet<SmolStr>,
    pub(crate) ever_listed: BTreeSet<SmolStr>,
    pub(crate) unlisted_since: BTreeMap<SmolStr, Millis>,
    /// Acknowledgements of heartbeats sent before this do not count.
    trusted_from: Millis,
    pub(crate) known_from: Option<MemberId>,
    pub(crate) next_fetch: Millis,
    pub(crate) last_round: Option<Millis>,
    /// The greatest time that a heartbeat of this member carries.
    pub(crate) last_sent: Millis,
    /// Peers that have entered this member's epoch and did not acknowledge it there yet.
    pub(crate) entered: Vec<MemberId>,
    pub(crate) rounds: u64,
    pub(crate) round_wanted: bool,
    pub(crate) told_heard: u64,
    acting: bool,
}

impl Membership {
    /// Makes the state of a member that starts now and knows no view.
    #[must_use]
    pub fn new(me: Member, seeds: Vec<Seed>, options: Options, now: Millis) -> Self {
        Self {
            me,
            options,
            seeds,
            started: now,
            views: Views::default(),
            viewed_at: now,
            known: Epoch(0),
            settled: Epoch(0),
            peers: BTreeMap::new(),
            caught_up: false,
            standing: Standing::Staying,
            proposing: Proposing::default(),
            changes: VecDeque::new(),
            listed: BTreeSet::new(),
            ever_listed: BTreeSet::new(),
            unlisted_since: BTreeMap::new(),
            trusted_from: Millis(0),
            known_from: None,
            next_fetch: Millis(0),
            last_round: None,
            last_sent: Millis(0),
            entered: Vec::new(),
            rounds: 0,
            round_wanted: true,
            told_heard: 0,
            acting: false,
        }
    }

    /// Returns this member.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the current view.
    #[must_use]
    pub const fn view(&self) -> &View {
        &self.views.current
    }

    /// Returns the current view and the unsettled former ones, as a snapshot needs them.
    #[must_use]
    pub const fn views(&self) -> &Views {
        &self.views
    }

    /// Says whether this member has given up acting for good.
    #[must_use]
    pub fn retired(&self) -> bool {
        self.standing == Standing::Retired
    }

    pub(crate) fn leaving(&self) -> bool {
        self.standing == Standing::Leaving
    }

    /// Says whether a majority of the current view has acknowledged this member lately enough.
    #[must_use]
    pub fn holds_lease(&self, now: Millis) -> bool {
        let view = &self.views.current;
        if self.retired() || self.known > view.epoch || view.member(&self.me.id).is_none() {
            return false;
        }
        let granted = view.members.iter().filter(|member| {
            let peer = self.peers.get(&member.id);
            member.id == self.me.id || peer.is_some_and(|peer| self.grants(peer, now))
        });
        granted.count() >= view.majority()
    }

    fn grants(&self, peer: &Peer, now: Millis) -> bool {
        let Some((epoch, sent_at)) = peer.acked else {
            return false;
        };
        let counts = epoch == self.views.current.epoch && sent_at >= self.trusted_from;
        counts && now >= sent_at && now.since(sent_at) < self.options.use_ms()
    }

    /// Says whether this member may act for all that it holds in the current view, now.
    #[must_use]
    pub fn may_act(&self, now: Millis) -> bool {
        self.holds_lease(now) && !self.former_may_act(now)
    }

    /// Says whether this member holds `key` in the current view and may act for it, now.
    #[must_use]
    pub fn may_act_for(&self, key: Key<'_>, now: Millis) -> bool {
        if !self.holds_lease(now) {
            return false;
        }
        let holder = self.views.current.holder(key);
        holder.is_some_and(|holder| holder.id == self.me.id) && !self.former_holds(key, now)
    }

    /// Returns the members of the current view from which something came lately.
    pub fn heard(&self, now: Millis) -> impl Iterator<Item = &MemberId> {
        let members = self.views.current.members.iter();
        let heard = members.filter(move |member| self.hears(&member.id, now));
        heard.map(|member| &member.id)
    }

    /// Takes in what was learned and says what is to be done.
    pub fn handle(&mut self, event: Event, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Acked(ack) => self.acked(ack, now),
            Event::VmsListed(names) => self.vms_listed(names, now),
            Event::ViewRecorded { base, members } => {
                self.view_recorded(base, members, now, &mut actions);
            }
            Event::ViewsLearned(views) => self.views_learned(views, now, &mut actions),
            Event::CaughtUp => {
                self.caught_up = true;
                self.round_wanted = true;
            }
            Event::ProposalEnded { appended } => self.proposal_ended(appended, now),
            Event::ClockJumped => self.distrust_clock(now),
            Event::Leave => self.leave(),
            Event::Retire => self.close(now, &mut actions),
            Event::Tick => {}
        }
        self.follow_up(now, &mut actions);
        actions
    }

    /// Takes in a heartbeat; returns the answer to it and what else is to be done.
    pub fn receive(&mut self, heartbeat: Heartbeat, now: Millis) -> (Ack, Vec<Action>) {
        let mut actions = Vec::new();
        let echo = heartbeat.sent_at;
        let epoch = heartbeat.epoch;
        let from = heartbeat.from.clone();
        if from != self.me.id {
            self.heard_from(heartbeat, now);
        }
        let accepted = epoch == self.views.current.epoch && epoch == self.known;
        if accepted && let Some(peer) = self.peers.get_mut(&from) {
            peer.last_granted = Some(now);
        }
        self.follow_up(now, &mut actions);
        let ack = Ack {
            from: self.me.id.clone(),
            epoch: self.known,
            accepted,
            echo,
            settled: self.settled,
            retired: self.retired(),
            silences: self.silences(now),
        };
        (ack, actions)
    }

    fn heard_from(&mut self, heartbeat: Heartbeat, now: Millis) {
        let lapse_ms = self.options.lapse_ms();
        let peer = self.peers.entry(heartbeat.from.clone()).or_default();
        if peer.heard_at.is_none() {
            self.round_wanted = true;
        }
        let current = self.views.current.epoch;
        let acked = peer.acked.is_some_and(|(epoch, _)| epoch == current);
        if heartbeat.epoch == current && self.known == current && !acked {
            self.entered.push(heartbeat.from.clone());
        }
        peer.hear(heartbeat.epoch, heartbeat.retired, now);
        if heartbeat.contact.is_some() {
            peer.contact = heartbeat.contact;
        }
        if heartbeat.epoch == peer.epoch {
            peer.joining = heartbeat.joining;
            peer.heard = (heartbeat.heard != 0).then_some((heartbeat.epoch, heartbeat.heard));
            peer.hear_silences(heartbeat.silences, lapse_ms, now);
        }
        self.settled = self.settled.max(heartbeat.settled);
        self.learn_epoch(heartbeat.epoch, &heartbeat.from);
    }

    fn acked(&mut self, ack: Ack, now: Millis) {
        if ack.from == self.me.id {
            return;
        }
        let lapse_ms = self.options.lapse_ms();
        let peer = self.peers.entry(ack.from.clone()).or_default();
        peer.hear(ack.epoch, ack.retired, now);
        if ack.epoch == peer.epoch {
            peer.hear_silences(ack.silences, lapse_ms, now);
        }
        if ack.accepted {
            let news = (ack.epoch, ack.echo);
            peer.acked = peer.acked.max(Some(news));
        }
        self.settled = self.settled.max(ack.settled);
        self.learn_epoch(ack.epoch, &ack.from);
    }

    fn learn_epoch(&mut self, epoch: Epoch, from: &MemberId) {
        if epoch <= self.known {
            return;
        }
        self.known = epoch;
        self.known_from = Some(from.clone());
        self.next_fetch = Millis(0);
        self.last_round = None;
    }

    fn view_recorded(
        &mut self,
        base: Epoch,
        members: Vec<Member>,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if base != self.views.current.epoch {
            return;
        }
        let closed = members.is_empty();
        let view = View::new(Epoch(base.0 + 1), members);
        let former = std::mem::replace(&mut self.views.current, view);
        if closed {
            // Its author was alone, and had stopped acting before it wrote this.
            self.views.former.clear();
        } else if !former.members.is_empty() {
            self.views.former.push(former);
        }
        self.entered_view(now, actions);
    }

    fn views_learned(&mut self, views: Views, now: Millis, actions: &mut Vec<Action>) {
        if views.current.epoch <= self.views.current.epoch {
            return;
        }
        self.views = views;
        self.entered_view(now, actions);
    }

    fn entered_view(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.known = self.known.max(self.views.current.epoch);
        self.viewed_at = now;
        self.last_round = None;
        self.proposing = Proposing::default();
        if self.caught_up {
            self.changes.push_back(now);
        }
        if self.leaving() && self.views.current.member(&self.me.id).is_none() {
            self.retire();
        }
        actions.push(Action::ViewChanged);
    }

    fn leave(&mut self) {
        if self.standing == Standing::Staying {
            self.standing = Standing::Leaving;
        }
        let inside = self.views.current.member(&self.me.id).is_some();
        if !inside && self.views.current.epoch == self.known {
            self.retire();
        }
    }

    /// Stops acting; the last member that may act leaves an empty view, from which any others can
    /// begin without hearing of it.
    fn close(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let alone = self.views.current.members.len() == 1;
        let last = alone && self.may_act(now);
        self.retire();
        if last {
            actions.push(Action::Propose {
                base: self.views.current.epoch,
                members: Vec::new(),
            });
        }
    }

    fn retire(&mut self) {
        if !self.retired() {
            self.last_round = None;
        }
        self.standing = Standing::Retired;
    }

    /// Drops every lease held, and measures every lease granted anew.
    fn distrust_clock(&mut self, now: Millis) {
        // The clock may have gone back: nothing that was sent so far counts.
        self.trusted_from = self.last_sent.max(now).plus(1);
        self.viewed_at = now;
        self.last_round = Some(now);
        self.round_wanted = true;
        let lapse = now.plus(self.options.lapse_ms());
        for peer in self.peers.values_mut() {
            peer.last_granted = peer.last_granted.map(|_| now);
            peer.gone_at = peer.gone_at.map(|_| now);
            for known in peer.lapses.values_mut() {
                *known = lapse;
            }
        }
    }

    fn follow_up(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.mark_gone(now);
        self.settle(now);
        self.propose(now, actions);
        self.fetch(now, actions);
        self.send_round(now, actions);
        self.forget(now);
        let acting = self.may_act(now);
        if acting != self.acting {
            self.acting = acting;
            actions.push(if acting {
                Action::BecomeActive
            } else {
                Action::StepDown
            });
        }
    }

    fn forget(&mut self, now: Millis) {
        let limit_ms = self.options.suspect_ms * FORGET_SUSPICIONS;
        let views = &self.views;
        self.peers.retain(|id, peer| {
            let mut all = views.former.iter().chain([&views.current]);
            peer.fresh(limit_ms, now) || all.any(|view| view.member(id).is_some())
        });
    }
}
