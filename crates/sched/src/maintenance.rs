//! Maintenance waves. Each VM of a wave is evacuated, taken down by a recorded order, and awaited until it is back up.

use std::collections::BTreeMap;

use syc_types::Millis;
use syc_types::VmId;

use crate::Action;
use crate::Note;
use crate::Scheduler;
use crate::VmNote;
use crate::VmOperation;
use crate::VmOrderAnswer;
use crate::VmState;
use crate::Wave;
use crate::WaveProgress;
use crate::WorkerKey;

/// Longest time that the evacuation of a VM may take.
const MAX_EVACUATION_MS: u64 = 15_000;

/// Time after the end of maintenance by which a VM is seen to be up again.
const DETECTION_MS: u64 = 1_000;

/// The phase of a VM in a wave.
#[derive(Debug, Clone, PartialEq, Eq)]
enum VmPhase {
    /// Nothing has been done yet.
    Pending,
    /// Runs are being moved off the VM, until this time at the latest.
    Evacuating(Millis),
    /// Maintenance will be ordered once this change is stored.
    Recording(u64),
    /// Maintenance was ordered at this time, and the answer may still be awaited.
    Ordered { at: Millis, awaited: bool },
    /// Maintenance had begun by this time.
    Down(Millis),
    /// The VM is up again, or has been removed since its maintenance began.
    Finished,
    /// The VM no longer exists, or is not part of the wave.
    Removed,
}

/// A wave that is not completed.
#[derive(Debug, Clone)]
pub(crate) struct ActiveWave {
    wave: Wave,
    published_at: Millis,
    /// When this scheduler first saw the wave.
    seen_at: Millis,
    phases: BTreeMap<VmId, VmPhase>,
    /// Number of changes so far, and how many of them are stored.
    changes: u64,
    recorded: u64,
}

/// All waves that are not completed, and the numbers of the completed ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct Maintenance {
    active: BTreeMap<u64, ActiveWave>,
    /// Progress stored by a predecessor, until the wave itself is seen.
    restored: BTreeMap<u64, WaveProgress>,
    completed: std::collections::BTreeSet<u64>,
}

impl Maintenance {
    /// Returns whether some wave has changes that are not stored yet.
    pub(crate) fn has_changes(&self) -> bool {
        self.active.values().any(ActiveWave::has_changes)
    }
}

impl ActiveWave {
    const fn has_changes(&self) -> bool {
        self.changes > self.recorded
    }

    fn new(wave: Wave, stored: Option<&WaveProgress>, age_ms: u64, now: Millis) -> Self {
        let mut phases = BTreeMap::new();
        for vm in &wave.vms {
            phases.insert(vm.clone(), VmPhase::Pending);
        }
        if let Some(stored) = stored {
            // Orders of the predecessor may still be carried out, so they are repeated first.
            for vm in &stored.ordered {
                phases.insert(vm.clone(), VmPhase::Recording(0));
            }
            for vm in &stored.begun {
                phases.insert(vm.clone(), VmPhase::Down(now));
            }
        }
        Self {
            wave,
            published_at: Millis(now.0.saturating_sub(age_ms)),
            seen_at: now,
            phases,
            changes: 0,
            recorded: 0,
        }
    }

    /// Counts the VMs that are down or about to go down.
    fn unavailable_count(&self) -> usize {
        let unavailable = self.phases.values().filter(|phase| {
            !matches!(
                phase,
                VmPhase::Pending | VmPhase::Finished | VmPhase::Removed
            )
        });
        unavailable.count()
    }

    /// Counts the VMs on which maintenance has not begun.
    fn remaining_count(&self) -> usize {
        let phases = self.phases.values();
        let remaining = phases.filter(|phase| {
            !matches!(
                phase,
                VmPhase::Down(_) | VmPhase::Finished | VmPhase::Removed
            )
        });
        remaining.count()
    }

    /// Returns how long the evacuation of a VM may take without delaying the wave past its deadline.
    fn evacuation_limit_ms(&self, maintenance_ms: u64, now: Millis) -> u64 {
        let at_once = usize::try_from(self.wave.at_once).unwrap_or(1).max(1);
        let rounds = self.remaining_count().div_ceil(at_once).max(1);
        let deadline = self.published_at.plus(self.wave.limit_ms);
        let left_ms = deadline.since(now);
        let round_ms = left_ms / u64::try_from(rounds).unwrap_or(u64::MAX);
        let downtime_ms = maintenance_ms + DETECTION_MS;
        round_ms.saturating_sub(downtime_ms).min(MAX_EVACUATION_MS)
    }

