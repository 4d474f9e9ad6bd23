//! Test harness that starts and kills the nodes of a cell and makes calls to them.

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::Duration;

use actix_rt::Arbiter;
use smol_str::SmolStr;
use syc_cell::Configuration;
use syc_cell::Node;
use syc_cell::NodeSettings;
use syc_cell::Route;
use syc_cell::StateAnswer;
use syc_cell::StoreOutcome;
use syc_cell::Timing;
use syc_cell::WallClock;
use syc_fleet::SharedPlatform;
use syc_fleet::TaskPlan;
use syc_net::IntakeOptions;
use syc_sched::AdvicePolicy;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::QueuePolicy;
use syc_sched::Schedule;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::TaskId;
use syc_sched::WorkerSpec;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use syc_types::Zone;

/// Queue and service that every test uses.
pub const QUEUE: &str = "queue";

/// Bandwidth of a node's link in megabits per second.
const LINK_MBPS: f64 = 1_000.0;

/// How long the state of ended jobs is kept.
const STATUS_MS: u64 = 120_000;

/// A wait for an expected state fails after this time.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// Interval at which waits check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

thread_local! {
    static NODE: RefCell<Option<Rc<Node<SharedPlatform>>>> = const { RefCell::new(None) };
}

/// Nodes of a cell and their simulated platform.
pub struct Cluster {
    pub platform: SharedPlatform,
    nodes: Vec<Option<Arbiter>>,
    /// Wall clock of each node.
    clocks: Vec<WallClock>,
    status_ms: u64,
    timing: Timing,
    files_limit: u64,
    _system: actix_rt::SystemRunner,
}

impl Cluster {
    /// Starts nodes, and registers workers with eight cores each.
    pub fn start(nodes: usize, workers: usize) -> Self {
        // With this timeout, a node that waits for a read that is never answered fails the test.
        let timing = Timing {
            full_read_timeout_ms: 600_000,
            ..Timing::default()
        };
        Self::start_with(nodes, workers, timing)
    }

    /// Starts one node that keeps the state of ended jobs for `status_ms`.
    pub fn start_with_retention(workers: usize, status_ms: u64) -> Self {
        let mut cluster = Self::start(0, workers);
        cluster.status_ms = status_ms;
        cluster.add_node();
        cluster
    }

    /// Starts nodes with this descriptor limit.
    pub fn start_with_files_limit(nodes: usize, workers: usize, files_limit: u64) -> Self {
        let mut cluster = Self::start(0, workers);
        cluster.files_limit = files_limit;
        for _ in 0..nodes {
            cluster.add_node();
        }
        cluster
    }

    /// Starts nodes with the given link bandwidths, without publishing a configuration.
    pub fn start_unconfigured(links_mbps: &[f64], timing: Timing) -> Self {
        let mut cluster = Self::start_with(0, 1, timing);
        cluster.platform = SharedPlatform::new();
        cluster.platform.register(worker(0));
        for link_mbps in links_mbps {
            cluster.add_node_with(0, *link_mbps);
        }
        cluster
    }

    /// Starts nodes and registers workers, with the given intervals and timeouts.
    pub fn start_with(nodes: usize, workers: usize, timing: Timing) -> Self {
        let system = actix_rt::System::new();
        let platform = SharedPlatform::new();
        platform.publish(configuration(1));
        for index in 0..workers {
            platform.register(worker(index));
        }
        let mut cluster = Self {
            platform,
            nodes: Vec::new(),
            clocks: Vec::new(),
            status_ms: STATUS_MS,
            timing,
            files_limit: 0,
            _system: system,
        };
        for _ in 0..nodes {
            cluster.add_node();
        }
        cluster
    }

    /// Starts another node and returns its number.
    pub fn add_node(&mut self) -> usize {
        self.add_node_with_clock(0)
    }

    /// Starts another node with an offset on its wall clock and returns its number.
    pub fn add_node_with_clock(&mut self, offset_ms: i64) -> usize {
        self.add_node_with(offset_ms, LINK_MBPS)
    }

