//! The VMs under the workers: listed, moved between pools, taken down for upkeep.

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

use crate::Fault;
use crate::FleetModel;

/// A VM.
#[derive(Debug, Clone)]
struct VmModel {
    pool: ServiceName,
    state: VmState,
    capacity: Resources,
    worker: Option<WorkerId>,
    token: u64,
    /// When it is back from its upkeep, or there after a move.
    back_at: Millis,
    /// The wave that it has its upkeep for now.
    wave: Option<u64>,
    /// Waves for which it has had its upkeep.
    upkeeps: BTreeSet<u64>,
}

/// All VMs, and the waves that operators have published.
#[derive(Debug, Clone, Default)]
pub struct VmsModel {
    /// Time that an upkeep or a move takes.
    order_ms: u64,
    vms: BTreeMap<VmId, VmModel>,
    waves: BTreeMap<u64, Wave>,
    /// Waves that were said to be completed.
    completed: BTreeSet<u64>,
    /// Pools whose VMs are off.
    off: BTreeSet<ServiceName>,
    /// Workers that ended with an order about their VM.
    ended: Vec<WorkerId>,
    /// Upkeeps that have begun.
    upkeeps: usize,
    faults: Vec<Fault>,
}

impl VmsModel {
    /// Makes a model without VMs; an upkeep or a move takes so long.
    #[must_use]
    pub fn new(order_ms: u64) -> Self {
        Self {
            order_ms,
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
            back_at: Millis(0),
            wave: None,
            upkeeps: BTreeSet::new(),
        };
        self.vms.insert(id, vm);
    }

    /// Takes a VM away for good.
    pub fn remove(&mut self, id: &VmId) {
        self.vms.remove(id);
    }

    /// Says which worker is on a VM.
    pub fn set_worker(&mut self, id: &VmId, worker: WorkerId) {
        if let Some(vm) = self.vms.get_mut(id) {
            vm.worker = Some(worker);
        }
    }

    /// The VMs in a pool are off.
    pub fn keep_off(&mut self, pool: ServiceName) {
        self.off.insert(pool);
    }

    /// Returns what a VM has.
    #[must_use]
    pub fn capacity_of(&self, id: &VmId) -> Resources {
        self.vms.get(id).map_or(Resources::ZERO, |vm| vm.capacity)
    }

    /// Counts the upkeeps so far.
    #[must_use]
    pub fn upkeeps(&self) -> usize {
        self.upkeeps
    }

    /// Returns a wave that was published.
    #[must_use]
    pub fn wave(&self, number: u64) -> Option<&Wave> {
        self.waves.get(&number)
    }

    /// Takes the workers that ended with an order about their VM.
    pub fn take_ended(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.ended)
    }

    /// Takes note of a wave that was published.
    pub fn publish(&mut self, wave: Wave) {
        self.waves.insert(wave.number, wave);
    }

    /// Returns the rules that were broken.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }

    /// Says whether every wave was said to be completed.
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

    /// Carries an order out: all that runs on the VM ends at once.
    ///
    /// # Errors
    ///
    /// Fails as the platform refuses.
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
                    return Err(unfit("not of that wave"));
                }
                vm.upkeeps.contains(wave)
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
            VmOperation::Maintenance { wave } => self.begin_upkeep(&command.vm, *wave),
            VmOperation::Move { pool } => {
                vm.state = VmState::Moving;
                vm.pool = pool.clone();
            }
        }
        let order_ms = self.order_ms;
        let Some(vm) = self.vms.get_mut(&command.vm) else {
            return Ok(());
        };
        vm.back_at = now.plus(order_ms);
        if let Some(worker) = vm.worker.take() {
            fleet.interrupt(&worker, now);
            self.ended.push(worker);
        }
        Ok(())
    }

    fn begin_upkeep(&mut self, id: &VmId, wave: u64) {
        self.upkeeps += 1;
        let down = self.vms.values().filter(|vm| vm.wave == Some(wave)).count();
        let at_once = self.waves.get(&wave).map_or(0, |wave| wave.at_once);
        if down >= usize::try_from(at_once).unwrap_or(0) {
            self.faults.push(Fault::TooManyDown(wave));
        }
        if let Some(vm) = self.vms.get_mut(id) {
            vm.state = VmState::Maintenance;
            vm.wave = Some(wave);
            vm.upkeeps.insert(wave);
        }
    }

    /// Lets time pass. Returns the VMs that are back, with the pool of each; a new worker comes up there.
    pub fn advance(&mut self, now: Millis) -> Vec<(VmId, ServiceName)> {
        let mut back = Vec::new();
        for (id, vm) in &mut self.vms {
            let is_away = matches!(vm.state, VmState::Maintenance | VmState::Moving);
            if is_away && vm.back_at <= now {
                vm.state = VmState::Up;
                vm.wave = None;
                if !self.off.contains(&vm.pool) {
                    back.push((id.clone(), vm.pool.clone()));
                }
            }
        }
        back
    }

    /// Hears how far a wave is said to be.
    pub fn told(&mut self, wave: u64, completed: bool) {
        if !completed {
            return;
        }
        self.completed.insert(wave);
        let vms = self.waves.get(&wave).map(|wave| wave.vms.clone());
        for id in vms.unwrap_or_default() {
            let missed = self
                .vms
                .get(&id)
                .is_some_and(|vm| !vm.upkeeps.contains(&wave));
            if missed {
                self.faults.push(Fault::WaveNotDone(wave));
            }
        }
    }
}
