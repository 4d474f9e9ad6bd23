//! Log events of a node, one for each decision and each change of observed state.

mod elections;
mod workers;
mod write_offs;

pub(crate) use elections::Election;
pub(crate) use elections::LoadedState;
pub(crate) use elections::ReachComparison;
pub(crate) use elections::claim_lost;
pub(crate) use elections::claim_won;
pub(crate) use elections::holder_changed;
pub(crate) use elections::reach_compared;
pub(crate) use elections::role_ended;
pub(crate) use elections::state_loaded;
pub(crate) use elections::state_read_ahead;
pub(crate) use elections::takeover_retries;
use syc_obs::Event;
use syc_obs::Line;
use syc_obs::catalogue;
use syc_sched::ConfigurationAge;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_sched::JobState;
use syc_sched::Note;
use syc_sched::RateUseChange;
use syc_sched::Run;
use syc_sched::StartOrder;
use syc_sched::StepId;
use syc_sched::StopReason;
use syc_sched::TaskId;
use syc_sched::VmNote;
use syc_sched::VmOperation;
use syc_sched::VmOrderAnswer;
use syc_types::WorkerId;
use syc_types::WorkspaceName;
use syc_workspace::WorkspacePolicy;
pub(crate) use workers::LifeOver;
pub(crate) use workers::worker_answered_first;
pub(crate) use workers::worker_life_over;
pub(crate) use write_offs::run_written_off;

use crate::Configuration;
use crate::NodeSettings;
use crate::follow::Way;
use crate::leader::carriers::CarrierLoad;
use crate::ports::AdviceError;
use crate::ports::ListVmsError;
use crate::ports::OrderError;
use crate::ports::VmCommand;
use crate::ports::VmOrderError;

pub(crate) fn started(settings: &NodeSettings, incarnation: u64) {
    Line::new(catalogue::NODE_STARTED)
        .display("peer_address", settings.peer_address)
        .number("incarnation", incarnation)
        .number("lease_ms", settings.lease_ms())
        .emit();
}

pub(crate) fn stopping(leading: bool) {
    Line::new(catalogue::NODE_STOPPING)
        .flag("leading", leading)
        .emit();
}

pub(crate) fn stopped() {
    Line::new(catalogue::NODE_STOPPED).emit();
}

pub(crate) fn peer_listener_failed(error: &std::io::Error) {
    Line::new(catalogue::DEPENDENCY_LOST)
        .text("dependency", "peer_listener")
        .display("reason", error)
        .emit();
}

pub(crate) fn store_health(answers: bool, call: &str, result: &str, silent_ms: u64) {
    dependency(answers)
        .text("dependency", "store")
        .text("call", call)
        .text("result", result)
        .number("silent_ms", silent_ms)
        .emit();
}

pub(crate) fn scheduler_health(answers: bool, token: u64, silent_ms: u64) {
    dependency(answers)
        .text("dependency", "scheduler")
        .number("token", token)
        .number("silent_ms", silent_ms)
        .emit();
}

fn dependency(answers: bool) -> Line {
    Line::new(if answers {
        catalogue::DEPENDENCY_REGAINED
    } else {
        catalogue::DEPENDENCY_LOST
    })
}

pub(crate) fn unreadable(source: &str, key: &str, reason: &str) {
    Line::new(catalogue::STORE_RECORD_UNREADABLE)
        .text("source", source)
        .text("key", key)
        .text("reason", reason)
        .emit();
}

pub(crate) fn configuration(
    seen: &Configuration,
    in_force: u64,
    applied: bool,
    way: Way,
    behind_ms: u64,
) {
    Line::new(catalogue::CONFIGURATION_SEEN)
        .number("version", seen.version)
        .number("before", in_force)
        .number("routes", seen.routes.len())
        .flag("applied", applied)
        .text("way", way.as_str())
        .number("behind_ms", behind_ms)
        .emit();
}

pub(crate) fn configuration_unconfirmed(age: &ConfigurationAge, informed: bool, store: bool) {
    Line::new(catalogue::CONFIGURATION_UNCONFIRMED)
        .number("version", age.version)
        .number("newest_heard", age.newest_heard)
        .number("behind_ms", age.behind_ms)
        .number("unconfirmed_ms", age.unconfirmed_ms)
        .flag("informed", informed)
        .flag("store_answers", store)
        .emit();
}

