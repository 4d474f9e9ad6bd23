//! VMs, the workers on them, and maintenance waves.

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::now;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_sched::Wave;
use syc_sched::WorkerSpec;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::Zone;

use super::SharedPlatform;
use crate::VmsModel;

/// Key prefix of the records of maintenance waves.
pub(super) const WAVE_PREFIX: &str = "wave/";

impl SharedPlatform {
    /// Adds a VM and registers a worker on it for the service of the pool.
    pub fn add_vm(&self, id: &VmId, pool: &ServiceName, capacity: Resources) {
        let mut state = self.lock();
        state.vms.add(id.clone(), pool.clone(), capacity);
        drop(state);
        self.start_worker(id, pool);
    }

    /// Adds a VM that is powered off until it is moved to another pool.
    pub fn add_standby_vm(&self, id: &VmId, pool: &ServiceName, capacity: Resources) {
        let mut state = self.lock();
        state.vms.add(id.clone(), pool.clone(), capacity);
        state.vms.power_off_pool(pool.clone());
    }

    fn start_worker(&self, vm: &VmId, pool: &ServiceName) {
        let (id, capacity) = {
            let mut state = self.lock();
            state.worker_starts += 1;
            let id = WorkerId::new(format!("{vm}-life-{}", state.worker_starts));
            state.vms.set_worker(vm, id.clone());
            (id, state.vms.capacity_of(vm))
        };
        self.register(WorkerSpec {
            id,
            service: pool.clone(),
            address: SmolStr::new_static("127.0.0.1:1"),
            zone: Zone::new("zone"),
            rack: RackId::new("rack"),
            labels: Vec::new(),
            capacity,
            draining: false,
            vm: Some(vm.clone()),
        });
    }

    pub(super) fn restore_vms(&self) {
        let (back, gone) = {
            let mut state = self.lock();
            let back = state.vms.advance(now());
            (back, state.vms.take_ended_workers())
        };
        for worker in gone {
            self.unlist(&worker);
        }
        for (vm, pool) in back {
            self.start_worker(&vm, &pool);
        }
    }

    /// Publishes a maintenance wave.
    pub fn publish_wave(&self, wave: Wave) {
        let record = Record {
            key: format_smolstr!("{WAVE_PREFIX}{}", wave.number),
            value: "wave".into(),
        };
        let mut state = self.lock();
        state.vms.publish(wave);
        state.put(Topic::Operators, record);
    }

    /// Returns the status of a wave that was last reported to operators.
    #[must_use]
    pub fn reported_wave_status(&self, wave: u64) -> Option<SmolStr> {
        let key = format_smolstr!("{WAVE_PREFIX}{wave}");
        let state = self.lock();
        let newest = state.store.newest(Topic::Status, 0);
        let (_, record) = newest
            .records
            .iter()
            .find(|(_, record)| record.key == key)?;
        Some(SmolStr::from(String::from_utf8_lossy(&record.value)))
    }

    /// Calls `f` with the VMs.
    pub fn with_vms<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut VmsModel) -> T,
    {
        f(&mut self.lock().vms)
    }
}
