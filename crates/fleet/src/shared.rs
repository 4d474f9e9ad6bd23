//! The models behind the ports of nodes that run in one process.

mod calls;
mod faults;
mod ports;
mod vms;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use faults::SharedFaults;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::Configuration;
use syc_cell::now;
use syc_cell::ports::Condition;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_sched::WorkerSpec;
use syc_types::WorkerId;

use crate::FleetModel;
use crate::StoreModel;
use crate::VmsModel;

/// Time that an upkeep or a move of a VM takes.
const VM_OPERATION_MS: u64 = 200;

#[derive(Debug)]
struct State {
    store: StoreModel,
    fleet: FleetModel,
    vms: VmsModel,
    /// Workers that have started on VMs.
    worker_starts: u64,
    specs: HashMap<SmolStr, WorkerSpec>,
    configurations: HashMap<SmolStr, Configuration>,
    faults: SharedFaults,
    advice_calls: u64,
    /// Reads of all keys of a partition: those that were answered, and those that were refused.
    full_reads: HashMap<(Topic, u32), u64>,
    refused_full_reads: u64,
    /// Answers with an odd clock that were given.
    corrupt_clocks_returned: u64,
    /// Start orders under way at each worker, and the most that were at any.
    starts_in_flight: HashMap<WorkerId, usize>,
    max_starts_in_flight: usize,
    /// Renewals that were sent to each worker.
    renewals: HashMap<WorkerId, u64>,
}

impl State {
    /// Writes a record to the first partition of a topic; without a condition, nothing can be refused.
    fn put(&mut self, topic: Topic, record: Record) {
        let _appended = self.store.append(topic, 0, &[record], &Condition::None);
    }
}

impl Default for State {
    fn default() -> Self {
        Self {
            store: StoreModel::default(),
            fleet: FleetModel::default(),
            vms: VmsModel::new(VM_OPERATION_MS),
            worker_starts: 0,
            specs: HashMap::new(),
            configurations: HashMap::new(),
            faults: SharedFaults::default(),
            advice_calls: 0,
            full_reads: HashMap::new(),
            refused_full_reads: 0,
            corrupt_clocks_returned: 0,
            starts_in_flight: HashMap::new(),
            max_starts_in_flight: 0,
            renewals: HashMap::new(),
        }
    }
}

/// The platform of one node; all nodes share what is behind it.
#[derive(Debug, Clone)]
pub struct SharedPlatform {
    node: SmolStr,
    state: Arc<Mutex<State>>,
}

impl SharedPlatform {
    /// Makes a platform with nothing in it.
    #[must_use]
    pub fn new() -> Self {
        Self {
            node: SmolStr::default(),
            state: Arc::default(),
        }
    }

    /// Returns the same platform as another node sees it.
    #[must_use]
    pub fn for_node(&self, node: &str) -> Self {
        Self {
            node: SmolStr::new(node),
            state: Arc::clone(&self.state),
        }
    }

    /// Returns the number of renewals that a worker was sent.
    #[must_use]
    pub fn renewals_of(&self, id: &WorkerId) -> u64 {
        self.lock().renewals.get(id).copied().unwrap_or(0)
    }

    /// Registers a worker.
    pub fn register(&self, spec: WorkerSpec) {
        let mut state = self.lock();
        let worker = crate::WorkerModel::new(spec.id.clone(), spec.capacity, 0);
        state.fleet.add(worker);
        let key = SmolStr::new(spec.id.as_str());
        state.specs.insert(key.clone(), spec);
        let record = Record {
            value: key.as_bytes().to_vec().into(),
            key,
        };
        state.put(Topic::Workers, record);
    }

    /// Another writer puts something that can't be read in the place of a worker's entry.
    pub fn corrupt_worker_entry(&self, key: &str) {
        let mut state = self.lock();
        state.specs.remove(key);
        let record = Record {
            key: SmolStr::new(key),
            value: vec![0xff, 0xfe].into(),
        };
        state.put(Topic::Workers, record);
    }

    /// Removes a worker from the list; it goes on running what it runs.
    pub fn unlist(&self, worker: &WorkerId) {
        let record = Record {
            key: SmolStr::new(worker.as_str()),
            value: Vec::new().into(),
        };
        self.lock().put(Topic::Workers, record);
    }

    /// Publishes a configuration.
    pub fn publish(&self, configuration: Configuration) {
        let mut state = self.lock();
        let name = format_smolstr!("v{}", configuration.version);
        state.configurations.insert(name.clone(), configuration);
        let record = Record {
            key: SmolStr::new_static("config"),
            value: name.as_bytes().to_vec().into(),
        };
        state.put(Topic::Operators, record);
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&self, faults: SharedFaults) {
        self.lock().faults = faults;
    }

    /// Looks at the workers, or changes them.
    pub fn with_fleet<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut FleetModel) -> T,
    {
        let mut state = self.lock();
        state.fleet.advance(now());
        f(&mut state.fleet)
    }

    /// Looks at the store, or changes it.
    pub fn with_store<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut StoreModel) -> T,
    {
        f(&mut self.lock().store)
    }

    /// Returns the most start orders that were under way at one worker.
    #[must_use]
    pub fn max_starts_in_flight(&self) -> usize {
        self.lock().max_starts_in_flight
    }

    /// Returns how often all keys of a partition were read.
    #[must_use]
    pub fn full_reads(&self, topic: Topic, partition: u32) -> u64 {
        let state = self.lock();
        let reads = state.full_reads.get(&(topic, partition));
        reads.copied().unwrap_or(0)
    }

    /// Returns how often a read of all keys of a partition was refused.
    #[must_use]
    pub fn refused_full_reads(&self) -> u64 {
        self.lock().refused_full_reads
    }

    /// Returns how often a worker's odd clock was told.
    #[must_use]
    pub fn corrupt_clocks_returned(&self) -> u64 {
        self.lock().corrupt_clocks_returned
    }

    /// Returns the number of calls for advice so far.
    #[must_use]
    pub fn advice_calls(&self) -> u64 {
        self.lock().advice_calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SharedPlatform {
    fn default() -> Self {
        Self::new()
    }
}