    fn progress(&self) -> WaveProgress {
        let mut progress = WaveProgress {
            number: self.wave.number,
            completed: self.remaining_count() == 0,
            ..WaveProgress::default()
        };
        for (vm, phase) in &self.phases {
            match phase {
                VmPhase::Recording(_) | VmPhase::Ordered { .. } => {
                    progress.ordered.push(vm.clone());
                }
                VmPhase::Down(_) | VmPhase::Finished => progress.begun.push(vm.clone()),
                VmPhase::Pending | VmPhase::Evacuating(_) | VmPhase::Removed => {}
            }
        }
        progress
    }
}

impl Scheduler {
    /// Restores the progress of a wave that a predecessor stored.
    pub fn restore_wave(&mut self, stored: WaveProgress) {
        if stored.completed {
            self.maintenance.completed.insert(stored.number);
        } else {
            self.maintenance.restored.insert(stored.number, stored);
        }
    }

    pub(crate) fn wave_published(&mut self, wave: Wave, age_ms: u64, now: Millis) {
        let number = wave.number;
        let maintenance = &mut self.maintenance;
        if maintenance.active.contains_key(&number) {
            return;
        }
        if maintenance.completed.contains(&number) {
            // The predecessor may have ended before it reported the completion.
            self.actions.push(Action::ReportWave {
                wave: number,
                completed: true,
            });
            return;
        }
        let stored = maintenance.restored.remove(&number);
        let note = VmNote::WaveSeen {
            wave: number,
            vms: wave.vms.len(),
            at_once: wave.at_once,
            limit_ms: wave.limit_ms,
            begun: stored.as_ref().map_or(0, |stored| stored.begun.len()),
        };
        self.actions.push(Action::Note(Note::Vm(note)));
        maintenance
            .active
            .insert(number, ActiveWave::new(wave, stored.as_ref(), age_ms, now));
        self.actions.push(Action::ReportWave {
            wave: number,
            completed: false,
        });
    }

    /// Returns the progress of each wave with unstored changes, and the number of its latest change.
    ///
    /// The caller passes each back in [`crate::Event::WaveRecorded`] once it is stored.
    #[must_use]
    pub fn wave_records(&self) -> Vec<(WaveProgress, u64)> {
        let open = self.maintenance.active.values();
        let changed = open.filter(|wave| wave.has_changes());
        changed
            .map(|wave| (wave.progress(), wave.changes))
            .collect()
    }

    pub(crate) fn wave_recorded(&mut self, number: u64, change: u64) {
        let Some(open) = self.maintenance.active.get_mut(&number) else {
            return;
        };
        open.recorded = open.recorded.max(change);
        if open.remaining_count() > 0 || open.recorded < open.changes {
            return;
        }
        self.maintenance.active.remove(&number);
        self.maintenance.completed.insert(number);
        self.actions.push(Action::ReportWave {
            wave: number,
            completed: true,
        });
    }

    /// Advances all waves.
    pub(crate) fn advance_waves(&mut self, now: Millis) {
        if self.maintenance.active.is_empty() || !self.recovery.is_complete() {
            return;
        }
        self.request_vm_list(now);
        self.keep_ordered_vms_clear(now);
        if !self.vms.can_order(now) {
            return;
        }
        let mut waves = std::mem::take(&mut self.maintenance.active);
        for wave in waves.values_mut() {
            self.advance_wave(wave, now);
            self.begin_evacuations(wave, now);
            if wave.remaining_count() == 0 && wave.changes == 0 {
                // The wave was complete from the start, but its completion still has to be stored.
                wave.changes = 1;
            }
        }
        self.maintenance.active = waves;
    }

    /// Gives no work to VMs that are about to go down. Orders of a predecessor are repeated only after a pause, and may be
    /// carried out before.
    fn keep_ordered_vms_clear(&mut self, now: Millis) {
        let waves = self.maintenance.active.values();
        let phases = waves.flat_map(|wave| &wave.phases);
        let is_ordered =
            |phase: &VmPhase| matches!(phase, VmPhase::Recording(_) | VmPhase::Ordered { .. });
        let ordered = phases.filter(|(_, phase)| is_ordered(phase));
        let ordered: Vec<_> = ordered.filter_map(|(vm, _)| self.worker_on(vm)).collect();
        for worker in ordered {
            self.evacuate_worker(worker, now);
        }
    }

