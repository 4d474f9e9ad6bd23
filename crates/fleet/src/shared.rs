//! Platform for several nodes in one process, which share the models.

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
use syc_cell::ports::OrderError;
use syc_cell::ports::Record;
use syc_cell::ports::Renewal;
use syc_cell::ports::StartCommand;
use syc_cell::ports::Topic;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::WorkerId;

use crate::FleetModel;
use crate::StoreModel;
use crate::VmsModel;

/// Duration of maintenance or of a move of a VM.
const VM_OPERATION_MS: u64 = 200;

#[derive(Debug)]
struct State {
    store: StoreModel,
    fleet: FleetModel,
    vms: VmsModel,
    /// Number of workers that have started on VMs.
    worker_starts: u64,
    specs: HashMap<SmolStr, WorkerSpec>,
    configurations: HashMap<SmolStr, Configuration>,
    faults: SharedFaults,
    advice_calls: u64,
    /// Number of answered reads of a full partition, by topic and partition.
    full_reads: HashMap<(Topic, u32), u64>,
    refused_full_reads: u64,
    /// Number of reads of the store by each node.
    reads_by_node: HashMap<SmolStr, u64>,
    /// Number of replies that contained a corrupt clock.
    corrupt_clocks_returned: u64,
    /// Number of start commands in flight to each worker.
    starts_in_flight: HashMap<WorkerId, usize>,
    max_starts_in_flight: usize,
    /// Number of renewals sent to each worker.
    renewals: HashMap<WorkerId, u64>,
    /// Longest wait that a renewal asked of each worker.
    longest_waits_ms: HashMap<WorkerId, u64>,
    /// Number of calls from each node to each worker.
    calls: HashMap<(SmolStr, WorkerId), u64>,
    /// Calls that got no answer and have not been carried out.
    held_calls: Vec<HeldCall>,
}

/// A call that is carried out late, with the worker that it reaches.
#[derive(Debug)]
enum HeldCall {
    Start(WorkerId, StartCommand),
    Renewal(WorkerId, Renewal),
}

/// Returns the id of the process that calls to a life of a worker reach: that of its latest life.
fn process_of(id: &WorkerId) -> WorkerId {
    WorkerId::of_life(id.name(), None)
}

impl State {
    /// Appends a record to the first partition of a topic. An append without a condition cannot fail.
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
            reads_by_node: HashMap::new(),
            corrupt_clocks_returned: 0,
            starts_in_flight: HashMap::new(),
            max_starts_in_flight: 0,
            renewals: HashMap::new(),
            longest_waits_ms: HashMap::new(),
            calls: HashMap::new(),
            held_calls: Vec::new(),
        }
    }
}

/// Platform of one node. All nodes share the same models.
#[derive(Debug, Clone)]
pub struct SharedPlatform {
    node: SmolStr,
    state: Arc<Mutex<State>>,
}