pub(crate) fn configuration_confirmed(age: &ConfigurationAge) {
    Line::new(catalogue::CONFIGURATION_CONFIRMED)
        .number("version", age.version)
        .emit();
}

fn workspace_changed(policy: &WorkspacePolicy) {
    Line::new(catalogue::WORKSPACE_CHANGED)
        .text("workspace", policy.name.as_str())
        .display("weight", policy.weight)
        .display("rate_per_s", policy.rate_per_s)
        .display("burst_jobs", policy.burst_jobs)
        .number("cap_cpu_millis", policy.cap.cpu_millis)
        .number("cap_memory_bytes", policy.cap.memory_bytes)
        .number("cap_accelerators", u64::from(policy.cap.accelerators))
        .emit();
}

fn rate_use_changed(change: &RateUseChange) {
    Line::new(catalogue::WORKSPACE_RATE_USE)
        .text("workspace", change.workspace.as_str())
        .flag("beyond", change.is_beyond)
        .display("rate_per_s", change.rate_per_s)
        .display("burst_jobs", change.burst_jobs)
        .emit();
}

pub(crate) fn job_id_taken(spec: &JobSpec) {
    let workspace = spec.workspace.as_ref().map_or("", WorkspaceName::as_str);
    Line::new(catalogue::JOB_ID_TAKEN)
        .display("job", spec.id)
        .text("workspace", workspace)
        .text("queue", &spec.policy.queue)
        .emit();
}

pub(crate) fn progress_moved(from: u32, to: u32, in_doubt: bool) {
    Line::new(catalogue::PROGRESS_MOVED)
        .number("from", from)
        .number("to", to)
        .flag("in_doubt", in_doubt)
        .emit();
}

pub(crate) fn job_seen(spec: &JobSpec, age_ms: u64) {
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    Line::new(catalogue::JOB_SEEN)
        .display("job", spec.id)
        .text("queue", &spec.policy.queue)
        .number("steps", spec.steps.len())
        .number("tasks", tasks)
        .number("age_ms", age_ms)
        .emit();
}

pub(crate) fn job_shown(id: JobId, state: JobState, written_ms: u64) {
    Line::new(catalogue::JOB_SHOWN)
        .display("job", id)
        .text("state", state_name(state))
        .number("written_ms", written_ms)
        .emit();
}

pub(crate) fn run_ordered(order: &StartOrder, worker: &WorkerId, token: u64) {
    Line::new(catalogue::RUN_ORDERED)
        .display("job", order.task.step.job)
        .display("task", order.task)
        .number("run", order.run.0)
        .text("worker", worker.as_str())
        .number("retries", order.retries)
        .number("ready_ms", order.ready_ms)
        .number("token", token)
        .flag("resumes", !order.checkpoint.is_empty())
        .emit();
}

/// Order that was refused or got no answer, and the state of its worker's connections.
#[derive(Debug)]
pub(crate) struct FailedOrder<'a> {
    pub(crate) task: TaskId,
    pub(crate) run: Run,
    pub(crate) worker: &'a WorkerId,
    pub(crate) error: &'a OrderError,
    /// Unanswered orders to this worker, including this one.
    pub(crate) in_flight: usize,
    /// Connections opened to this worker so far.
    pub(crate) connections_opened: u64,
}

pub(crate) fn start_failed(order: &FailedOrder<'_>) {
    failed_order(catalogue::START_FAILED, order).emit();
}

pub(crate) fn stop_failed(order: &FailedOrder<'_>) {
    failed_order(catalogue::STOP_FAILED, order).emit();
}

pub(crate) fn pace_failed(order: &FailedOrder<'_>, percent: u8) {
    failed_order(catalogue::PACE_FAILED, order)
        .number("percent", percent)
        .emit();
}

fn failed_order(event: Event, order: &FailedOrder<'_>) -> Line {
    Line::new(event)
        .display("job", order.task.step.job)
        .display("task", order.task)
        .number("run", order.run.0)
        .text("worker", order.worker.as_str())
        .display("reason", order.error)
        .number("under_way", order.in_flight)
        .number("connections_opened", order.connections_opened)
}

