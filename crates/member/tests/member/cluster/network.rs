//! What the members send each other and write to the log, on its way: late, lost or cut.

use rand::Rng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_member::Ack;
use syc_member::Action;
use syc_member::Event;
use syc_member::Heartbeat;
use syc_member::Views;
use syc_types::MemberId;

use super::Cluster;
use super::Run;
use super::STEP_MS;

enum Packet {
    Heartbeat(Heartbeat),
    Ack(MemberId, Ack),
    Views(MemberId, Views),
    Fetch(usize, MemberId),
    ProposalEnded(MemberId, bool),
}

pub(super) struct Sent {
    due: u64,
    from: usize,
    to: usize,
    packet: Packet,
}

impl Cluster {
    pub(super) fn carry_out(&mut self, slot: usize, actions: Vec<Action>) {
        let id = self.nodes[slot].member.me().id.clone();
        for action in actions {
            match action {
                Action::Send { to, heartbeat } => {
                    self.send(slot, slot_of(&to), || Packet::Heartbeat(heartbeat.clone()));
                }
                Action::FetchViews { from } => {
                    self.send(slot, slot_of(&from), || Packet::Fetch(slot, id.clone()));
                }
                Action::Propose { base, members } => {
                    let taken = self.log_up && self.nodes[slot].log;
                    if taken {
                        self.log.push((base, members));
                    }
                    let told = taken && !self.lose_append_answers;
                    let packet = Packet::ProposalEnded(id.clone(), told);
                    self.sent.push(Sent {
                        due: self.now + STEP_MS,
                        from: slot,
                        to: slot,
                        packet,
                    });
                }
                Action::ViewChanged | Action::BecomeActive | Action::StepDown => {}
            }
        }
    }

    fn send<F>(&mut self, from: usize, to: usize, packet: F)
    where
        F: Fn() -> Packet,
    {
        let copies = if self.loss_percent > 0 { 2 } else { 1 };
        for _copy in 0..copies {
            if self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let due = self.now + self.rng.random_range(0..=self.delay_ms);
            let packet = packet();
            self.sent.push(Sent {
                due,
                from,
                to,
                packet,
            });
        }
    }

    pub(super) fn deliver(&mut self) {
        let mut waiting = std::mem::take(&mut self.sent);
        waiting.sort_by_key(|sent| sent.due);
        for sent in waiting {
            if self.cuts.contains(&(sent.from, sent.to)) {
                continue;
            }
            let run = self.nodes[sent.to].run;
            if sent.due > self.now || run == Run::Paused || run == Run::Suspended {
                self.sent.push(sent);
                continue;
            }
            if run == Run::Up {
                self.take(sent);
            }
        }
    }

    fn take(&mut self, sent: Sent) {
        let slot = sent.to;
        let own = |id: &MemberId| *id == self.nodes[slot].member.me().id;
        match sent.packet {
            Packet::Heartbeat(heartbeat) => {
                let to = heartbeat.from.clone();
                let now = self.clock(slot);
                let (ack, actions) = self.nodes[slot].member.receive(heartbeat, now);
                self.check(slot);
                self.carry_out(slot, actions);
                self.send(slot, sent.from, || Packet::Ack(to.clone(), ack.clone()));
            }
            Packet::Ack(to, ack) if own(&to) => self.tell(slot, Event::Acked(ack)),
            Packet::Views(to, views) if own(&to) => self.tell(slot, Event::ViewsLearned(views)),
            Packet::Fetch(from, id) => {
                let views = self.nodes[slot].member.views().clone();
                self.send(slot, from, || Packet::Views(id.clone(), views.clone()));
            }
            Packet::ProposalEnded(to, appended) if own(&to) => {
                self.tell(slot, Event::ProposalEnded { appended });
            }
            Packet::Ack(..) | Packet::Views(..) | Packet::ProposalEnded(..) => {}
        }
    }
}

pub(super) fn address(slot: usize) -> SmolStr {
    format_smolstr!("10.0.0.{slot}:1")
}

fn slot_of(address: &SmolStr) -> usize {
    let last = address.trim_end_matches(":1").rsplit('.').next();
    last.and_then(|text| text.parse().ok()).expect("an address")
}
