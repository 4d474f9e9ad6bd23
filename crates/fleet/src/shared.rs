//! The models behind the ports of nodes that run in one process.

mod ports;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use smol_str::SmolStr;
use smol_str::format_smolstr;
use syc_cell::Configuration;
use syc_cell::now;
use syc_cell::pause;
use syc_cell::ports::Condition;
use syc_cell::ports::OrderError;
use syc_cell::ports::Record;
use syc_cell::ports::Renewed;
use syc_cell::ports::Topic;
use syc_sched::Wave;
use syc_sched::WorkerSpec;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::FleetModel;
use crate::StoreModel;
use crate::VmsModel;

/// A waiting call looks this often whether there is news.
const LOOK_MS: u64 = 2;

/// Time that each call takes at least.
const CALL_MS: u64 = 1;

/// Time that an upkeep or a move of a VM takes.
const VM_ORDER_MS: u64 = 200;

/// What the keys of records about waves of upkeep begin with.
const WAVE_PREFIX: &str = "wave/";

/// Time for which tickets are valid.
const TICKET_MS: u64 = 2_000;

/// What goes wrong for some nodes.
#[derive(Debug, Clone, Default)]
pub struct SharedFaults {
    /// Nodes whose calls to the store are refused.
    pub turned_away: BTreeSet<SmolStr>,
    /// Nodes whose calls to the store are never answered, and not carried out.
    pub cut_off: BTreeSet<SmolStr>,
    /// Workers whose answers tell the greatest time that there is.
    pub odd_clocks: BTreeSet<WorkerId>,
    /// Workers that take no call and answer none.
    pub silent_workers: BTreeSet<WorkerId>,
    /// Partitions of topics that refuse every call.
    pub down: Vec<(Topic, u32)>,
    /// Reads of whole partitions that are never answered; so many from now on.
    pub silent_reads: u32,
    /// Time by which answers to reads of jobs arrive later than the store gave them.
    pub late_job_reads_ms: u64,
    /// Appends that are carried out and not answered; so many from now on.
    pub lost_appends: u32,
    /// Appends of jobs that are carried out and not answered; so many from now on.
    pub lost_submits: u32,
    /// Starts that are carried out and not answered; so many from now on.
    pub lost_starts: u32,
}

#[derive(Debug)]
struct State {
    store: StoreModel,
    fleet: FleetModel,
    vms: VmsModel,
    /// Workers that have started on VMs.
    lives: u64,
    specs: HashMap<SmolStr, WorkerSpec>,
    configurations: HashMap<SmolStr, Configuration>,
    faults: SharedFaults,
    advice_calls: u64,
    /// Reads of all keys of a partition: those that were answered, and those that were refused.
    whole_reads: HashMap<(Topic, u32), u64>,
    refused_reads: u64,
    /// Answers with an odd clock that were given.
    odd_clocks_read: u64,
    /// Start orders under way at each worker, and the most that were at any.
    orders: HashMap<WorkerId, usize>,
    most_orders: usize,
}

