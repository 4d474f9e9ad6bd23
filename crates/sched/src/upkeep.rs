//! Waves of upkeep: each VM of a wave is emptied, ordered down once, and waited for.

use std::collections::BTreeMap;

use syc_types::Millis;
use syc_types::VmId;

use crate::Action;
use crate::Duty;
use crate::DutyAnswer;
use crate::Note;
use crate::Scheduler;
use crate::VmNote;
use crate::VmState;
use crate::Wave;
use crate::WaveProgress;
use crate::WorkerKey;

/// Longest time that a VM is given to become empty.
const EMPTYING_LIMIT_MS: u64 = 15_000;

/// Time beyond the upkeep itself until a VM is seen to be back.
const NOTICE_MS: u64 = 1_000;

/// Where a VM of a wave is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum VmPhase {
    /// Nothing was done yet.
    Waiting,
    /// Its work moves off, until this time at the latest.
    Emptying(Millis),
    /// It is to be ordered down once the store has this change.
    Intended(u64),
    /// It was ordered down at this time; whether an answer is awaited.
    Ordered { at: Millis, awaited: bool },
    /// Its upkeep had begun by this time.
    Down(Millis),
    /// It is back.
    Back,
    /// It is no more, or not of the wave.
    Gone,
}

/// A wave that is not completed.
#[derive(Debug, Clone)]
pub(crate) struct OpenWave {
    wave: Wave,
    began_at: Millis,
    /// When this scheduler saw it.
    seen_at: Millis,
    phases: BTreeMap<VmId, VmPhase>,
    /// Changes so far, and how many of them the store has.
    changes: u64,
    recorded: u64,
}

/// All waves that are not completed, and the numbers of those that are.
#[derive(Debug, Clone, Default)]
pub(crate) struct Upkeep {
    open: BTreeMap<u64, OpenWave>,
    /// What a predecessor left, until the wave itself is seen.
    left: BTreeMap<u64, WaveProgress>,
    completed: std::collections::BTreeSet<u64>,
}

impl Upkeep {
    /// Says whether the store does not have the latest of some wave.
    pub(crate) fn has_changes(&self) -> bool {
        self.open.values().any(OpenWave::has_changes)
    }
}

impl OpenWave {
    const fn has_changes(&self) -> bool {
        self.changes > self.recorded
    }

    fn new(wave: Wave, left: Option<&WaveProgress>, age_ms: u64, now: Millis) -> Self {
        let mut phases = BTreeMap::new();
        for vm in &wave.vms {
            phases.insert(vm.clone(), VmPhase::Waiting);
        }
        if let Some(left) = left {
            // What was ordered may be carried out late: it is ordered again before anything else.
            for vm in &left.ordered {
                phases.insert(vm.clone(), VmPhase::Intended(0));
            }
            for vm in &left.begun {
                phases.insert(vm.clone(), VmPhase::Down(now));
            }
        }
        Self {
            wave,
            began_at: Millis(now.0.saturating_sub(age_ms)),
            seen_at: now,
            phases,
            changes: 0,
            recorded: 0,
        }
    }

    /// Counts the VMs that are down, or on their way there.
    fn busy(&self) -> usize {
        let busy = self
            .phases
            .values()
            .filter(|phase| !matches!(phase, VmPhase::Waiting | VmPhase::Back | VmPhase::Gone));
        busy.count()
    }

    /// Counts the VMs whose upkeep has not begun.
    fn left(&self) -> usize {
        let begun = self.phases.values();
        let left = begun
            .filter(|phase| !matches!(phase, VmPhase::Down(_) | VmPhase::Back | VmPhase::Gone));
        left.count()
    }

    /// Returns the time that a VM may take to become empty without making the wave late.
    fn emptying_ms(&self, upkeep_ms: u64, now: Millis) -> u64 {
        let at_once = usize::try_from(self.wave.at_once).unwrap_or(1).max(1);
        let rounds = self.left().div_ceil(at_once).max(1);
        let over_at = self.began_at.plus(self.wave.limit_ms);
        let left_ms = over_at.since(now);
        let round_ms = left_ms / u64::try_from(rounds).unwrap_or(u64::MAX);
        let spent_ms = upkeep_ms + NOTICE_MS;
        round_ms.saturating_sub(spent_ms).min(EMPTYING_LIMIT_MS)
    }

