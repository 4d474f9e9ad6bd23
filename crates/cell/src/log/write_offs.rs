//! Log events about runs that were taken as over without their ends.

use syc_obs::Line;
use syc_obs::catalogue;
use syc_sched::ListedAfterWriteOff;
use syc_sched::WriteOff;
use syc_types::WorkerId;

use super::workers::with_lease;
use crate::leader::lease_trace::SentLease;

/// Logs that a run is taken as over, with what that rests on and the last lease that its worker was sent.
pub(crate) fn run_written_off(
    write_off: &WriteOff,
    clock_age_ms: Option<u64>,
    lease: Option<SentLease>,
    token: u64,
) {
    let mut line = Line::new(catalogue::RUN_WRITTEN_OFF)
        .display("job", write_off.task.step.job)
        .display("task", write_off.task)
        .number("run", write_off.run.0)
        .text("worker", name(write_off.worker.as_ref()))
        .text("reason", write_off.reason.as_str())
        .number("token", token)
        .flag("recovered", write_off.is_recovered)
        .text("lease_from", write_off.lease_basis.as_str());
    let times_ms = [
        ("in_office_ms", write_off.in_office_ms),
        ("silent_ms", write_off.silent_ms),
        ("clock_age_ms", clock_age_ms),
    ];
    for (field, time_ms) in times_ms {
        if let Some(time_ms) = time_ms {
            line = line.number(field, time_ms);
        }
    }
    if let Some(left_ms) = write_off.lease_left_ms {
        line = line.display("lease_left_ms", left_ms);
    }
    with_lease(line, lease).emit();
}

/// Logs that a worker lists a run that was taken as over before.
pub(super) fn listed_after_write_off(listed: &ListedAfterWriteOff) {
    let event = match listed.end {
        Some(_) => catalogue::ENDED_AFTER_WRITE_OFF,
        None => catalogue::RUNNING_AFTER_WRITE_OFF,
    };
    let mut line = Line::new(event)
        .display("job", listed.task.step.job)
        .display("task", listed.task)
        .number("run", listed.run.0)
        .text("worker", listed.worker.as_str())
        .flag("running", listed.end.is_none())
        .text("later_worker", name(listed.later_worker.as_ref()));
    if let Some(end) = listed.end {
        line = line.text("end", end.as_str());
    }
    if let Some(later_run) = listed.later_run {
        line = line.number("later_run", later_run.0);
    }
    if let Some(ago_ms) = listed.ago_ms {
        line = line.number("ago_ms", ago_ms);
    }
    if let Some(earlier) = &listed.earlier {
        line = line
            .text("reason", earlier.reason.as_str())
            .text("lease_from", earlier.lease_basis.as_str())
            .text("worker_then", name(earlier.worker.as_ref()));
    }
    line.emit();
}

fn name(worker: Option<&WorkerId>) -> &str {
    worker.map_or("", WorkerId::as_str)
}