impl Default for State {
    fn default() -> Self {
        Self {
            store: StoreModel::default(),
            fleet: FleetModel::default(),
            vms: VmsModel::new(VM_ORDER_MS),
            lives: 0,
            specs: HashMap::new(),
            configurations: HashMap::new(),
            faults: SharedFaults::default(),
            advice_calls: 0,
            whole_reads: HashMap::new(),
            refused_reads: 0,
            odd_clocks_read: 0,
            orders: HashMap::new(),
            most_orders: 0,
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
        // Without a condition, nothing can be refused.
        let _appended = state
            .store
            .append(Topic::Workers, 0, &[record], &Condition::None);
    }

    /// Another writer puts something that can't be read in the place of a worker's entry.
    pub fn spoil_entry(&self, key: &str) {
        let mut state = self.lock();
        state.specs.remove(key);
        let record = Record {
            key: SmolStr::new(key),
            value: vec![0xff, 0xfe].into(),
        };
        // Without a condition, nothing can be refused.
        let _appended = state
            .store
            .append(Topic::Workers, 0, &[record], &Condition::None);
    }

    /// Adds a VM with a worker on it, which the pool's service registers.
    pub fn add_vm(&self, id: &VmId, pool: &ServiceName, capacity: Resources) {
        let mut state = self.lock();
        state.vms.add(id.clone(), pool.clone(), capacity);
        drop(state);
        self.start_worker(id, pool);
    }

    /// Adds a VM that is off until it is moved to another pool.
    pub fn add_standby_vm(&self, id: &VmId, pool: &ServiceName, capacity: Resources) {
        let mut state = self.lock();
        state.vms.add(id.clone(), pool.clone(), capacity);
        state.vms.keep_off(pool.clone());
    }

    fn start_worker(&self, vm: &VmId, pool: &ServiceName) {
        let (id, capacity) = {
            let mut state = self.lock();
            state.lives += 1;
            let id = WorkerId::new(format!("{vm}-life-{}", state.lives));
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

    fn bring_vms_back(&self) {
        let (back, gone) = {
            let mut state = self.lock();
            let back = state.vms.advance(now());
            (back, state.vms.take_ended())
        };
        for worker in gone {
            self.unlist(&worker);
        }
        for (vm, pool) in back {
            self.start_worker(&vm, &pool);
        }
    }

    /// Publishes a wave of upkeep.
    pub fn publish_wave(&self, wave: Wave) {
        let record = Record {
            key: format_smolstr!("{WAVE_PREFIX}{}", wave.number),
            value: "wave".into(),
        };
        let mut state = self.lock();
        state.vms.publish(wave);
        // Without a condition, nothing can be refused.
        let _appended = state
            .store
            .append(Topic::Operators, 0, &[record], &Condition::None);
    }

    /// Returns what operators were told last of a wave.
    #[must_use]
    pub fn wave_told(&self, wave: u64) -> Option<SmolStr> {
        let key = format_smolstr!("{WAVE_PREFIX}{wave}");
        let state = self.lock();
        let newest = state.store.newest(Topic::Status, 0);
        let (_, record) = newest
            .records
            .iter()
            .find(|(_, record)| record.key == key)?;
        Some(SmolStr::from(String::from_utf8_lossy(&record.value)))
    }

    /// Works on the VMs.
    pub fn with_vms<F, T>(&self, work: F) -> T
    where
        F: FnOnce(&mut VmsModel) -> T,
    {
        work(&mut self.lock().vms)
    }

    /// Removes a worker from the list; it goes on running what it runs.
    pub fn unlist(&self, worker: &WorkerId) {
        let record = Record {
            key: SmolStr::new(worker.as_str()),
            value: Vec::new().into(),
        };
        // Without a condition, nothing can be refused.
        let _appended = self
            .lock()
            .store
            .append(Topic::Workers, 0, &[record], &Condition::None);
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
        // Without a condition, nothing can be refused.
        let _appended = state
            .store
            .append(Topic::Operators, 0, &[record], &Condition::None);
    }

    /// Changes what goes wrong from now on.
    pub fn set_faults(&self, faults: SharedFaults) {
        self.lock().faults = faults;
    }

    /// Looks at the workers, or changes them.
    pub fn with_fleet<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&mut FleetModel) -> T,
    {
        let mut state = self.lock();
        state.fleet.advance(now());
        look(&mut state.fleet)
    }

    /// Looks at the store, or changes it.
    pub fn with_store<T, F>(&self, look: F) -> T
    where
        F: FnOnce(&mut StoreModel) -> T,
    {
        look(&mut self.lock().store)
    }

    /// Returns the most start orders that were under way at one worker.
    #[must_use]
    pub fn most_orders(&self) -> usize {
        self.lock().most_orders
    }

    fn begin_order(&self, worker: &WorkerId) {
        let mut state = self.lock();
        let orders = state.orders.entry(worker.clone()).or_default();
        *orders += 1;
        let orders = *orders;
        state.most_orders = state.most_orders.max(orders);
    }

    fn end_order(&self, worker: &WorkerId) {
        if let Some(orders) = self.lock().orders.get_mut(worker) {
            *orders -= 1;
        }
    }

    /// Says whether the next read of a whole partition is never answered.
    fn take_silent_read(&self) -> bool {
        let faults = &mut self.lock().faults;
        let silent = faults.silent_reads > 0;
        faults.silent_reads = faults.silent_reads.saturating_sub(1);
        silent
    }

    /// Returns how often all keys of a partition were read.
    #[must_use]
    pub fn whole_reads(&self, topic: Topic, partition: u32) -> u64 {
        let state = self.lock();
        let reads = state.whole_reads.get(&(topic, partition));
        reads.copied().unwrap_or(0)
    }

    /// Returns how often a read of all keys of a partition was refused.
    #[must_use]
    pub fn refused_reads(&self) -> u64 {
        self.lock().refused_reads
    }

    /// Returns how often a worker's odd clock was told.
    #[must_use]
    pub fn odd_clocks_read(&self) -> u64 {
        self.lock().odd_clocks_read
    }

    /// Makes the answer of a worker tell an odd clock, where it is to.
    fn spoil_clock(&self, worker: &WorkerId, renewed: Renewed) -> Renewed {
        let mut state = self.lock();
        if !state.faults.odd_clocks.contains(worker) {
            return renewed;
        }
        state.odd_clocks_read += 1;
        Renewed {
            clock_ms: u64::MAX,
            ..renewed
        }
    }

    /// Returns the number of calls for advice so far.
    #[must_use]
    pub fn advice_calls(&self) -> u64 {
        self.lock().advice_calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits as long as answers to reads of a topic are under way beyond the usual.
    async fn hold_back(&self, topic: Topic) {
        let late_ms = self.lock().faults.late_job_reads_ms;
        if topic == Topic::Jobs {
            pause(late_ms).await;
        }
    }

    /// Waits as long as a call to a worker takes, or until it times out where the worker is silent.
    async fn reach_worker(&self, worker: &WorkerId, timeout_ms: u64) -> Result<(), OrderError> {
        pause(CALL_MS).await;
        if self.lock().faults.silent_workers.contains(worker) {
            pause(timeout_ms).await;
            return Err(OrderError::InDoubt(SmolStr::new_static("silent")));
        }
        Ok(())
    }

    /// Waits as long as a call takes, or for ever where the node is cut off; says whether the store
    /// turns it away.
    async fn reach_store(&self) -> bool {
        pause(CALL_MS).await;
        let (cut_off, turned_away) = {
            let faults = &self.lock().faults;
            (
                faults.cut_off.contains(&self.node),
                faults.turned_away.contains(&self.node),
            )
        };
        if cut_off {
            return std::future::pending().await;
        }
        turned_away
    }
}

impl Default for SharedPlatform {
    fn default() -> Self {
        Self::new()
    }
}