    fn add_node_with(&mut self, offset_ms: i64, link_mbps: f64) -> usize {
        let number = self.nodes.len();
        let clock = WallClock::default();
        clock.set_offset_ms(offset_ms);
        self.clocks.push(clock.clone());
        let platform = self.platform.for_node(&node_name(number));
        let timing = self.timing;
        let status_ms = self.status_ms;
        let files_limit = self.files_limit;
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || {
            let peers = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let settings = NodeSettings {
                timing,
                status_ms,
                link_mbps,
                files_limit,
                wall_clock: clock,
                ..settings(number, &peers)
            };
            let node = Node::start(platform, settings, peers);
            NODE.with(|slot| *slot.borrow_mut() = Some(node));
        });
        self.nodes.push(Some(arbiter));
        number
    }

    /// Sets the offset of a node's wall clock.
    pub fn set_clock(&self, number: usize, offset_ms: i64) {
        self.clocks[number].set_offset_ms(offset_ms);
    }

    /// Runs a function on a node's thread and returns its result.
    pub fn on<T, F, R>(&self, number: usize, call: F) -> T
    where
        T: Send + 'static,
        F: FnOnce(Rc<Node<SharedPlatform>>) -> R + Send + 'static,
        R: Future<Output = T> + 'static,
    {
        let (sender, receiver) = mpsc::channel();
        let arbiter = self.nodes[number].as_ref().expect("the node is up");
        arbiter.spawn_fn(move || {
            let node = NODE.with(|slot| slot.borrow().clone());
            let node = node.expect("the node has started");
            actix_rt::spawn(async move {
                // The receiver is gone if the test has failed.
                let _unheard = sender.send(call(node).await);
            });
        });
        receiver.recv_timeout(WAIT_LIMIT).expect("the node answers")
    }

    /// Stops a node's process for a while, as a suspension of its VM does.
    pub fn freeze(&self, number: usize, time: Duration) {
        let arbiter = self.nodes[number].as_ref().expect("the node is up");
        arbiter.spawn_fn(move || std::thread::sleep(time));
    }

    /// Ends a node abruptly.
    pub fn kill(&mut self, number: usize) {
        let arbiter = self.nodes[number].take().expect("the node is up");
        arbiter.stop();
        arbiter.join().expect("the thread ends");
    }

    /// Returns the numbers of the running nodes.
    pub fn live_nodes(&self) -> Vec<usize> {
        let numbers = 0..self.nodes.len();
        numbers
            .filter(|number| self.nodes[*number].is_some())
            .collect()
    }

    /// Waits until a node is the scheduler and returns its number.
    pub fn scheduler(&self) -> usize {
        self.wait("a scheduler", || {
            self.live_nodes()
                .into_iter()
                .find(|number| self.on(*number, |node| async move { node.is_scheduler() }))
        })
    }

    /// Polls until `poll` returns a value, and fails the test after [`WAIT_LIMIT`].
    pub fn wait<T, F>(&self, what: &str, mut poll: F) -> T
    where
        F: FnMut() -> Option<T>,
    {
        let nodes = self.nodes.len();
        let mut waited = Duration::ZERO;
        loop {
            if let Some(found) = poll() {
                return found;
            }
            assert!(
                waited < WAIT_LIMIT,
                "timed out waiting for {what} with {nodes} nodes"
            );
            std::thread::sleep(POLL_INTERVAL);
            waited += POLL_INTERVAL;
        }
    }

    /// Submits a job at a node and retries until it is stored, as callers do.
    pub fn submit(&self, number: usize, id: u64, steps: Vec<StepSpec>) {
        self.submit_job(number, &job(id, steps));
    }

    /// Submits any kind of job and retries until it is stored.
    pub fn submit_job(&self, number: usize, spec: &JobSpec) {
        self.plan_tasks(spec);
        self.wait("the submit to be stored", || {
            (self.try_submit(number, spec) == StoreOutcome::Stored).then_some(())
        });
    }

    /// Reads a node's wall clock.
    pub fn wall_clock(&self, number: usize) -> TimeOfDay {
        self.clocks[number].read()
    }

    /// Returns the state of a job as reported by a node.
    pub fn state(&self, number: usize, id: u64) -> StateAnswer {
        self.on(number, move |node| async move {
            node.state(JobId(id), None).await
        })
    }

    /// Submits a job at a node without retrying.
    pub fn submit_once(&self, number: usize, id: u64, steps: Vec<StepSpec>) -> StoreOutcome {
        let spec = job(id, steps);
        self.plan_tasks(&spec);
        self.try_submit(number, &spec)
    }

    /// Submits two jobs at a node, the second while the first is still being stored.
    pub fn submit_concurrently(&self, number: usize, ids: [u64; 2]) -> [StoreOutcome; 2] {
        let [first, second] = ids.map(|id| job(id, vec![step(1, 20)]));
        self.plan_tasks(&first);
        self.plan_tasks(&second);
        self.on(number, move |node| async move {
            let other = Rc::clone(&node);
            let first = actix_rt::spawn(async move { node.submit(&first).await });
            actix_rt::time::sleep(POLL_INTERVAL).await;
            let second = other.submit(&second).await;
            [first.await.expect("an outcome"), second]
        })
    }

    fn try_submit(&self, number: usize, spec: &JobSpec) -> StoreOutcome {
        let spec = JobSpec {
            accepted_at_ms: self.clocks[number].read(),
            ..spec.clone()
        };
        self.on(number, move |node| async move { node.submit(&spec).await })
    }

    /// Tells the simulated workers how the tasks of a job behave.
    fn plan_tasks(&self, spec: &JobSpec) {
        self.platform.with_fleet(|fleet| {
            fleet.checker.submitted(spec.clone());
            for (index, step) in (0..).zip(&spec.steps) {
                for task in 0..step.tasks {
                    let task = TaskId {
                        step: StepId {
                            job: spec.id,
                            occurrence: 0,
                            step: index,
                        },
                        index: task,
                    };
                    let plan = TaskPlan {
                        work_ms: step.estimate_ms,
                        failing_runs: 0,
                    };
                    fleet.plan_task(task, plan);
                }
            }
        });
    }

    /// Waits until a node reports a state of a job.
    pub fn wait_for_state(&self, number: usize, id: u64, state: JobState) {
        let what = format!("job {id} in state {state:?} at node {number}");
        self.wait(&what, || {
            let shown = self.on(number, move |node| async move {
                node.state(JobId(id), None).await
            });
            (shown == StateAnswer::Known(state)).then_some(())
        });
    }

    /// Fails if the workers saw a violation of a scheduling rule.
    pub fn assert_no_violations(&self) {
        let faults = self
            .platform
            .with_fleet(|fleet| fleet.checker.violations().to_vec());
        assert_eq!(faults, []);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for arbiter in self.nodes.iter().flatten() {
            arbiter.stop();
        }
    }
}

