//! Drives a scheduler event by event, with the workers, jobs and answers that a test specifies.

mod builders;

use std::collections::BTreeMap;

pub use builders::cpu;
pub use builders::job;
pub use builders::policy;
pub use builders::progress;
pub use builders::step;
pub use builders::task;
pub use builders::vm;
pub use builders::worker;
use smol_str::SmolStr;
use syc_sched::Action;
use syc_sched::EndReport;
use syc_sched::Event;
use syc_sched::JobId;
use syc_sched::JobProgress;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::LatestRun;
use syc_sched::ListedAfterWriteOff;
use syc_sched::Note;
use syc_sched::Options;
use syc_sched::QueuePolicy;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::RunningReport;
use syc_sched::Schedule;
use syc_sched::Scheduler;
use syc_sched::StartAnswer;
use syc_sched::StartOrder;
use syc_sched::StepId;
use syc_sched::StepSpec;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::VmInfo;
use syc_sched::VmOperation;
use syc_sched::WorkerKey;
use syc_sched::WorkerNote;
use syc_sched::WorkerReport;
use syc_sched::WriteOff;
use syc_types::Millis;
use syc_types::Resources;
use syc_types::TimeOfDay;
use syc_types::VmId;
use syc_types::WorkerId;
use syc_types::WorkspaceName;
use syc_workspace::UNLIMITED;
use syc_workspace::WorkspacePolicy;

/// The service of every worker and job.
pub const SERVICE: &str = "intake";

/// A stop order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    pub worker: WorkerKey,
    pub task: TaskId,
    pub run: Run,
    pub reason: StopReason,
}

/// A lost worker and the runs that were on it.
#[derive(Debug)]
pub struct Lost {
    pub reason: &'static str,
    pub runs: usize,
    pub latest_run: Option<LatestRun>,
}

