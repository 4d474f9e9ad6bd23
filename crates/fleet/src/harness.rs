//! The decision core, given what was read of others: whatever a reader lets through, it has to bear.

use syc_sched::Action;
use syc_sched::Event;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::Options;
use syc_sched::Scheduler;
use syc_sched::VmInfo;
use syc_sched::Wave;
use syc_sched::WorkerKey;
use syc_sched::WorkerReport;
use syc_sched::WorkerSpec;
use syc_types::Millis;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::ServiceName;
use syc_types::TimeOfDay;
use syc_types::WorkerId;
use syc_types::Zone;

/// Times after the first at which time is all that passes.
const TICKS_MS: [u64; 5] = [100, 1_000, 10_000, 100_000, 10_000_000];

/// A scheduler with one sound worker.
#[derive(Debug)]
pub struct SchedulerHarness {
    scheduler: Scheduler,
    worker: Option<WorkerKey>,
    now: Millis,
}

impl SchedulerHarness {
    /// Makes one whose takeover has begun, with a job of a predecessor where there is one.
    #[must_use]
    pub fn start(inherited: Option<(JobSpec, Option<JobProgress>)>) -> Self {
        let mut core = Self {
            scheduler: Scheduler::new(Options::default()),
            worker: None,
            now: Millis(1_000_000),
        };
        if let Some((spec, progress)) = inherited {
            let progress = progress.as_ref();
            core.scheduler.restore_job(spec, progress, 0, core.now);
        }
        core.handle(Event::WorkerListed(valid_worker()));
        core.scheduler.begin_recovery(core.now);
        core.report(WorkerReport::default());
        core
    }

    /// Takes an event, and remembers the worker that it is told of first.
    pub fn handle(&mut self, event: Event) {
        let actions = self.scheduler.handle(event, self.now);
        for action in actions {
            if let Action::Attach { worker, .. } = action {
                self.worker.get_or_insert(worker);
            }
        }
    }

    /// Takes a job.
    pub fn add_job(&mut self, spec: JobSpec) {
        let spec = Box::new(spec);
        self.handle(Event::JobStored { spec, age_ms: 0 });
    }

    /// Takes what the sound worker lists.
    pub fn report(&mut self, report: WorkerReport) {
        let Some(worker) = self.worker else {
            return;
        };
        let sent_at = self.now;
        self.handle(Event::Renewing { worker });
        self.now = self.now.plus(1);
        self.handle(Event::Renewed {
            worker,
            sent_at,
            report,
        });
    }

    /// Takes the list of VMs.
    pub fn list_vms(&mut self, vms: Vec<VmInfo>) {
        let asked_at = self.now;
        let vms = Some(vms);
        self.handle(Event::VmsListed { asked_at, vms });
    }

    /// Takes a wave of upkeep.
    pub fn publish_wave(&mut self, wave: Wave) {
        self.handle(Event::WavePublished { wave, age_ms: 0 });
    }

    /// Lets it decide, and lets time pass.
    pub fn run_ticks(&mut self) {
        let began = self.now;
        for after_ms in TICKS_MS {
            let _actions = self.scheduler.schedule(self.now);
            let _counts = self.scheduler.counts(self.now);
            let _records = self.scheduler.take_records(1_000, self.now, TimeOfDay(0));
            self.now = began.plus(after_ms);
            self.handle(Event::Ticked);
        }
    }
}

/// A worker of eight cores.
fn valid_worker() -> WorkerSpec {
    WorkerSpec {
        id: WorkerId::new("sound"),
        service: ServiceName::new("s"),
        address: "10.0.0.1:1".into(),
        zone: Zone::new("z"),
        rack: RackId::new("r"),
        labels: Vec::new(),
        capacity: Resources {
            cpu_millis: 8_000,
            memory_bytes: 8 << 30,
            accelerators: 1,
        },
        draining: false,
        vm: None,
    }
}
