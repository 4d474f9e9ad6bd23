//! Model of the VMs that workers run on, which can be moved between pools and taken down for maintenance.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;
use syc_cell::ports::VmCommand;
use syc_cell::ports::VmOrderError;
use syc_sched::VmInfo;
use syc_sched::VmOperation;
use syc_sched::VmState;
use syc_sched::Wave;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;

use crate::FleetModel;
use crate::Violation;

#[derive(Debug, Clone)]
struct VmModel {
    pool: ServiceName,
    state: VmState,
    capacity: Resources,
    worker: Option<WorkerId>,
    token: u64,
    /// Time at which the current maintenance or move ends.
    available_at: Millis,
    /// Wave of the current maintenance.
    wave: Option<u64>,
    /// Waves whose maintenance the VM has had.
    maintained_waves: BTreeSet<u64>,
}

/// All VMs and the maintenance waves that operators have published.
#[derive(Debug, Clone, Default)]
pub struct VmsModel {
    /// Duration of maintenance or of a move.
    operation_ms: u64,
    vms: BTreeMap<VmId, VmModel>,
    waves: BTreeMap<u64, Wave>,
    /// Waves that were reported as completed.
    completed: BTreeSet<u64>,
    /// Pools whose VMs are powered off.
    off_pools: BTreeSet<ServiceName>,
    /// Workers that ended because of an operation on their VM.
    ended_workers: Vec<WorkerId>,
    /// Number of maintenance operations that have begun.
    maintenance_count: usize,
    violations: Vec<Violation>,
}

impl VmsModel {
    /// Creates a model without VMs, in which maintenance or a move takes `operation_ms`.
    #[must_use]
    pub fn new(operation_ms: u64) -> Self {
        Self {
            operation_ms,
            ..Self::default()
        }
    }

    /// Adds a VM.
    pub fn add(&mut self, id: VmId, pool: ServiceName, capacity: Resources) {
        let vm = VmModel {
            pool,
            state: VmState::Up,
            capacity,
            worker: None,
            token: 0,
            available_at: Millis(0),
            wave: None,
            maintained_waves: BTreeSet::new(),
        };
        self.vms.insert(id, vm);
    }

    /// Removes a VM permanently.
    pub fn remove(&mut self, id: &VmId) {
        self.vms.remove(id);
    }

    /// Sets the worker that runs on a VM.
    pub fn set_worker(&mut self, id: &VmId, worker: WorkerId) {
        if let Some(vm) = self.vms.get_mut(id) {
            vm.worker = Some(worker);
        }
    }

    /// Marks a pool as powered off. No workers start on its VMs.
    pub fn power_off_pool(&mut self, pool: ServiceName) {
        self.off_pools.insert(pool);
    }

    /// Returns the capacity of a VM, or zero if there is no such VM.
    #[must_use]
    pub fn capacity_of(&self, id: &VmId) -> Resources {
        self.vms.get(id).map_or(Resources::ZERO, |vm| vm.capacity)
    }

    /// Returns the number of maintenance operations that have begun.
    #[must_use]
    pub fn maintenance_count(&self) -> usize {
        self.maintenance_count
    }

    /// Returns a published wave.
    #[must_use]
    pub fn wave(&self, number: u64) -> Option<&Wave> {
        self.waves.get(&number)
    }