/// A scheduler, the current time, and the actions requested so far.
#[derive(Debug)]
pub struct Driver {
    pub scheduler: Scheduler,
    pub now: Millis,
    pub workers: Vec<WorkerKey>,
    /// Workers that the scheduler no longer keeps, in order.
    pub detached: Vec<WorkerKey>,
    /// Draining workers of which all runs are recorded.
    pub recorded_drains: Vec<WorkerId>,
    /// Workers that a successor is not told of.
    pub forgotten: Vec<WorkerId>,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<Stop>,
    pub advice_requests: Vec<(StepId, Vec<WorkerKey>)>,
    /// Pace orders that have not been answered yet.
    pub paces: Vec<(WorkerKey, TaskId, Run, u8)>,
    pub vm_orders: Vec<(VmId, VmOperation)>,
    /// When each list of VMs was requested.
    pub lists_asked: Vec<Millis>,
    /// Status changes of workers, in order.
    pub status_changes: Vec<(WorkerId, &'static str)>,
    /// Workers that were lost while running something.
    pub lost: Vec<Lost>,
    /// Runs that no worker held, with what was missing.
    pub missing_runs: Vec<(TaskId, Run, Option<WorkerId>, &'static str)>,
    /// Runs that were taken as over without their end.
    pub write_offs: Vec<WriteOff>,
    /// Runs that were listed after that.
    pub listed_write_offs: Vec<ListedAfterWriteOff>,
    /// Workers that never answered during a takeover, and how long that took.
    pub takeovers: Vec<(Vec<WorkerId>, u64)>,
    /// Progress of each job that the store has.
    pub stored_progress: BTreeMap<JobId, JobProgress>,
    /// Maintenance waves reported to the operators, and whether as completed.
    pub wave_reports: Vec<(u64, bool)>,
    ends: BTreeMap<WorkerKey, u64>,
    restarts: usize,
}

impl Driver {
    /// Creates a scheduler with `count` workers of `cores` cores each, all of which have answered and have accepted
    /// an order.
    pub fn new(count: usize, cores: u64) -> Self {
        let mut driver = Self::with_untried_workers(count, cores);
        let step = StepId {
            job: JobId(0),
            occurrence: 0,
            step: 0,
        };
        for worker in driver.workers.clone() {
            driver.apply(Event::StopAnswered {
                worker,
                task: TaskId { step, index: 0 },
                run: Run(1),
                accepted: true,
            });
        }
        driver
    }

    /// Creates a scheduler with such workers, none of which has been sent an order yet.
    pub fn with_untried_workers(count: usize, cores: u64) -> Self {
        let mut driver = Self {
            scheduler: Scheduler::new(Options::default()),
            now: Millis(1_000),
            workers: Vec::new(),
            detached: Vec::new(),
            recorded_drains: Vec::new(),
            forgotten: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            advice_requests: Vec::new(),
            paces: Vec::new(),
            vm_orders: Vec::new(),
            lists_asked: Vec::new(),
            wave_reports: Vec::new(),
            status_changes: Vec::new(),
            lost: Vec::new(),
            missing_runs: Vec::new(),
            write_offs: Vec::new(),
            listed_write_offs: Vec::new(),
            takeovers: Vec::new(),
            stored_progress: BTreeMap::new(),
            ends: BTreeMap::new(),
            restarts: 0,
        };
        for index in 0..count {
            driver.apply(Event::WorkerListed(worker(index, cores)));
        }
        driver.scheduler.begin_recovery(driver.now);
        for key in driver.workers.clone() {
            driver.report_running(key, &[]);
        }
        driver
    }

    pub fn apply(&mut self, event: Event) {
        let actions = self.scheduler.handle(event, self.now);
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Attach { worker, .. } => self.workers.push(worker),
                Action::Detach { worker } => self.detached.push(worker),
                Action::RecordDrain(id) => self.recorded_drains.push(id),
                Action::ForgetWorker(id) => self.forgotten.push(id),
                Action::Start(order) => self.starts.push(order),
                Action::Stop {
                    worker,
                    task,
                    run,
                    reason,
                } => self.stops.push(Stop {
                    worker,
                    task,
                    run,
                    reason,
                }),
                Action::OrderVm { vm, operation } => self.vm_orders.push((vm, operation)),
                Action::ReportWave { wave, completed } => self.wave_reports.push((wave, completed)),
                Action::ListVms { asked_at } => self.lists_asked.push(asked_at),
                Action::RequestAdvice { step, workers, .. } => {
                    self.advice_requests.push((step, workers));
                }
                Action::Pace {
                    worker,
                    task,
                    run,
                    percent,
                } => self.paces.push((worker, task, run, percent)),
                Action::Note(Note::Worker { worker, note }) => self.record_note(worker, &note),
                Action::Note(Note::RunMissing {
                    task,
                    run,
                    worker,
                    found,
                    ..
                }) => self.missing_runs.push((task, run, worker, found)),
                Action::Note(Note::RunWrittenOff(write_off)) => self.write_offs.push(*write_off),
                Action::Note(Note::ListedAfterWriteOff(listed)) => {
                    self.listed_write_offs.push(*listed);
                }
                Action::Note(Note::Recovered {
                    first_unanswered,
                    took_ms,
                    ..
                }) => self.takeovers.push((first_unanswered, took_ms)),
                _ => {}
            }
        }
    }

    fn record_note(&mut self, worker: WorkerId, note: &WorkerNote) {
        match note {
            WorkerNote::StatusChanged { status, .. } => self.status_changes.push((worker, status)),
            WorkerNote::Lost {
                reason,
                runs,
                latest_run,
                ..
            } => self.lost.push(Lost {
                reason,
                runs: *runs,
                latest_run: *latest_run,
            }),
            _ => {}
        }
    }

    /// Reads all worker registrations up to now.
    pub fn read_workers(&mut self) {
        let asked_at = self.now;
        self.apply(Event::WorkersRead { asked_at });
    }

    /// Answers a request for the list of VMs made now.
    pub fn list_vms(&mut self, vms: Option<Vec<VmInfo>>) {
        let asked_at = self.now;
        self.apply(Event::VmsListed { asked_at, vms });
    }

    pub fn schedule(&mut self) {
        let actions = self.scheduler.schedule(self.now);
        self.take(actions);
    }

    pub fn advance(&mut self, time_ms: u64) {
        self.now = self.now.plus(time_ms);
    }

    pub fn submit(&mut self, id: u64, policy: QueuePolicy, steps: Vec<StepSpec>) {
        self.submit_scheduled(id, policy, steps, Schedule::default());
    }

