//! Members, a network, a log and a VM list, all stepped by one true clock.

mod holders;
mod network;

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_member::Event;
use syc_member::Member;
use syc_member::Membership;
use syc_member::Options;
use syc_member::Seed;
use syc_member::incarnation;
use syc_types::Epoch;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Zone;

use self::holders::racks;
use self::network::Sent;
use self::network::address;

/// True time between two looks at the cluster.
pub const STEP_MS: u64 = 50;

/// Interval of reading the VM list.
const VM_POLL_MS: u64 = 1_000;

/// Whether a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    Up,
    /// Stopped; its clock goes on.
    Paused,
    /// Its VM stands still, and its clock with it.
    Suspended,
    Down,
    /// Down, and its VM is off the list.
    VmLost,
}

pub struct Node {
    pub vm: SmolStr,
    pub run: Run,
    pub member: Membership,
    /// Whether it reaches the log.
    pub log: bool,
    offset_ms: u64,
    rate_ppm: i64,
    read: usize,
    was_acting: bool,
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub log: Vec<(Epoch, Vec<Member>)>,
    pub log_up: bool,
    pub lose_append_answers: bool,
    pub loss_percent: u32,
    pub delay_ms: u64,
    /// Pairs of which the first can't send to the second.
    pub cuts: BTreeSet<(usize, usize)>,
    pub vm_lag_ms: u64,
    pub violations: Vec<String>,
    /// One bit for each rack that a slot may act for at this instant.
    held: Vec<u32>,
    racks: Vec<RackId>,
    slots: usize,
    options: Options,
    vm_changes: Vec<(u64, BTreeSet<SmolStr>)>,
    sent: Vec<Sent>,
    rng: SmallRng,
    started: u16,
}

impl Cluster {
    /// Starts `up` of `slots` VMs.
    pub fn start(slots: usize, up: usize, seed: u64, options: Options) -> Self {
        let mut cluster = Self {
            nodes: Vec::new(),
            now: 1_000,
            log: Vec::new(),
            log_up: true,
            lose_append_answers: false,
            loss_percent: 0,
            delay_ms: 5,
            cuts: BTreeSet::new(),
            vm_lag_ms: 3_000,
            violations: Vec::new(),
            held: vec![0; slots],
            racks: racks(),
            slots,
            options,
            vm_changes: Vec::new(),
            sent: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            started: 0,
        };
        for slot in 0..slots {
            let vm = format_smolstr!("entry-{slot}");
            let mut node = cluster.make(&vm, slot);
            node.run = if slot < up { Run::Up } else { Run::VmLost };
            cluster.nodes.push(node);
        }
        cluster.vms_changed();
        cluster
    }

    fn make(&mut self, vm: &SmolStr, slot: usize) -> Node {
        self.started += 1;
        let id = incarnation(vm, self.now, self.started);
        let me = Member {
            id,
            peer_address: address(slot),
            zone: Zone::new("a"),
        };
        let slots = 0..self.slots;
        let seeds = slots.filter(|other| *other != slot);
        let seeds = seeds.map(|other| Seed {
            address: address(other),
        });
        let offset_ms = self.rng.random_range(0..1_000_000);
        let rate_ppm = self.rng.random_range(-10_000..=10_000);
        let now = local(self.now, offset_ms, rate_ppm);
        Node {
            vm: vm.clone(),
            run: Run::Up,
            member: Membership::new(me, seeds.collect(), self.options, now),
            log: true,
            offset_ms,
            rate_ppm,
            read: 0,
            was_acting: false,
        }
    }

    pub fn clock(&self, slot: usize) -> Millis {
        let node = &self.nodes[slot];
        local(self.now, node.offset_ms, node.rate_ppm)
    }

    fn vms_changed(&mut self) {
        let there = self.nodes.iter().filter(|node| node.run != Run::VmLost);
        let names = there.map(|node| node.vm.clone()).collect();
        self.vm_changes.push((self.now, names));
    }

    pub fn crash(&mut self, slot: usize) {
        if self.nodes[slot].run != Run::VmLost {
            self.nodes[slot].run = Run::Down;
            self.held[slot] = 0;
        }
    }

    pub fn lose_vm(&mut self, slot: usize) {
        self.nodes[slot].run = Run::VmLost;
        self.held[slot] = 0;
        self.vms_changed();
    }

