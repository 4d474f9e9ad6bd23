//! Starts, stops and kills the nodes of a cell, and talks to each.

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
use syc_fleet::Plan;
use syc_fleet::SharedPlatform;
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

/// The queue and service of every test.
pub const QUEUE: &str = "queue";

/// What the link of a node carries, in megabits a second.
const LINK_MBPS: f64 = 1_000.0;

/// Time for which what has ended is kept.
const STATUS_MS: u64 = 120_000;

/// Something that must come to be has failed to when this is over.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// Waits look this often.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

thread_local! {
    static NODE: RefCell<Option<Rc<Node<SharedPlatform>>>> = const { RefCell::new(None) };
}

/// The nodes of a cell.
pub struct Cluster {
    pub platform: SharedPlatform,
    nodes: Vec<Option<Arbiter>>,
    /// Where each node reads the time of day.
    clocks: Vec<WallClock>,
    status_ms: u64,
    timing: Timing,
    _system: actix_rt::SystemRunner,
}

impl Cluster {
    /// Starts so many nodes over so many workers of eight cores.
    pub fn start(nodes: usize, workers: usize) -> Self {
        // A read that is never answered must not be waited for.
        let timing = Timing {
            full_read_timeout_ms: 600_000,
            ..Timing::default()
        };
        Self::start_with(nodes, workers, timing)
    }

    /// Starts one node that keeps what has ended for so long.
    pub fn start_with_retention(workers: usize, status_ms: u64) -> Self {
        let mut cluster = Self::start(0, workers);
        cluster.status_ms = status_ms;
        cluster.add_node();
        cluster
    }

    /// Starts nodes with links of so many megabits a second, without a configuration.
    pub fn start_unconfigured(links_mbps: &[f64], timing: Timing) -> Self {
        let mut cluster = Self::start_with(0, 1, timing);
        cluster.platform = SharedPlatform::new();
        cluster.platform.register(worker(0));
        for link_mbps in links_mbps {
            cluster.add_node_with(0, *link_mbps);
        }
        cluster
    }

    /// The same with other times.
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
            _system: system,
        };
        for _ in 0..nodes {
            cluster.add_node();
        }
        cluster
    }

    /// Starts one more node and returns its number.
    pub fn add_node(&mut self) -> usize {
        self.add_node_with_clock(0)
    }

    /// The same with a clock that is off by so much.
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
        let arbiter = Arbiter::new();
        arbiter.spawn_fn(move || {
            let peers = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let settings = NodeSettings {
                timing,
                status_ms,
                link_mbps,
                wall_clock: clock,
                ..settings(number, &peers)
            };
            let node = Node::start(platform, settings, peers);
            NODE.with(|slot| *slot.borrow_mut() = Some(node));
        });
        self.nodes.push(Some(arbiter));
        number
    }

    /// Sets by how much the clock of a node is off.
    pub fn set_clock(&self, number: usize, offset_ms: i64) {
        self.clocks[number].set_offset_ms(offset_ms);
    }

    /// Runs something on the thread of a node and returns what it gave.
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
                // Nobody waits any more where the test has failed.
                let _unheard = sender.send(call(node).await);
            });
        });
        receiver.recv_timeout(WAIT_LIMIT).expect("the node answers")
    }

    /// Ends a node without warning.
    pub fn kill(&mut self, number: usize) {
        let arbiter = self.nodes[number].take().expect("the node is up");
        arbiter.stop();
        arbiter.join().expect("the thread ends");
    }

    /// Returns the numbers of the nodes that are up.
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

    /// Waits until something is there.
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
                "{what} did not come to be with {nodes} nodes"
            );
            std::thread::sleep(POLL_INTERVAL);
            waited += POLL_INTERVAL;
        }
    }

    /// Submits a job at a node, again and again until it is stored, as a caller does.
    pub fn submit(&self, number: usize, id: u64, steps: Vec<StepSpec>) {
        self.submit_job(number, &job(id, steps));
    }

    /// The same with a job of any kind.
    pub fn submit_job(&self, number: usize, spec: &JobSpec) {
        self.plan_tasks(spec);
        self.wait("the submit to be stored", || {
            (self.try_submit(number, spec) == StoreOutcome::Stored).then_some(())
        });
    }

    /// Returns the time of day of a node.
    pub fn wall_clock(&self, number: usize) -> TimeOfDay {
        self.clocks[number].read()
    }

    /// Returns the state of a job as a node shows it.
    pub fn state(&self, number: usize, id: u64) -> StateAnswer {
        self.on(
            number,
            move |node| async move { node.state(JobId(id)).await },
        )
    }

    /// Submits a job at a node, once.
    pub fn submit_once(&self, number: usize, id: u64, steps: Vec<StepSpec>) -> StoreOutcome {
        let spec = job(id, steps);
        self.plan_tasks(&spec);
        self.try_submit(number, &spec)
    }

    /// Submits two jobs at a node, the second while the first is under way.
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

    /// Tells the workers how the tasks of a job go.
    fn plan_tasks(&self, spec: &JobSpec) {
        self.platform.with_fleet(|fleet| {
            fleet.judge.submitted(spec.clone());
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
                    let plan = Plan {
                        work_ms: step.estimate_ms,
                        failing_runs: 0,
                    };
                    fleet.plan(task, plan);
                }
            }
        });
    }

    /// Waits until a node shows a state of a job.
    pub fn wait_for_state(&self, number: usize, id: u64, state: JobState) {
        let what = format!("job {id} in state {state:?} at node {number}");
        self.wait(&what, || {
            let shown = self.on(
                number,
                move |node| async move { node.state(JobId(id)).await },
            );
            (shown == StateAnswer::Known(state)).then_some(())
        });
    }

    /// Fails if any rule was broken on the workers.
    pub fn assert_no_violations(&self) {
        let faults = self
            .platform
            .with_fleet(|fleet| fleet.judge.faults().to_vec());
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
        worker_heartbeat_ms: 1_500,
        upkeep_ms: 300,
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
            policy: policy(),
        }],
        services: Vec::new(),
        standby: Vec::new(),
        body_limit_bytes: 1_000_000,
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

/// A worker of eight cores.
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

/// A job of the queue.
pub fn job(id: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: JobId(id),
        payload: SmolStr::new_static("payload"),
        steps,
        policy: policy(),
        schedule: Schedule::default(),
        accepted_at_ms: WallClock::default().read(),
    }
}

pub fn cpu(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        memory_bytes: cores << 30,
        accelerators: 0,
    }
}

/// A step of tasks that take so long.
pub fn step(tasks: u32, work_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        resources: cpu(2),
        estimate_ms: work_ms,
        ..StepSpec::default()
    }
}
