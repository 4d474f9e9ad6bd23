//! The two users' deployments: zones, endpoints, workers and workloads.

use syc_types::Class;
use syc_types::JobKind;
use syc_types::JobSpec;
use syc_types::Resources;
use syc_types::TeamId;

const GIB: u64 = 1024 * 1024 * 1024;

/// One user's deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// The user's name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: Vec<&'static str>,
    /// The service that its callers ask.
    pub service: &'static str,
    /// Instances of the service.
    pub endpoints: usize,
    /// Slots of each instance.
    pub slots: u32,
    /// Its workers.
    pub workers: usize,
    /// Workers of a rack.
    pub rack_workers: usize,
    /// What each worker has.
    pub worker_capacity: Resources,
    /// The texts of the documents that it publishes besides its inventory.
    pub documents: &'static [&'static str],
    /// Its workloads.
    pub workloads: Vec<Workload>,
}

/// A workload and how often it arrives.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Its name.
    pub name: &'static str,
    /// Arrivals per second.
    pub per_second: u32,
    /// What arrives.
    pub work: Work,
}

/// What a workload consists of.
#[derive(Debug, Clone)]
pub enum Work {
    /// Requests to the service.
    Request {
        /// How urgent they are.
        class: Class,
        /// Whether they may run more than once.
        idempotent: bool,
        /// Time that an endpoint works on one.
        work_ms: u64,
    },
    /// Jobs.
    Job(JobSpec),
}

fn job(spec: JobSpec) -> Work {
    Work::Job(spec)
}

/// Derwent Cell Recovery Co.
pub fn derwent() -> Deployment {
    Deployment {
        name: "Derwent",
        zones: vec!["derwent-a", "derwent-b", "derwent-c"],
        service: "intake",
        endpoints: 50,
        slots: 8,
        workers: 50,
        rack_workers: 8,
        worker_capacity: Resources {
            cpu_millis: 32_000,
            memory_bytes: 128 * GIB,
            accelerators: 0,
        },
        documents: &[
            include_str!("../../../samples/derwent/policy.json"),
            include_str!("../../../samples/derwent/team-counters.json"),
            include_str!("../../../samples/derwent/team-freight.json"),
        ],
        workloads: vec![
            Workload {
                name: "acceptance checks",
                per_second: 150,
                work: Work::Request {
                    class: Class::Urgent,
                    idempotent: true,
                    work_ms: 20,
                },
            },
            Workload {
                name: "consignment batches",
                per_second: 10,
                work: job(JobSpec {
                    team: TeamId::new("freight"),
                    name: "consignment".into(),
                    kind: JobKind::Batch,
                    class: Class::Patient,
                    resources: Resources {
                        cpu_millis: 4_000,
                        memory_bytes: 8 * GIB,
                        accelerators: 0,
                    },
                    run_time_ms: 300,
                    idempotent: false,
                    ..JobSpec::default()
                }),
            },
            Workload {
                name: "label lookups",
                per_second: 200,
                work: Work::Request {
                    class: Class::Normal,
                    idempotent: true,
                    work_ms: 5,
                },
            },
        ],
    }
}

/// Forages Laurentides Archives Inc.
pub fn forages() -> Deployment {
    Deployment {
        name: "Forages",
        zones: vec!["forages-a", "forages-b", "forages-c", "forages-d"],
        service: "records",
        endpoints: 50,
        slots: 8,
        workers: 50,
        rack_workers: 6,
        worker_capacity: Resources {
            cpu_millis: 64_000,
            memory_bytes: 128 * GIB,
            accelerators: 0,
        },
        documents: &[
            include_str!("../../../samples/forages/policy.json"),
            include_str!("../../../samples/forages/team-audit.json"),
            include_str!("../../../samples/forages/team-drilling.json"),
        ],
        workloads: vec![
            Workload {
                name: "reconstructions",
                per_second: 3,
                work: job(JobSpec {
                    team: TeamId::new("drilling"),
                    name: "temperature-log".into(),
                    kind: JobKind::Gang,
                    class: Class::Patient,
                    tasks: 4,
                    resources: Resources {
                        cpu_millis: 16_000,
                        memory_bytes: 24 * GIB,
                        accelerators: 0,
                    },
                    run_time_ms: 800,
                    ..JobSpec::default()
                }),
            },
            Workload {
                name: "certificate bundles",
                per_second: 10,
                work: job(JobSpec {
                    team: TeamId::new("audit"),
                    name: "casing-certificates".into(),
                    kind: JobKind::Batch,
                    class: Class::Patient,
                    resources: Resources {
                        cpu_millis: 2_000,
                        memory_bytes: 4 * GIB,
                        accelerators: 0,
                    },
                    run_time_ms: 200,
                    ..JobSpec::default()
                }),
            },
            Workload {
                name: "well-status lookups",
                per_second: 200,
                work: Work::Request {
                    class: Class::Urgent,
                    idempotent: false,
                    work_ms: 10,
                },
            },
        ],
    }
}