    /// Returns the workers that ended because of an operation on their VM since the last call.
    pub fn take_ended_workers(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.ended_workers)
    }

    /// Adds a published wave.
    pub fn publish(&mut self, wave: Wave) {
        self.waves.insert(wave.number, wave);
    }

    /// Returns the violations found so far.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns whether all waves were reported as completed.
    #[must_use]
    pub fn all_completed(&self) -> bool {
        self.waves.keys().all(|wave| self.completed.contains(wave))
    }

    /// Returns the pool of a VM.
    #[must_use]
    pub fn pool_of(&self, id: &VmId) -> Option<&ServiceName> {
        self.vms.get(id).map(|vm| &vm.pool)
    }

    /// Lists the VMs.
    #[must_use]
    pub fn list(&self) -> Vec<VmInfo> {
        let mut listed = Vec::new();
        for (id, vm) in &self.vms {
            listed.push(VmInfo {
                id: id.clone(),
                pool: vm.pool.clone(),
                state: vm.state,
                capacity: vm.capacity,
                worker: vm.worker.clone(),
            });
        }
        listed
    }

    /// Executes a command on a VM. All runs on it end at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform refuses the command.
    pub fn order(
        &mut self,
        fleet: &mut FleetModel,
        command: &VmCommand,
        now: Millis,
    ) -> Result<(), VmOrderError> {
        let unfit = |text: &'static str| VmOrderError::NotApplicable(SmolStr::new_static(text));
        let vm = self
            .vms
            .get_mut(&command.vm)
            .ok_or_else(|| unfit("no such VM"))?;
        if command.token < vm.token {
            return Err(VmOrderError::Fenced);
        }
        vm.token = command.token;
        let is_done = match &command.operation {
            VmOperation::Maintenance { wave } => {
                let of_wave = self.waves.get(wave);
                if !of_wave.is_some_and(|of_wave| of_wave.vms.contains(&command.vm)) {
                    return Err(unfit("VM does not belong to the wave"));
                }
                vm.maintained_waves.contains(wave)
            }
            VmOperation::Move { pool } => vm.pool == *pool,
        };
        if is_done {
            return Ok(());
        }
        if vm.state != VmState::Up {
            return Err(VmOrderError::Busy);
        }
        match &command.operation {
            VmOperation::Maintenance { wave } => self.begin_maintenance(&command.vm, *wave),
            VmOperation::Move { pool } => {
                vm.state = VmState::Moving;
                vm.pool = pool.clone();
            }
        }
        let operation_ms = self.operation_ms;
        let Some(vm) = self.vms.get_mut(&command.vm) else {
            return Ok(());
        };
        vm.available_at = now.plus(operation_ms);
        if let Some(worker) = vm.worker.take() {
            fleet.interrupt(&worker, now);
            self.ended_workers.push(worker);
        }
        Ok(())
    }

    fn begin_maintenance(&mut self, id: &VmId, wave: u64) {
        self.maintenance_count += 1;
        let down = self.vms.values().filter(|vm| vm.wave == Some(wave)).count();
        let at_once = self.waves.get(&wave).map_or(0, |wave| wave.at_once);
        if down >= usize::try_from(at_once).unwrap_or(0) {
            self.violations.push(Violation::TooManyDown(wave));
        }
        if let Some(vm) = self.vms.get_mut(id) {
            vm.state = VmState::Maintenance;
            vm.wave = Some(wave);
            vm.maintained_waves.insert(wave);
        }
    }

    /// Advances the model to `now`. Returns the VMs whose operation has ended, with their pools; a new worker starts on
    /// each of them.
    pub fn advance(&mut self, now: Millis) -> Vec<(VmId, ServiceName)> {
        let mut back = Vec::new();
        for (id, vm) in &mut self.vms {
            let is_away = matches!(vm.state, VmState::Maintenance | VmState::Moving);
            if is_away && vm.available_at <= now {
                vm.state = VmState::Up;
                vm.wave = None;
                if !self.off_pools.contains(&vm.pool) {
                    back.push((id.clone(), vm.pool.clone()));
                }
            }
        }
        back
    }

    /// Checks the reported status of a wave.
    pub fn wave_reported(&mut self, wave: u64, completed: bool) {
        if !completed {
            return;
        }
        self.completed.insert(wave);
        let vms = self.waves.get(&wave).map(|wave| wave.vms.clone());
        for id in vms.unwrap_or_default() {
            let missed = self
                .vms
                .get(&id)
                .is_some_and(|vm| !vm.maintained_waves.contains(&wave));
            if missed {
                self.violations.push(Violation::WaveIncomplete(wave));
            }
        }
    }
}
