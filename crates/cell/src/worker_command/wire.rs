//! Conversions between calls to workers and their messages.

use smol_str::SmolStr;
use syc_sched::EndReport;
use syc_sched::Run;
use syc_sched::RunEnd;
use syc_sched::RunningReport;
use syc_sched::StartRefusal;
use syc_sched::StepId;
use syc_sched::TaskId;
use syc_sched::WorkerReport;
use syc_types::WorkerId;
use syc_wire::DecodeError;
use syc_wire::worker_call::EndKind;
use syc_wire::worker_call::EndedBody;
use syc_wire::worker_call::FailedBody;
use syc_wire::worker_call::FailureKind;
use syc_wire::worker_call::PaceBody;
use syc_wire::worker_call::RefusalKind;
use syc_wire::worker_call::RenewBody;
use syc_wire::worker_call::RenewedBody;
use syc_wire::worker_call::RunBody;
use syc_wire::worker_call::RunningBody;
use syc_wire::worker_call::StartBody;
use syc_wire::worker_call::StopBody;
use syc_wire::worker_call::WorkerAnswerBody;
use syc_wire::worker_call::WorkerCall;
use syc_wire::worker_call::WorkerCallReply;
use syc_wire::worker_call::WorkerCommandBody;

use crate::ports::OrderError;
use crate::ports::PaceCommand;
use crate::ports::Renewal;
use crate::ports::RenewalReply;
use crate::ports::Skipped;
use crate::ports::StartCommand;
use crate::ports::StopCommand;
use crate::ports::WorkerAddress;
use crate::worker_command::RelayedCall;
use crate::worker_command::WorkerAnswer;
use crate::worker_command::WorkerCommand;

/// Largest value of a share in percent.
const MAX_PERCENT: u8 = 100;

impl From<&RelayedCall> for WorkerCall {
    fn from(call: &RelayedCall) -> Self {
        Self {
            worker: call.worker.id.as_str().to_owned(),
            address: call.worker.address.to_string(),
            timeout_ms: call.timeout_ms,
            valid_until_ms: call.valid_until_ms,
            token: call.command.token(),
            command: Some(command_body(&call.command)),
        }
    }
}

fn command_body(command: &WorkerCommand) -> WorkerCommandBody {
    match command {
        WorkerCommand::Renew(renewal) => WorkerCommandBody::Renew(RenewBody {
            lease_until_ms: renewal.lease_until_ms,
            acknowledged: renewal.acknowledged,
            wait_ms: renewal.wait_ms,
        }),
        WorkerCommand::Start(command) => WorkerCommandBody::Start(StartBody {
            run: Some(run_body(command.task, command.run)),
            payload: command.payload.to_string(),
            lease_until_ms: command.lease_until_ms,
            ticket: command.ticket.to_string(),
            checkpoint: command.checkpoint.to_string(),
        }),
        WorkerCommand::Stop(command) => WorkerCommandBody::Stop(StopBody {
            run: Some(run_body(command.task, command.run)),
        }),
        WorkerCommand::Pace(command) => WorkerCommandBody::Pace(PaceBody {
            run: Some(run_body(command.task, command.run)),
            percent: u32::from(command.percent),
        }),
    }
}

impl TryFrom<WorkerCall> for RelayedCall {
    type Error = DecodeError;

    fn try_from(call: WorkerCall) -> Result<Self, Self::Error> {
        let command = call.command.ok_or(DecodeError::NoBody)?;
        Ok(Self {
            worker: WorkerAddress {
                id: WorkerId::new(call.worker),
                address: SmolStr::from(call.address),
            },
            timeout_ms: call.timeout_ms,
            valid_until_ms: call.valid_until_ms,
            command: read_command(command, call.token)?,
        })
    }
}

fn read_command(body: WorkerCommandBody, token: u64) -> Result<WorkerCommand, DecodeError> {
    Ok(match body {
        WorkerCommandBody::Renew(body) => WorkerCommand::Renew(Renewal {
            lease_until_ms: body.lease_until_ms,
            acknowledged: body.acknowledged,
            wait_ms: body.wait_ms,
            token,
        }),
        WorkerCommandBody::Start(body) => {
            let (task, run) = read_run(body.run)?;
            WorkerCommand::Start(StartCommand {
                task,
                run,
                payload: body.payload.into(),
                lease_until_ms: body.lease_until_ms,
                token,
                ticket: body.ticket.into(),
                checkpoint: body.checkpoint.into(),
            })
        }
        WorkerCommandBody::Stop(body) => {
            let (task, run) = read_run(body.run)?;
            WorkerCommand::Stop(StopCommand { task, run, token })
        }
        WorkerCommandBody::Pace(body) => {
            let (task, run) = read_run(body.run)?;
            WorkerCommand::Pace(PaceCommand {
                task,
                run,
                percent: read_percent(body.percent)?,
                token,
            })
        }
    })
}

