//! Test harness that feeds parsed input to the scheduler, which must handle everything that the parsers accept.

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

/// Times of the ticks in [`SchedulerHarness::run_ticks`], relative to its start.
const TICKS_MS: [u64; 5] = [100, 1_000, 10_000, 100_000, 10_000_000];

/// A scheduler with one valid worker.
#[derive(Debug)]
pub struct SchedulerHarness {
    scheduler: Scheduler,
    worker: Option<WorkerKey>,
    now: Millis,
}

impl SchedulerHarness {
    /// Creates a scheduler that has begun its takeover, with an optional job inherited from its predecessor.
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

    /// Passes an event to the scheduler and keeps the key of the first worker that the scheduler attaches.
    pub fn handle(&mut self, event: Event) {
        let actions = self.scheduler.handle(event, self.now);
        for action in actions {
            if let Action::Attach { worker, .. } = action {
                self.worker.get_or_insert(worker);
            }
        }
    }

    /// Adds a stored job.
    pub fn add_job(&mut self, spec: JobSpec) {
        let spec = Box::new(spec);
        self.handle(Event::JobStored { spec, age_ms: 0 });
    }

    /// Delivers a report of the valid worker.
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

    /// Delivers a list of VMs.
    pub fn list_vms(&mut self, vms: Vec<VmInfo>) {
        let asked_at = self.now;
        let vms = Some(vms);
        self.handle(Event::VmsListed { asked_at, vms });
    }

    /// Delivers a published maintenance wave.
    pub fn publish_wave(&mut self, wave: Wave) {
        self.handle(Event::WavePublished { wave, age_ms: 0 });
    }

    /// Runs the scheduler at each tick, without any events in between.
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

/// Returns a worker with eight cores.
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