pub(crate) fn stop_ordered(task: TaskId, run: Run, worker: &WorkerId, reason: StopReason) {
    Line::new(catalogue::STOP_ORDERED)
        .display("job", task.step.job)
        .display("task", task)
        .number("run", run.0)
        .text("worker", worker.as_str())
        .text("reason", reason.as_str())
        .emit();
}

pub(crate) fn advised(
    step: StepId,
    asked: usize,
    allowed: usize,
    took_ms: u64,
    expected_ms: u64,
    error: Option<&AdviceError>,
) {
    let line = Line::new(catalogue::ADVICE_ANSWERED)
        .display("job", step.job)
        .display("step", step)
        .number("asked", asked)
        .number("allowed", allowed)
        .number("took_ms", took_ms)
        .number("expected_ms", expected_ms);
    match error {
        Some(error) => line.text("error", &error.0).emit(),
        None => line.emit(),
    }
}

pub(crate) fn advice_failed(step: StepId, error: &AdviceError) {
    Line::new(catalogue::ADVICE_ANSWERED)
        .display("job", step.job)
        .display("step", step)
        .text("error", &error.0)
        .emit();
}

pub(crate) fn list_vms_failed(error: &ListVmsError) {
    Line::new(catalogue::VMS_UNLISTED)
        .display("reason", error)
        .emit();
}

pub(crate) fn vm_ordered(command: &VmCommand, answer: VmOrderAnswer, error: Option<&VmOrderError>) {
    let line = Line::new(catalogue::VM_ORDERED)
        .text("vm", command.vm.as_str())
        .text("duty", command.operation.as_str())
        .number("token", command.token)
        .text("answer", answer.as_str());
    let line = match &command.operation {
        VmOperation::Maintenance { wave } => line.number("wave", *wave),
        VmOperation::Move { pool } => line.text("pool", pool.as_str()),
    };
    match error {
        Some(error) => line.display("reason", error).emit(),
        None => line.emit(),
    }
}

pub(crate) fn wave_status_published(wave: u64, completed: bool) {
    Line::new(catalogue::WAVE_TOLD)
        .number("wave", wave)
        .flag("completed", completed)
        .emit();
}

pub(crate) fn worker_listed(worker: &WorkerId, change: &'static str) {
    Line::new(catalogue::WORKER_LISTED)
        .text("worker", worker.as_str())
        .text("change", change)
        .emit();
}

pub(crate) fn relaying_changed(
    relaying: bool,
    workers: usize,
    files_limit: u64,
    load: &CarrierLoad,
) {
    Line::new(catalogue::RELAYING_CHANGED)
        .flag("relaying", relaying)
        .number("workers", workers)
        .number("files_limit", files_limit)
        .number("carriers", load.carriers)
        .number("relayed_workers", load.workers)
        .emit();
}

pub(crate) fn carrier_changed(carrier: &str, usable: bool) {
    Line::new(catalogue::CARRIER_CHANGED)
        .text("carrier", carrier)
        .flag("usable", usable)
        .emit();
}

