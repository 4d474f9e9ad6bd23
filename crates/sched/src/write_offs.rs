//! Write-offs: runs that are taken as over although no worker reported their end, and the evidence for that.
//!
//! A later start of the same task is sound only if the run has really ended. Each write-off is therefore logged with what
//! it rests on.

use syc_types::Millis;
use syc_types::WorkerId;

use crate::Action;
use crate::Note;
use crate::Run;
use crate::Scheduler;
use crate::StartRefusal;
use crate::TaskId;
use crate::WorkerKey;

/// Why a run was taken as over without its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOffReason {
    /// The lease of its worker, which is silent, has expired.
    LeaseLapsed,
    /// Another worker answers at the address of its worker.
    Replaced,
    /// A later incarnation of its worker answers.
    Restarted,
    /// Its worker does not list it any more.
    Absent,
    /// The start order was not sent.
    NotSent,
    /// The worker refused the start order.
    Refused(StartRefusal),
    /// A predecessor recorded its worker, which has reported everything without it, or was given up.
    NotOnRecordedWorker,
    /// A predecessor may have started it, unknown to this scheduler, and the takeover is complete without a report of it.
    NeverReported,
    /// It is a member of a gang, and was not found by the end of the takeover.
    MemberNotFound,
    /// No later incarnation of its worker appeared that could have got its start order.
    Misdirected,
    /// It was recorded as running although no worker held it.
    Missing,
}

impl WriteOffReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LeaseLapsed => "lease_lapsed",
            Self::Replaced => "replaced",
            Self::Restarted => "reborn",
            Self::Absent => "absent",
            Self::NotSent => "not_sent",
            Self::Refused(refusal) => refusal.as_str(),
            Self::NotOnRecordedWorker => "not_on_recorded_worker",
            Self::NeverReported => "never_reported",
            Self::MemberNotFound => "member_not_found",
            Self::Misdirected => "misdirected",
            Self::Missing => "missing",
        }
    }

    /// Returns whether a worker may have run it. Otherwise its start was not carried out, or is only assumed.
    #[must_use]
    pub const fn is_loss(self) -> bool {
        !matches!(self, Self::NotSent | Self::Refused(_) | Self::NeverReported)
    }
}

/// What the known end of a worker's lease was counted from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseBasis {
    /// No lease is known.
    None,
    /// A renewal that this scheduler sent.
    OwnRenewal,
    /// A start order that this scheduler sent.
    OwnStartOrder,
    /// The first answer to this scheduler, after which the worker takes no renewals of predecessors.
    FirstAnswer,
    /// The beginning of the takeover: the longest lease that a predecessor may have set.
    TakeoverBound,
    /// The restart of the worker that a start order was meant for.
    Misdirected,
}

impl LeaseBasis {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::OwnRenewal => "own_renewal",
            Self::OwnStartOrder => "own_start_order",
            Self::FirstAnswer => "first_answer",
            Self::TakeoverBound => "takeover_bound",
            Self::Misdirected => "misdirected",
        }
    }
}

/// A run that was taken as over without its end, and what was known then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteOff {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: Run,
    /// Its worker, or the recorded one; none if not known.
    pub worker: Option<WorkerId>,
    /// The worker's key, if it is attached.
    pub key: Option<WorkerKey>,
    /// Why it was taken as over.
    pub reason: WriteOffReason,
    /// Whether the takeover was complete.
    pub is_recovered: bool,
    /// Time since this scheduler was elected; none before its takeover has begun.
    pub in_office_ms: Option<u64>,
    /// Time since the worker last answered this scheduler; none if it never did.
    pub silent_ms: Option<u64>,
    /// Time until the lease ends, negative if it has ended; none without a known lease.
    pub lease_left_ms: Option<i64>,
    /// What that end was counted from.
    pub lease_basis: LeaseBasis,
}

/// Where a run that is written off was, as far as that is known.
#[derive(Debug, Clone)]
pub(crate) enum Whereabouts {
    /// On an attached worker.
    Attached(WorkerKey),
    /// On a worker that a record names.
    Recorded(WorkerId),
    /// Meant for an incarnation of a worker that is gone. It has certainly ended at the time.
    Misdirected(WorkerId, Millis),
    /// Not known.
    Unknown,
}

/// What is known of the worker of a run that is written off.
#[derive(Debug)]
struct WorkerEvidence {
    worker: Option<WorkerId>,
    key: Option<WorkerKey>,
    silent_ms: Option<u64>,
    lease_end: Option<Millis>,
    lease_basis: LeaseBasis,
}

impl Scheduler {
    /// Logs and remembers that a run is taken as over without its end. Call it before the worker's state is changed.
    pub(crate) fn write_off(
        &mut self,
        (task, run): (TaskId, Run),
        place: Whereabouts,
        reason: WriteOffReason,
        now: Millis,
    ) {
        let evidence = self.worker_evidence(place, now);
        let write_off = WriteOff {
            task,
            run,
            worker: evidence.worker,
            key: evidence.key,
            reason,
            is_recovered: self.recovery.is_complete(),
            in_office_ms: self.recovery.in_office_ms(now),
            silent_ms: evidence.silent_ms,
            lease_left_ms: evidence.lease_end.map(|end| signed_ms_until(end, now)),
            lease_basis: evidence.lease_basis,
        };
        self.write_offs.remember(&write_off, now);
        let note = Note::RunWrittenOff(Box::new(write_off));
        self.actions.push(Action::Note(note));
    }

    fn worker_evidence(&self, place: Whereabouts, now: Millis) -> WorkerEvidence {
        match place {
            Whereabouts::Attached(key) => self.attached_evidence(key, now),
            Whereabouts::Recorded(id) => match self.worker_keys.get(&id) {
                Some(key) => self.attached_evidence(*key, now),
                None => self.unattached_evidence(Some(id)),
            },
            Whereabouts::Misdirected(id, ended_at) => WorkerEvidence {
                worker: Some(id),
                key: None,
                silent_ms: None,
                lease_end: Some(ended_at),
                lease_basis: LeaseBasis::Misdirected,
            },
            Whereabouts::Unknown => self.unattached_evidence(None),
        }
    }

    fn attached_evidence(&self, key: WorkerKey, now: Millis) -> WorkerEvidence {
        let Some(worker) = self.workers.get(key) else {
            return self.unattached_evidence(None);
        };
        let has_lease = worker.lease_basis != LeaseBasis::None;
        let silent_ms = now.since(worker.last_answer_at);
        WorkerEvidence {
            worker: Some(worker.spec.id.clone()),
            key: Some(key),
            silent_ms: worker.runs_known.then_some(silent_ms),
            lease_end: has_lease.then_some(worker.leases_expire_at),
            lease_basis: worker.lease_basis,
        }
    }

    fn unattached_evidence(&self, worker: Option<WorkerId>) -> WorkerEvidence {
        let lease_end = self.recovery.predecessor_leases_end();
        WorkerEvidence {
            worker,
            key: None,
            silent_ms: None,
            lease_end,
            lease_basis: match lease_end {
                Some(_) => LeaseBasis::TakeoverBound,
                None => LeaseBasis::None,
            },
        }
    }
}

/// Returns the time from `now` to `end`, negative if that has passed.
fn signed_ms_until(end: Millis, now: Millis) -> i64 {
    let ahead_ms = i64::try_from(end.since(now)).unwrap_or(i64::MAX);
    let past_ms = i64::try_from(now.since(end)).unwrap_or(i64::MAX);
    ahead_ms - past_ms
}
