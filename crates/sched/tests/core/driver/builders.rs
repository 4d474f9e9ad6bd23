//! Specifications of jobs and workers, as most tests need them.

use smol_str::SmolStr;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
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
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::Zone;

use super::SERVICE;

pub fn job(id: u64, policy: QueuePolicy, steps: Vec<StepSpec>, schedule: Schedule) -> JobSpec {
    JobSpec {
        id: JobId(id),
        payload: SmolStr::new_static("payload"),
        steps,
        policy,
        schedule,
        accepted_at_ms: TimeOfDay(0),
        workspace: None,
    }
}

pub fn worker(index: usize, cores: u64) -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new(format!("w-{index}")),
        service: ServiceName::new(SERVICE),
        address: SmolStr::new_static("10.0.0.1:1"),
        zone: Zone::new("zone"),
        rack: RackId::new(format!("r-{}", index / 4)),
        labels: Vec::new(),
        capacity: cpu(cores),
        draining: false,
        vm: Some(vm(index)),
    }
}

pub fn vm(index: usize) -> VmId {
    VmId::new(format!("vm-{index}"))
}

pub fn cpu(cores: u64) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        memory_bytes: cores << 30,
        accelerators: 0,
    }
}

pub fn policy(priority: u32) -> QueuePolicy {
    QueuePolicy {
        queue: SmolStr::new_static("queue"),
        service: ServiceName::new(SERVICE),
        priority,
        attempts_limit: 3,
        stretch: 2.0,
        objective_ms: 1_000,
        advice: None,
    }
}

pub fn step(tasks: u32, cores: u64) -> StepSpec {
    StepSpec {
        tasks,
        resources: cpu(cores),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// Returns a task of the only step of job 1.
pub fn task(index: u32) -> TaskId {
    let step = StepId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
    };
    TaskId { step, index }
}

/// Reads the progress that a predecessor stored.
pub fn progress(text: &str) -> JobProgress {
    serde_json::from_str(text).expect("valid progress record")
}