    fn advance_wave(&mut self, wave: &mut ActiveWave, now: Millis) {
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
        wave: &mut ActiveWave,
        vm: &VmId,
        phase: &VmPhase,
        now: Millis,
    ) -> Option<VmPhase> {
        let listed = self.vms.known.contains_key(vm);
        match phase {
            // A list requested before the wave was seen may lack VMs that joined since.
            VmPhase::Pending | VmPhase::Evacuating(_)
                if !listed && self.vms.listed_at > Some(wave.seen_at) =>
            {
                wave.changes += 1;
                Some(VmPhase::Removed)
            }
            VmPhase::Evacuating(until) if self.is_evacuated(vm, *until, now) => {
                wave.changes += 1;
                Some(VmPhase::Recording(wave.changes))
            }
            VmPhase::Recording(change) if wave.recorded >= *change => {
                Some(self.order_maintenance(wave.wave.number, vm, now))
            }
            VmPhase::Ordered { at, awaited: false }
                if !listed && self.vms.listed_at > Some(*at) =>
            {
                wave.changes += 1;
                Some(VmPhase::Removed)
            }
            VmPhase::Ordered { at, awaited: false }
                if now.since(*at) >= self.options.order_retry_ms =>
            {
                Some(self.order_maintenance(wave.wave.number, vm, now))
            }
            VmPhase::Down(since) => {
                let seen = self.vms.seen_since(vm, *since);
                let is_back = seen.is_some_and(|info| info.state == VmState::Up);
                let is_gone = !listed && self.vms.listed_at > Some(*since);
                (is_back || is_gone).then_some(VmPhase::Finished)
            }
            _ => None,
        }
    }

    fn is_evacuated(&mut self, vm: &VmId, until: Millis, now: Millis) -> bool {
        let Some(worker) = self.worker_on(vm) else {
            return true;
        };
        let is_empty = self.evacuate_worker(worker, now);
        is_empty || (now >= until && self.may_end_rest(worker))
    }

    fn order_maintenance(&mut self, wave: u64, vm: &VmId, now: Millis) -> VmPhase {
        self.actions.push(Action::OrderVm {
            vm: vm.clone(),
            operation: VmOperation::Maintenance { wave },
        });
        VmPhase::Ordered {
            at: now,
            awaited: true,
        }
    }

    /// Begins to evacuate as many VMs as may be down, starting with those that lose the least work.
    fn begin_evacuations(&mut self, wave: &mut ActiveWave, now: Millis) {
        let at_once = usize::try_from(wave.wave.at_once).unwrap_or(0);
        let free = at_once.saturating_sub(wave.unavailable_count());
        if free == 0 {
            return;
        }
        let mut ready = Vec::new();
        for (vm, phase) in &wave.phases {
            if *phase == VmPhase::Pending && self.can_be_taken_down(vm) {
                ready.push((self.uncheckpointed_runs(vm), vm.clone()));
            }
        }
        ready.sort();
        let until = now.plus(wave.evacuation_limit_ms(self.options.maintenance_ms, now));
        for (_uncheckpointed, vm) in ready.into_iter().take(free) {
            wave.phases.insert(vm, VmPhase::Evacuating(until));
        }
    }

    /// Returns whether a worker's VM waits for maintenance. Runs that start there will have to move again.
    pub(crate) fn awaits_maintenance(&self, key: WorkerKey) -> bool {
        if self.maintenance.active.is_empty() {
            return false;
        }
        let Some(vm) = &self.workers[key].spec.vm else {
            return false;
        };
        let mut waves = self.maintenance.active.values();
        waves.any(|wave| wave.phases.get(vm) == Some(&VmPhase::Pending))
    }

    /// Returns whether a VM is up and not about to leave anyway.
    fn can_be_taken_down(&self, vm: &VmId) -> bool {
        let is_up = self.vms.known.get(vm).map(|info| info.state) == Some(VmState::Up);
        let worker = self.worker_on(vm).map(|key| &self.workers[key]);
        is_up && worker.is_none_or(|worker| !worker.spec.draining)
    }

    /// Counts the runs whose progress would be lost with a VM.
    fn uncheckpointed_runs(&self, vm: &VmId) -> usize {
        let Some(key) = self.worker_on(vm) else {
            return 0;
        };
        let runs = self.workers[key].runs.values();
        runs.filter(|run| !run.checkpointed).count()
    }

    /// Handles the answer to a maintenance order.
    pub(crate) fn maintenance_answered(
        &mut self,
        wave: u64,
        vm: &VmId,
        answer: VmOrderAnswer,
        now: Millis,
    ) {
        let Some(open) = self.maintenance.active.get_mut(&wave) else {
            return;
        };
        let Some(VmPhase::Ordered { at, .. }) = open.phases.get(vm) else {
            return;
        };
        let next = match answer {
            VmOrderAnswer::Done => VmPhase::Down(now),
            VmOrderAnswer::NotApplicable => VmPhase::Removed,
            // An earlier order may still be carried out, so the VM counts as down until the outcome is known.
            VmOrderAnswer::Busy | VmOrderAnswer::InDoubt => VmPhase::Ordered {
                at: *at,
                awaited: false,
            },
        };
        let is_resolved = !matches!(next, VmPhase::Ordered { .. });
        open.phases.insert(vm.clone(), next);
        if !is_resolved {
            return;
        }
        open.changes += 1;
        if answer == VmOrderAnswer::NotApplicable {
            self.cancel_evacuation(vm);
        }
    }
}