const fn run_body(task: TaskId, run: Run) -> RunBody {
    RunBody {
        job: task.step.job.0,
        occurrence: task.step.occurrence,
        step: task.step.step as u32,
        index: task.index,
        run: run.0,
    }
}

fn read_run(body: Option<RunBody>) -> Result<(TaskId, Run), DecodeError> {
    let body = body.ok_or(DecodeError::field("run"))?;
    let step = u16::try_from(body.step).map_err(|_above_limit| DecodeError::field("step"))?;
    let step = StepId {
        job: syc_sched::JobId(body.job),
        occurrence: body.occurrence,
        step,
    };
    let task = TaskId {
        step,
        index: body.index,
    };
    Ok((task, Run(body.run)))
}

fn read_percent(percent: u32) -> Result<u8, DecodeError> {
    let percent = u8::try_from(percent).ok();
    let percent = percent.filter(|percent| *percent <= MAX_PERCENT);
    percent.ok_or(DecodeError::field("percent"))
}

/// Creates the reply of a carrier.
#[must_use]
pub fn write_reply(answer: &Result<WorkerAnswer, OrderError>) -> WorkerCallReply {
    let answer = match answer {
        Ok(WorkerAnswer::Renewed(renewed)) => WorkerAnswerBody::Renewed(renewed.into()),
        Ok(WorkerAnswer::Accepted) => WorkerAnswerBody::Accepted(true),
        Err(error) => WorkerAnswerBody::Failed(error.into()),
    };
    WorkerCallReply {
        answer: Some(answer),
    }
}

/// Decodes the reply of a carrier.
///
/// # Errors
///
/// Fails if a part of it is missing or out of range. The whole is rejected then: a run that a report does not list
/// counts as ended.
pub fn read_reply(reply: WorkerCallReply) -> Result<Result<WorkerAnswer, OrderError>, DecodeError> {
    Ok(match reply.answer.ok_or(DecodeError::NoBody)? {
        WorkerAnswerBody::Renewed(body) => Ok(WorkerAnswer::Renewed(body.try_into()?)),
        WorkerAnswerBody::Accepted(true) => Ok(WorkerAnswer::Accepted),
        WorkerAnswerBody::Accepted(false) => return Err(DecodeError::field("accepted")),
        WorkerAnswerBody::Failed(body) => Err(body.into()),
    })
}

impl From<&RenewalReply> for RenewedBody {
    fn from(renewed: &RenewalReply) -> Self {
        let running = renewed.report.running.iter().map(|report| RunningBody {
            run: Some(run_body(report.task, report.run)),
            checkpoint: report.checkpoint.to_string(),
            percent: u32::from(report.percent),
            load: report.load,
        });
        let ended = renewed.report.ended.iter().map(|report| EndedBody {
            number: report.number,
            run: Some(run_body(report.task, report.run)),
            end: end_kind(report.end).into(),
            checkpoint: report.checkpoint.to_string(),
        });
        Self {
            clock_ms: renewed.clock_ms,
            born_ms: renewed.born_ms,
            running: running.collect(),
            ended: ended.collect(),
            has_more_ends: renewed.report.has_more_ends,
            skipped_parts: renewed.skipped.parts,
            skipped_reason: renewed.skipped.reason.to_string(),
            skipped_end: renewed.skipped_end,
        }
    }
}

impl TryFrom<RenewedBody> for RenewalReply {
    type Error = DecodeError;

    fn try_from(body: RenewedBody) -> Result<Self, Self::Error> {
        let running = body.running.into_iter().map(read_running);
        let ended = body.ended.into_iter().map(read_ended);
        Ok(Self {
            clock_ms: body.clock_ms,
            born_ms: body.born_ms,
            report: WorkerReport {
                running: running.collect::<Result<_, _>>()?,
                ended: ended.collect::<Result<_, _>>()?,
                has_more_ends: body.has_more_ends,
            },
            skipped: Skipped {
                parts: body.skipped_parts,
                reason: body.skipped_reason.into(),
            },
            skipped_end: body.skipped_end,
        })
    }
}