    /// Starts a new process where none runs, on a new VM where the old one is lost.
    pub fn restart(&mut self, slot: usize) {
        let vm = match self.nodes[slot].run {
            Run::Down => self.nodes[slot].vm.clone(),
            Run::VmLost => format_smolstr!("entry-{slot}-{}", self.started),
            Run::Up | Run::Paused | Run::Suspended => return,
        };
        self.nodes[slot] = self.make(&vm, slot);
        self.vms_changed();
    }

    /// Stops a process, or its whole VM.
    pub fn halt(&mut self, slot: usize, run: Run) {
        if self.nodes[slot].run == Run::Up {
            self.nodes[slot].run = run;
            self.held[slot] = self.held_by(slot);
        }
    }

    pub fn resume(&mut self, slot: usize) {
        let was = self.nodes[slot].run;
        if was == Run::Paused || was == Run::Suspended {
            self.nodes[slot].run = Run::Up;
        }
        if was == Run::Suspended {
            self.tell(slot, Event::ClockJumped);
        }
    }

    pub fn jump(&mut self, slot: usize, ahead_ms: u64) {
        if self.nodes[slot].run == Run::Up {
            self.nodes[slot].offset_ms += ahead_ms;
            self.tell(slot, Event::ClockJumped);
        }
    }

    /// Makes the network, the log and every process whole, lost VMs excepted.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss_percent = 0;
        self.delay_ms = 5;
        self.log_up = true;
        self.lose_append_answers = false;
        for slot in 0..self.nodes.len() {
            self.nodes[slot].log = true;
            self.resume(slot);
            if self.nodes[slot].run == Run::Down || self.nodes[slot].member.retired() {
                self.crash(slot);
                self.restart(slot);
            }
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        for node in &mut self.nodes {
            if node.run == Run::Suspended {
                node.offset_ms = node.offset_ms.saturating_sub(STEP_MS);
            }
        }
        self.check_all();
        self.deliver();
        for slot in 0..self.nodes.len() {
            if self.nodes[slot].run == Run::Up {
                self.poll(slot);
                self.tell(slot, Event::Tick);
            }
        }
    }

    fn poll(&mut self, slot: usize) {
        if self.now.is_multiple_of(VM_POLL_MS) {
            let lag_ms = self.rng.random_range(0..=self.vm_lag_ms);
            let seen_at = self.now.saturating_sub(lag_ms);
            let changes = self.vm_changes.iter().rev();
            let mut shown = changes.filter(|(at, _)| *at <= seen_at);
            if let Some((_, names)) = shown.next() {
                let names = names.iter().cloned().collect();
                self.tell(slot, Event::VmsListed(names));
            }
        }
        if !self.log_up || !self.nodes[slot].log {
            return;
        }
        while let Some((base, members)) = self.log.get(self.nodes[slot].read).cloned() {
            self.nodes[slot].read += 1;
            self.tell(slot, Event::ViewRecorded { base, members });
        }
        if !self.nodes[slot].was_acting {
            self.nodes[slot].was_acting = true;
            self.tell(slot, Event::CaughtUp);
        }
    }

    pub fn tell(&mut self, slot: usize, event: Event) {
        let now = self.clock(slot);
        let actions = self.nodes[slot].member.handle(event, now);
        self.check(slot);
        self.carry_out(slot, actions);
    }

    /// Returns the slot's epoch.
    pub fn epoch(&self, slot: usize) -> u64 {
        self.nodes[slot].member.view().epoch.0
    }

    /// Returns the names of the VMs in a slot's view.
    pub fn members(&self, slot: usize) -> Vec<&str> {
        let members = &self.nodes[slot].member.view().members;
        let names = members.iter().map(|member| syc_member::vm_name(&member.id));
        names.collect()
    }

    /// Runs until `done`, at most `limit_ms`; returns the time it took.
    pub fn run_until<F>(&mut self, limit_ms: u64, done: F) -> Option<u64>
    where
        F: Fn(&Self) -> bool,
    {
        let began = self.now;
        while !done(self) {
            if self.now - began >= limit_ms {
                return None;
            }
            self.step();
        }
        Some(self.now - began)
    }
}

fn local(now: u64, offset_ms: u64, rate_ppm: i64) -> Millis {
    let drift_ms = i64::try_from(now).expect("a short run") * rate_ppm / 1_000_000;
    Millis((offset_ms + now).saturating_add_signed(drift_ms))
}