    pub fn submit_scheduled(
        &mut self,
        id: u64,
        policy: QueuePolicy,
        steps: Vec<StepSpec>,
        schedule: Schedule,
    ) {
        self.submit_accepted_at(id, policy, steps, schedule, TimeOfDay(0));
    }

    pub fn submit_accepted_at(
        &mut self,
        id: u64,
        policy: QueuePolicy,
        steps: Vec<StepSpec>,
        schedule: Schedule,
        accepted_at_ms: TimeOfDay,
    ) {
        let spec = Box::new(JobSpec {
            accepted_at_ms,
            ..job(id, policy, steps, schedule)
        });
        self.apply(Event::JobStored { spec, age_ms: 0 });
    }

    /// Submits a job of a workspace.
    pub fn submit_for(
        &mut self,
        workspace: &str,
        id: u64,
        policy: QueuePolicy,
        steps: Vec<StepSpec>,
    ) {
        let spec = Box::new(JobSpec {
            workspace: Some(WorkspaceName::new(workspace)),
            ..job(id, policy, steps, Schedule::default())
        });
        self.apply(Event::JobStored { spec, age_ms: 0 });
    }

    /// Sets the caps of workspaces, in cores. All have the same weight.
    pub fn set_caps(&mut self, caps: &[(&str, u64)]) {
        let policies = caps.iter().map(|(name, cores)| WorkspacePolicy {
            cap: Resources {
                cpu_millis: cores * 1_000,
                ..UNLIMITED
            },
            ..WorkspacePolicy::unlimited(WorkspaceName::new(*name))
        });
        self.apply(Event::WorkspacesSet(policies.collect()));
    }

    /// Restores a job with the progress that a predecessor stored.
    pub fn restore(
        &mut self,
        id: u64,
        policy: QueuePolicy,
        steps: Vec<StepSpec>,
        progress: Option<&JobProgress>,
    ) {
        let spec = job(id, policy, steps, Schedule::default());
        self.scheduler.restore_job(spec, progress, 10, self.now);
    }

    /// Confirms all starts since the last call and returns them.
    pub fn confirm_starts(&mut self) -> Vec<StartOrder> {
        let starts = std::mem::take(&mut self.starts);
        for start in &starts {
            self.apply(Event::StartAnswered {
                worker: start.worker,
                task: start.task,
                run: start.run,
                answer: StartAnswer::Started,
            });
        }
        starts
    }

    /// Schedules and confirms starts until nothing more starts.
    pub fn start_all(&mut self) -> Vec<StartOrder> {
        let mut started = Vec::new();
        loop {
            self.schedule();
            let confirmed = self.confirm_starts();
            if confirmed.is_empty() {
                return started;
            }
            started.extend(confirmed);
        }
    }

    /// Lets a worker crash and another incarnation of it register.
    pub fn crash(&mut self, worker: WorkerKey) {
        let index = self.workers.iter().position(|key| *key == worker);
        self.advance(11);
        self.apply(Event::RenewalFailed { worker });
        self.advance(3_000);
        self.apply(Event::Replaced { worker });
        self.workers.retain(|key| *key != worker);
        self.restarts += 1;
        let life = self.restarts * 1_000 + index.unwrap_or(0);
        self.apply(Event::WorkerListed(self::worker(life, 8)));
        let back = self.workers[self.workers.len() - 1];
        self.report_running(back, &[]);
        self.record();
    }

    /// Stores all progress and confirms starts until nothing more starts.
    pub fn settle(&mut self) -> Vec<StartOrder> {
        let mut started = self.start_all();
        self.record();
        started.extend(self.start_all());
        self.record();
        started
    }

    pub fn cancel(&mut self, id: u64) {
        self.apply(Event::JobCancelled(JobId(id).into()));
    }

    /// Accepts the order to stop a run.
    pub fn accept_stop(&mut self, start: &StartOrder) {
        self.apply(Event::StopAnswered {
            worker: start.worker,
            task: start.task,
            run: start.run,
            accepted: true,
        });
    }

    /// Sends lease renewals to the workers that may have one, without answering them.
    pub fn renew_leases(&mut self) {
        for worker in self.workers.clone() {
            if self.scheduler.may_renew(worker) {
                self.apply(Event::Renewing { worker });
            }
        }
    }