fn read_running(body: RunningBody) -> Result<RunningReport, DecodeError> {
    let (task, run) = read_run(body.run)?;
    Ok(RunningReport {
        task,
        run,
        checkpoint: body.checkpoint.into(),
        percent: read_percent(body.percent)?,
        load: body.load,
    })
}

fn read_ended(body: EndedBody) -> Result<EndReport, DecodeError> {
    let (task, run) = read_run(body.run)?;
    Ok(EndReport {
        number: body.number,
        task,
        run,
        end: read_end(body.end)?,
        checkpoint: body.checkpoint.into(),
    })
}

const fn end_kind(end: RunEnd) -> EndKind {
    match end {
        RunEnd::Done => EndKind::Done,
        RunEnd::Failed => EndKind::Failed,
        RunEnd::Stopped => EndKind::Stopped,
        RunEnd::Lapsed => EndKind::Lapsed,
        RunEnd::Broken => EndKind::Broken,
        RunEnd::Alone => EndKind::Alone,
    }
}

fn read_end(end: i32) -> Result<RunEnd, DecodeError> {
    Ok(match EndKind::try_from(end) {
        Ok(EndKind::Done) => RunEnd::Done,
        Ok(EndKind::Failed) => RunEnd::Failed,
        Ok(EndKind::Stopped) => RunEnd::Stopped,
        Ok(EndKind::Lapsed) => RunEnd::Lapsed,
        Ok(EndKind::Broken) => RunEnd::Broken,
        Ok(EndKind::Alone) => RunEnd::Alone,
        Ok(EndKind::Unspecified) | Err(_) => return Err(DecodeError::field("end")),
    })
}

impl From<&OrderError> for FailedBody {
    fn from(error: &OrderError) -> Self {
        let mut refusal = RefusalKind::Unspecified;
        let mut reason = "";
        let kind = match error {
            OrderError::Replaced => FailureKind::Replaced,
            OrderError::Restarted => FailureKind::Restarted,
            OrderError::Fenced => FailureKind::Fenced,
            OrderError::Refused(why) => {
                refusal = refusal_kind(*why);
                FailureKind::Refused
            }
            OrderError::NotSent(why) => {
                reason = why;
                FailureKind::NotSent
            }
            OrderError::NoConnection(why) => {
                reason = why;
                FailureKind::NoConnection
            }
            OrderError::InDoubt(why) => {
                reason = why;
                FailureKind::InDoubt
            }
        };
        Self {
            kind: kind.into(),
            refusal: refusal.into(),
            reason: reason.to_owned(),
        }
    }
}

/// Kinds and refusals that this version does not know leave the outcome in doubt.
impl From<FailedBody> for OrderError {
    fn from(body: FailedBody) -> Self {
        let reason = SmolStr::from(body.reason);
        match FailureKind::try_from(body.kind) {
            Ok(FailureKind::Replaced) => Self::Replaced,
            Ok(FailureKind::Restarted) => Self::Restarted,
            Ok(FailureKind::Fenced) => Self::Fenced,
            Ok(FailureKind::Refused) => match read_refusal(body.refusal) {
                Some(refusal) => Self::Refused(refusal),
                None => Self::InDoubt(reason),
            },
            Ok(FailureKind::NotSent) => Self::NotSent(reason),
            Ok(FailureKind::NoConnection) => Self::NoConnection(reason),
            Ok(FailureKind::InDoubt) | Err(_) => Self::InDoubt(reason),
        }
    }
}

const fn refusal_kind(refusal: StartRefusal) -> RefusalKind {
    match refusal {
        StartRefusal::Fenced => RefusalKind::Fenced,
        StartRefusal::OldRun => RefusalKind::OldRun,
        StartRefusal::Late => RefusalKind::Late,
        StartRefusal::NoRoom => RefusalKind::NoRoom,
        StartRefusal::Ticket => RefusalKind::Ticket,
        StartRefusal::Unhealthy => RefusalKind::Unhealthy,
        StartRefusal::Malformed => RefusalKind::Malformed,
    }
}

fn read_refusal(refusal: i32) -> Option<StartRefusal> {
    Some(match RefusalKind::try_from(refusal).ok()? {
        RefusalKind::Unspecified => return None,
        RefusalKind::Fenced => StartRefusal::Fenced,
        RefusalKind::OldRun => StartRefusal::OldRun,
        RefusalKind::Late => StartRefusal::Late,
        RefusalKind::NoRoom => StartRefusal::NoRoom,
        RefusalKind::Ticket => StartRefusal::Ticket,
        RefusalKind::Unhealthy => StartRefusal::Unhealthy,
        RefusalKind::Malformed => StartRefusal::Malformed,
    })
}