/// Logs a note of the scheduler.
pub(crate) fn note(note: &Note) {
    match note {
        Note::RunEnded {
            task,
            run,
            worker,
            end,
            failures,
            held_ms,
        } => {
            let line = Line::new(catalogue::RUN_ENDED)
                .display("job", task.step.job)
                .display("task", task)
                .number("run", run.0)
                .text("worker", worker.as_str())
                .text("end", end)
                .number("failures", *failures);
            match held_ms {
                Some(held_ms) => line.number("held_ms", *held_ms).emit(),
                None => line.emit(),
            }
        }
        Note::RunMissing {
            task,
            run,
            worker,
            found,
            missing_ms,
        } => run_missing(*task, *run, worker.as_ref(), found, *missing_ms),
        // The scheduler role adds the fencing token, the age of the clock reading and the last lease.
        Note::RunWrittenOff(write_off) => run_written_off(write_off, None, None, 0),
        Note::ListedAfterWriteOff(listed) => write_offs::listed_after_write_off(listed),
        Note::WorkspaceChanged(policy) => workspace_changed(policy),
        Note::RateUseChanged(change) => rate_use_changed(change),
        Note::UsageWrong => Line::new(catalogue::USAGE_WRONG).emit(),
        Note::EndHeld {
            task,
            later_run,
            is_done,
        } => end_held(*task, *later_run, *is_done),
        Note::Adopted { task, run, worker } => run_adopted(*task, *run, worker),
        Note::TaskBlamed {
            task,
            worker,
            crashes,
            alone,
            present_ms,
        } => Line::new(catalogue::TASK_BLAMED)
            .display("job", task.step.job)
            .display("task", task)
            .text("worker", worker.as_str())
            .number("crashes", *crashes)
            .flag("alone", *alone)
            .number("there_ms", *present_ms)
            .emit(),
        Note::TaskAbandoned { task, crashes } => task_abandoned(*task, *crashes),
        Note::JobEnded {
            job,
            state,
            after_ms,
            objective_ms,
        } => Line::new(catalogue::JOB_DECIDED)
            .display("job", job)
            .text("state", state_name(*state))
            .number("after_ms", *after_ms)
            .number("objective_ms", *objective_ms)
            .emit(),
        Note::Waiting {
            step,
            waits_for,
            eligible,
            required_label,
            allowed,
            denied,
            known,
            unusable,
            tasks,
        } => Line::new(catalogue::STEP_WAITS)
            .display("job", step.job)
            .display("step", step)
            .text("lacking", waits_for)
            .number("eligible", *eligible)
            .text("required_label", required_label)
            .number("allowed", *allowed)
            .number("denied", *denied)
            .number("known", *known)
            .display("hindered", unusable)
            .number("tasks", *tasks)
            .emit(),
        Note::Worker { worker, note } => workers::note(worker, note),
        Note::Vm(note) => vm_note(note),
        Note::Recovered {
            adopted,
            unanswered,
            first_unanswered,
            took_ms,
        } => takeover_complete(*adopted, *unanswered, first_unanswered, *took_ms),
    }
}

fn takeover_complete(
    adopted: usize,
    unanswered: usize,
    first_unanswered: &[WorkerId],
    took_ms: u64,
) {
    let names: Vec<_> = first_unanswered.iter().map(WorkerId::as_str).collect();
    Line::new(catalogue::TAKEOVER_COMPLETE)
        .number("adopted", adopted)
        .number("unanswered", unanswered)
        .text("first_unanswered", &names.join(" "))
        .number("took_ms", took_ms)
        .emit();
}

fn task_abandoned(task: TaskId, crashes: u32) {
    Line::new(catalogue::TASK_GIVEN_UP)
        .display("job", task.step.job)
        .display("task", task)
        .number("crashes", crashes)
        .emit();
}

fn run_adopted(task: TaskId, run: Run, worker: &WorkerId) {
    Line::new(catalogue::RUN_ADOPTED)
        .display("job", task.step.job)
        .display("task", task)
        .number("run", run.0)
        .text("worker", worker.as_str())
        .emit();
}

fn end_held(task: TaskId, later_run: Run, is_done: bool) {
    Line::new(catalogue::END_HELD)
        .display("job", task.step.job)
        .display("task", task)
        .number("later_run", later_run.0)
        .flag("done", is_done)
        .emit();
}

fn run_missing(task: TaskId, run: Run, worker: Option<&WorkerId>, found: &str, missing_ms: u64) {
    Line::new(catalogue::RUN_MISSING)
        .display("job", task.step.job)
        .display("task", task)
        .number("run", run.0)
        .text("worker", worker.map_or("", WorkerId::as_str))
        .text("found", found)
        .number("missing_ms", missing_ms)
        .emit();
}

fn vm_note(note: &VmNote) {
    match note {
        VmNote::WaveSeen {
            wave,
            vms,
            at_once,
            limit_ms,
            begun,
        } => Line::new(catalogue::WAVE_SEEN)
            .number("wave", *wave)
            .number("vms", *vms)
            .number("at_once", *at_once)
            .number("limit_ms", *limit_ms)
            .number("begun", *begun)
            .emit(),
        VmNote::PoolChange {
            service,
            vm,
            comes,
            waiting_cpu_millis,
            free_cpu_millis,
        } => Line::new(catalogue::POOL_CHANGE)
            .text("service", service.as_str())
            .text("vm", vm.as_str())
            .flag("comes", *comes)
            .number("waiting_cpu_millis", *waiting_cpu_millis)
            .number("free_cpu_millis", *free_cpu_millis)
            .emit(),
    }
}

const fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}