    /// Lets the leases of workers expire while they are silent. The other workers keep theirs.
    pub fn expire_leases(&mut self, silent: &[WorkerKey]) {
        self.renew_leases();
        for worker in silent {
            self.apply(Event::RenewalFailed { worker: *worker });
        }
        self.advance(Options::default().lease_bound_ms + 1);
        for worker in self.workers.clone() {
            if !silent.contains(&worker) {
                self.apply(Event::Renewing { worker });
            }
        }
        self.apply(Event::Ticked);
    }

    /// Answers a renewal with running runs that have no checkpoint.
    pub fn report_running(&mut self, worker: WorkerKey, running: &[(TaskId, Run, u8)]) {
        self.report(worker, running, &[]);
    }

    /// Answers a renewal with one ended run and the runs that are still running.
    pub fn report_end(&mut self, start: &StartOrder, end: RunEnd, running: &[(TaskId, Run, u8)]) {
        self.report(start.worker, running, &[(start.task, start.run, end)]);
    }

    /// Answers a renewal with running runs and their loads.
    pub fn report_loads(&mut self, worker: WorkerKey, running: &[(&StartOrder, u64)]) {
        let mut report = WorkerReport::default();
        for (start, load) in running {
            report.running.push(RunningReport {
                task: start.task,
                run: start.run,
                checkpoint: SmolStr::default(),
                percent: 50,
                load: Some(*load),
            });
        }
        self.answer(worker, report);
    }

    /// Answers a renewal sent now, 1 ms later.
    fn answer(&mut self, worker: WorkerKey, report: WorkerReport) {
        let sent_at = self.now;
        self.advance(1);
        self.apply(Event::Renewed {
            worker,
            sent_at,
            report,
        });
    }

    /// Answers the pending pace orders and returns the pace of the last one.
    pub fn answer_paces(&mut self, accepted: bool) -> Option<u8> {
        let paces = std::mem::take(&mut self.paces);
        for (worker, task, run, percent) in &paces {
            self.apply(Event::PaceAnswered {
                worker: *worker,
                task: *task,
                run: *run,
                percent: *percent,
                accepted,
            });
        }
        paces.last().map(|(_, _, _, percent)| *percent)
    }

    pub fn report(
        &mut self,
        worker: WorkerKey,
        running: &[(TaskId, Run, u8)],
        ended: &[(TaskId, Run, RunEnd)],
    ) {
        let mut report = WorkerReport::default();
        for (task, run, percent) in running {
            report.running.push(RunningReport {
                task: *task,
                run: *run,
                checkpoint: SmolStr::default(),
                percent: *percent,
                load: None,
            });
        }
        for (task, run, end) in ended {
            let number = self.ends.entry(worker).or_default();
            *number += 1;
            report.ended.push(EndReport {
                number: *number,
                task: *task,
                run: *run,
                end: *end,
                checkpoint: SmolStr::default(),
            });
        }
        self.answer(worker, report);
    }

    /// Answers a renewal with an empty report that announces further ends.
    pub fn report_some_ends(&mut self, worker: WorkerKey) {
        let report = WorkerReport {
            has_more_ends: true,
            ..WorkerReport::default()
        };
        self.answer(worker, report);
    }

    /// Stores all progress.
    pub fn record(&mut self) {
        let records = self
            .scheduler
            .take_records(usize::MAX, self.now, TimeOfDay(1));
        let mut jobs = Vec::new();
        for (id, change, progress) in records {
            self.stored_progress.insert(id, progress);
            jobs.push((id, change));
        }
        self.apply(Event::Recorded { jobs });
        for (progress, change) in self.scheduler.wave_records() {
            let wave = progress.number;
            self.apply(Event::WaveRecorded { wave, change });
        }
    }

    /// Lets the time pass after which no call without an answer is carried out any more.
    pub fn pass_late_calls(&mut self) {
        self.advance(Options::default().late_call_ms);
        self.apply(Event::Ticked);
    }

    /// Gives up waiting for the answer to a start order.
    pub fn start_unanswered(&mut self, start: &StartOrder) {
        self.apply(Event::StartAnswered {
            worker: start.worker,
            task: start.task,
            run: start.run,
            answer: StartAnswer::InDoubt,
        });
    }

    pub fn state(&self, id: u64) -> Option<JobState> {
        self.scheduler.state_of(JobId(id))
    }
}