pub fn node_name(number: usize) -> String {
    format!("node-{number}")
}

pub fn settings(number: usize, peers: &TcpListener) -> NodeSettings {
    NodeSettings {
        name: SmolStr::from(node_name(number)),
        peer_address: peers.local_addr().expect("a bound socket"),
        lease_limit_ms: 10_000,
        stop_limit_ms: 900,
        status_ms: STATUS_MS,
        partitions: 4,
        link_mbps: LINK_MBPS,
        files_limit: 0,
        intake: IntakeOptions::default(),
        zone: SmolStr::default(),
        worker_heartbeat_ms: 1_500,
        maintenance_ms: 300,
        vm_order_pause_ms: 100,
        wall_clock: WallClock::default(),
        timing: Timing::default(),
    }
}

pub fn configuration(version: u64) -> Configuration {
    Configuration {
        version,
        routes: vec![Route {
            host: SmolStr::new_static("host"),
            path_prefix: SmolStr::new_static("/queue/"),
            timeout_ms: 3_000,
            needs_key: false,
            policy: policy(),
        }],
        body_limit_bytes: 1_000_000,
        ..Configuration::default()
    }
}

fn policy() -> QueuePolicy {
    QueuePolicy {
        queue: SmolStr::new_static(QUEUE),
        service: ServiceName::new(QUEUE),
        priority: 0,
        attempts_limit: 3,
        stretch: 2.0,
        objective_ms: 1_000,
        advice: Some(AdvicePolicy {
            decision_ms: 1.0,
            per_worker_ms: 0.1,
            validity_ms: 2_000,
        }),
    }
}

/// Creates the specification of a worker with eight cores.
pub fn worker(index: usize) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(format!("w-{index}")),
        service: ServiceName::new(QUEUE),
        address: SmolStr::new_static("127.0.0.1:1"),
        zone: Zone::new("zone"),
        rack: RackId::new("rack"),
        labels: Vec::new(),
        capacity: cpu(8),
        draining: false,
        vm: None,
    }
}

/// Creates a job of [`QUEUE`].
pub fn job(id: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: JobId(id),
        payload: SmolStr::new_static("payload"),
        steps,
        policy: policy(),
        schedule: Schedule::default(),
        accepted_at_ms: WallClock::default().read(),
        workspace: None,
    }
}

pub fn cpu(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        memory_bytes: cores << 30,
        accelerators: 0,
    }
}

/// Creates a step whose tasks take `work_ms` each.
pub fn step(tasks: u32, work_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        resources: cpu(2),
        estimate_ms: work_ms,
        ..StepSpec::default()
    }
}