    fn progress(&self) -> WaveProgress {
        let mut progress = WaveProgress {
            number: self.wave.number,
            completed: self.left() == 0,
            ..WaveProgress::default()
        };
        for (vm, phase) in &self.phases {
            match phase {
                VmPhase::Intended(_) | VmPhase::Ordered { .. } => progress.ordered.push(vm.clone()),
                VmPhase::Down(_) | VmPhase::Back => progress.begun.push(vm.clone()),
                VmPhase::Waiting | VmPhase::Emptying(_) | VmPhase::Gone => {}
            }
        }
        progress
    }
}

impl Scheduler {
    /// Takes what a predecessor left of a wave.
    pub fn restore_wave(&mut self, left: WaveProgress) {
        if left.completed {
            self.upkeep.completed.insert(left.number);
        } else {
            self.upkeep.left.insert(left.number, left);
        }
    }

    pub(crate) fn wave_published(&mut self, wave: Wave, age_ms: u64, now: Millis) {
        let number = wave.number;
        let upkeep = &mut self.upkeep;
        if upkeep.open.contains_key(&number) {
            return;
        }
        if upkeep.completed.contains(&number) {
            // A predecessor may have ended before it told so.
            self.actions.push(Action::ReportWave {
                wave: number,
                completed: true,
            });
            return;
        }
        let left = upkeep.left.remove(&number);
        let note = VmNote::WaveSeen {
            wave: number,
            vms: wave.vms.len(),
            at_once: wave.at_once,
            limit_ms: wave.limit_ms,
            begun: left.as_ref().map_or(0, |left| left.begun.len()),
        };
        self.actions.push(Action::Note(Note::Vm(note)));
        upkeep
            .open
            .insert(number, OpenWave::new(wave, left.as_ref(), age_ms, now));
        self.actions.push(Action::ReportWave {
            wave: number,
            completed: false,
        });
    }

    /// Returns how far each wave is whose latest change the store does not have, with the number of
    /// the change. Each must come back in [`crate::Event::WaveRecorded`].
    #[must_use]
    pub fn wave_records(&self) -> Vec<(WaveProgress, u64)> {
        let open = self.upkeep.open.values();
        let changed = open.filter(|wave| wave.has_changes());
        changed
            .map(|wave| (wave.progress(), wave.changes))
            .collect()
    }

    pub(crate) fn wave_recorded(&mut self, number: u64, change: u64) {
        let Some(open) = self.upkeep.open.get_mut(&number) else {
            return;
        };
        open.recorded = open.recorded.max(change);
        if open.left() > 0 || open.recorded < open.changes {
            return;
        }
        self.upkeep.open.remove(&number);
        self.upkeep.completed.insert(number);
        self.actions.push(Action::ReportWave {
            wave: number,
            completed: true,
        });
    }

    /// Brings the waves forward.
    pub(crate) fn watch_waves(&mut self, now: Millis) {
        if self.upkeep.open.is_empty() || !self.recovery.is_complete() {
            return;
        }
        self.ask_for_vms(now);
        if !self.vms.may_order(now) {
            return;
        }
        let mut waves = std::mem::take(&mut self.upkeep.open);
        for wave in waves.values_mut() {
            self.advance_wave(wave, now);
            self.begin_upkeep(wave, now);
            if wave.left() == 0 && wave.changes == 0 {
                // Nothing was left to do from the start on: its end is to be kept all the same.
                wave.changes = 1;
            }
        }
        self.upkeep.open = waves;
    }

    fn advance_wave(&mut self, wave: &mut OpenWave, now: Millis) {
        let vms: Vec<_> = wave.phases.keys().cloned().collect();
        for vm in vms {
            let phase = wave.phases[&vm].clone();
            let Some(next) = self.next_phase(wave, &vm, &phase, now) else {
                continue;
            };
            wave.phases.insert(vm, next);
        }
    }

    fn next_phase(
        &mut self,
        wave: &mut OpenWave,
        vm: &VmId,
        phase: &VmPhase,
        now: Millis,
    ) -> Option<VmPhase> {
        let listed = self.vms.known.contains_key(vm);
        match phase {
            // A list from before the wave was seen may lack a VM that joined since.
            VmPhase::Waiting | VmPhase::Emptying(_)
                if !listed && self.vms.listed_at > Some(wave.seen_at) =>
            {
                wave.changes += 1;
                Some(VmPhase::Gone)
            }
            VmPhase::Emptying(until) if self.is_emptied(vm, *until, now) => {
                wave.changes += 1;
                Some(VmPhase::Intended(wave.changes))
            }
            VmPhase::Intended(change) if wave.recorded >= *change => {
                Some(self.order_down(wave.wave.number, vm, now))
            }
            VmPhase::Ordered { at, awaited: false }
                if !listed && self.vms.listed_at > Some(*at) =>
            {
                wave.changes += 1;
                Some(VmPhase::Gone)
            }
            VmPhase::Ordered { at, awaited: false }
                if now.since(*at) >= self.options.order_retry_ms =>
            {
                Some(self.order_down(wave.wave.number, vm, now))
            }
            VmPhase::Down(since) => {
                let seen = self.vms.seen_since(vm, *since);
                let is_back = seen.is_some_and(|info| info.state == VmState::Up);
                let is_gone = !listed && self.vms.listed_at > Some(*since);
                (is_back || is_gone).then_some(VmPhase::Back)
            }
            _ => None,
        }
    }