impl SharedPlatform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new() -> Self {
        Self {
            node: SmolStr::default(),
            state: Arc::default(),
        }
    }

    /// Returns a handle to the same platform for another node.
    #[must_use]
    pub fn for_node(&self, node: &str) -> Self {
        Self {
            node: SmolStr::new(node),
            state: Arc::clone(&self.state),
        }
    }

    /// Returns the number of reads of the store by a node.
    #[must_use]
    pub fn store_reads_by(&self, node: &str) -> u64 {
        self.lock().reads_by_node.get(node).copied().unwrap_or(0)
    }

    /// Returns the number of renewals sent to a worker.
    #[must_use]
    pub fn renewals_of(&self, id: &WorkerId) -> u64 {
        self.lock().renewals.get(id).copied().unwrap_or(0)
    }

    /// Returns the longest wait that a renewal asked of a worker.
    #[must_use]
    pub fn longest_wait_ms(&self, id: &WorkerId) -> u64 {
        let state = self.lock();
        state.longest_waits_ms.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of calls from a node to a worker.
    #[must_use]
    pub fn calls_between(&self, node: &str, id: &WorkerId) -> u64 {
        let link = (SmolStr::new(node), id.clone());
        self.lock().calls.get(&link).copied().unwrap_or(0)
    }

    /// Registers a worker.
    pub fn register(&self, spec: WorkerSpec) {
        let mut state = self.lock();
        let process = process_of(&spec.id);
        let mut worker = crate::WorkerModel::new(process, spec.capacity, 0);
        worker.started_at = Millis(spec.id.born_ms().unwrap_or(0));
        state.fleet.add(worker);
        let key = SmolStr::new(spec.id.name());
        state.specs.insert(key.clone(), spec);
        let record = Record {
            value: key.as_bytes().to_vec().into(),
            key,
        };
        state.put(Topic::Workers, record);
    }

    /// Crashes a worker and starts it again under its name. Calls that name its earlier life get no answer any more, but
    /// reach the next one.
    pub fn restart(&self, former: &WorkerSpec) {
        let id = WorkerId::of_life(former.id.name(), Some(now().0));
        self.with_fleet(|fleet| fleet.crash(&process_of(&former.id)));
        self.lock().faults.silent_lives.insert(former.id.clone());
        self.register(WorkerSpec {
            id,
            ..former.clone()
        });
    }

    /// Returns the number of calls that are held up.
    #[must_use]
    pub fn held_calls(&self) -> usize {
        self.lock().held_calls.len()
    }

    /// Carries out the calls that were held up, on whichever lives their workers have by now.
    #[must_use]
    pub fn carry_out_held_calls(&self) -> Vec<Result<(), OrderError>> {
        let mut state = self.lock();
        let held = std::mem::take(&mut state.held_calls);
        let outcomes = held.into_iter().map(|call| match call {
            HeldCall::Start(process, command) => state.fleet.start(&process, &command, now()),
            HeldCall::Renewal(process, renewal) => {
                let renewed = state.fleet.renew(&process, &renewal, now());
                renewed.map(|_reply| ())
            }
        });
        outcomes.collect()
    }

    /// Overwrites a worker's entry with a value that cannot be parsed, as another writer might.
    pub fn corrupt_worker_entry(&self, key: &str) {
        let mut state = self.lock();
        state.specs.remove(key);
        let record = Record {
            key: SmolStr::new(key),
            value: vec![0xff, 0xfe].into(),
        };
        state.put(Topic::Workers, record);
    }

    /// Removes a worker's entry from the store. Its runs continue.
    pub fn unlist(&self, worker: &WorkerId) {
        let record = Record {
            key: SmolStr::new(worker.name()),
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

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: SharedFaults) {
        self.lock().faults = faults;
    }

    /// Calls `f` with the workers, advanced to the current time.
    pub fn with_fleet<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut FleetModel) -> T,
    {
        let mut state = self.lock();
        state.fleet.advance(now());
        f(&mut state.fleet)
    }

    /// Calls `f` with the store.
    pub fn with_store<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut StoreModel) -> T,
    {
        f(&mut self.lock().store)
    }

    /// Returns the largest number of start commands that were in flight to one worker.
    #[must_use]
    pub fn max_starts_in_flight(&self) -> usize {
        self.lock().max_starts_in_flight
    }

    /// Returns the number of answered reads of a full partition.
    #[must_use]
    pub fn full_reads(&self, topic: Topic, partition: u32) -> u64 {
        let state = self.lock();
        let reads = state.full_reads.get(&(topic, partition));
        reads.copied().unwrap_or(0)
    }

    /// Returns the number of refused reads of a full partition.
    #[must_use]
    pub fn refused_full_reads(&self) -> u64 {
        self.lock().refused_full_reads
    }

    /// Returns the number of replies that contained a corrupt clock.
    #[must_use]
    pub fn corrupt_clocks_returned(&self) -> u64 {
        self.lock().corrupt_clocks_returned
    }

    /// Returns the number of advice calls so far.
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