    fn is_emptied(&mut self, vm: &VmId, until: Millis, now: Millis) -> bool {
        let Some(worker) = self.worker_on(vm) else {
            return true;
        };
        let is_empty = self.empty_worker(worker, now);
        is_empty || (now >= until && self.may_end_rest(worker))
    }

    fn order_down(&mut self, wave: u64, vm: &VmId, now: Millis) -> VmPhase {
        self.actions.push(Action::OrderVm {
            vm: vm.clone(),
            duty: Duty::Upkeep { wave },
        });
        VmPhase::Ordered {
            at: now,
            awaited: true,
        }
    }

    /// Begins to empty as many VMs as may be down; first those that lose least.
    fn begin_upkeep(&mut self, wave: &mut OpenWave, now: Millis) {
        let at_once = usize::try_from(wave.wave.at_once).unwrap_or(0);
        let free = at_once.saturating_sub(wave.busy());
        if free == 0 {
            return;
        }
        let mut ready = Vec::new();
        for (vm, phase) in &wave.phases {
            if *phase == VmPhase::Waiting && self.is_free_to_go(vm) {
                ready.push((self.unsaved_runs(vm), vm.clone()));
            }
        }
        ready.sort();
        let until = now.plus(wave.emptying_ms(self.options.upkeep_ms, now));
        for (_unsaved, vm) in ready.into_iter().take(free) {
            wave.phases.insert(vm, VmPhase::Emptying(until));
        }
    }

    /// Says whether a worker's VM is one of a wave and has its upkeep still before it: what starts there
    /// has to move again.
    pub(crate) fn awaits_upkeep(&self, key: WorkerKey) -> bool {
        if self.upkeep.open.is_empty() {
            return false;
        }
        let Some(vm) = &self.workers[key].spec.vm else {
            return false;
        };
        let mut waves = self.upkeep.open.values();
        waves.any(|wave| wave.phases.get(vm) == Some(&VmPhase::Waiting))
    }

    /// Says whether a VM is up and does not leave by itself.
    fn is_free_to_go(&self, vm: &VmId) -> bool {
        let is_up = self.vms.known.get(vm).map(|info| info.state) == Some(VmState::Up);
        let worker = self.worker_on(vm).map(|key| &self.workers[key]);
        is_up && worker.is_none_or(|worker| !worker.spec.draining)
    }

    /// Counts what would be lost with a VM.
    fn unsaved_runs(&self, vm: &VmId) -> usize {
        let Some(key) = self.worker_on(vm) else {
            return 0;
        };
        let runs = self.workers[key].runs.values();
        runs.filter(|run| !run.checkpointed).count()
    }

    /// Takes the answer to an order that a VM has its upkeep.
    pub(crate) fn upkeep_answered(
        &mut self,
        wave: u64,
        vm: &VmId,
        answer: DutyAnswer,
        now: Millis,
    ) {
        let Some(open) = self.upkeep.open.get_mut(&wave) else {
            return;
        };
        let Some(VmPhase::Ordered { at, .. }) = open.phases.get(vm) else {
            return;
        };
        let next = match answer {
            DutyAnswer::Done => VmPhase::Down(now),
            DutyAnswer::Unfit => VmPhase::Gone,
            // An earlier order may still be carried out: the VM counts as down until it is known.
            DutyAnswer::Busy | DutyAnswer::InDoubt => VmPhase::Ordered {
                at: *at,
                awaited: false,
            },
        };
        let is_settled = !matches!(next, VmPhase::Ordered { .. });
        open.phases.insert(vm.clone(), next);
        if !is_settled {
            return;
        }
        open.changes += 1;
        if answer == DutyAnswer::Unfit {
            self.keep_worker(vm);
        }
    }
}
