//! Stores jobs and cancellations that callers submit. Nothing is accepted before the store has acknowledged it.
//!
//! [`syc_admit::Admission`] decides which records are sent where and which are refused. This module carries out
//! its decisions.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use slotmap::SecondaryMap;
use syc_admit::Action;
use syc_admit::Admission;
use syc_admit::AdmitOptions;
use syc_admit::AppendAnswer;
use syc_admit::AppendKey;
use syc_admit::ForwardAnswer;
use syc_admit::Outcome;
use syc_admit::RecordKey;
use syc_admit::View;
use syc_sched::Cancellation;
use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_types::Millis;
use syc_types::WorkspaceName;
use syc_wire::cell::CellBody;
use syc_wire::cell::Relay;
use syc_wire::cell::RelayReply;
use syc_wire::cell::StoredNotice;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::Node;
use crate::clock::now;
use crate::clock::pause;
use crate::contact::HolderLink;
use crate::ports::AppendError;
use crate::ports::Platform;
use crate::ports::Record;
use crate::records;
use crate::shedding::Rejection;
use crate::submit_shedding::SubmitGuard;

/// A node that stores a relayed record answers this long before the sender's timeout, so that the answer arrives
/// in time.
const REPLY_MARGIN_MS: u64 = 100;

/// How long a node tries to notify the scheduler of a stored record. By then, a scheduler has read it in the store.
const NOTICE_LIMIT_MS: u64 = 3_000;

/// Pause before the notice is repeated.
const NOTICE_PAUSE_MS: u64 = 100;

/// Outcome of storing a submitted record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The store has acknowledged the record.
    Stored,
    /// The record is not in the store and never will be.
    Refused {
        /// Time after which the caller should retry.
        retry_after_ms: u64,
    },
    /// The record is not in the store and never will be: its job would end too late to be useful to the caller.
    Shed(Rejection),
    /// The record is not in the store and never will be: the job with this ID is that of another workspace.
    IdTaken,
    /// The record may be in the store, or may still be stored.
    InDoubt,
}

/// Final outcome of a record, sent to the task that waits for it.
#[derive(Debug, Clone, Copy)]
struct Completion {
    outcome: Outcome,
    /// Whether the scheduler already knows the record.
    is_known_to_scheduler: bool,
    /// Whether it was refused because another workspace has a job with this ID.
    is_id_taken: bool,
}

/// Records that are being stored.
#[derive(Debug)]
pub(crate) struct SubmitQueue {
    admission: RefCell<Admission>,
    records: RefCell<SecondaryMap<RecordKey, PendingRecord>>,
    /// Time of the next admission decision.
    due_at: Cell<Option<Millis>>,
    /// Notifies that `due_at` moved to an earlier time.
    due_sooner: Notify,
}

#[derive(Debug)]
struct PendingRecord {
    record: Record,
    is_known_to_scheduler: bool,
    is_id_taken: bool,
    reply: oneshot::Sender<Completion>,
}

impl SubmitQueue {
    pub(crate) fn new() -> Self {
        Self {
            admission: RefCell::new(Admission::new(AdmitOptions::default())),
            records: RefCell::default(),
            due_at: Cell::new(None),
            due_sooner: Notify::new(),
        }
    }

    pub(crate) fn is_busy(&self) -> bool {
        !self.admission.borrow().is_idle()
    }

    /// Returns the current append time of jobs.
    pub(crate) fn append_ms(&self) -> u64 {
        self.admission.borrow().append_ms(now())
    }

    /// Makes admission answer all callers by this time.
    pub(crate) fn stop_by(&self, at: Millis) {
        self.admission.borrow_mut().stop_by(at);
        self.decide_soon();
    }

    /// Schedules the next admission decision for now.
    pub(crate) fn decide_soon(&self) {
        if self.is_busy() {
            self.set_due(Some(now()));
        }
    }

    /// Returns whether the store has not yet acknowledged a submit of this job.
    pub(crate) fn is_storing(&self, spec: &JobSpec) -> bool {
        let key = records::job_key(spec.id, spec.workspace.as_ref());
        let records = self.records.borrow();
        records.values().any(|pending| pending.record.key == key)
    }

    fn set_due(&self, at: Option<Millis>) {
        let before = self.due_at.replace(at);
        let Some(at) = at else {
            return;
        };
        if before.is_none_or(|before| at < before) {
            self.due_sooner.notify_one();
        }
    }

    fn clone_records(&self, keys: &[RecordKey]) -> Vec<Record> {
        let records = self.records.borrow();
        let known = keys.iter().filter_map(|key| records.get(*key));
        known.map(|pending| pending.record.clone()).collect()
    }

    /// Answers the caller of a record. Returns the record if the caller has disconnected, so that nothing else notifies
    /// the scheduler of it.
    fn answer(&self, key: RecordKey, outcome: Outcome) -> Option<Record> {
        let pending = self.records.borrow_mut().remove(key)?;
        let completion = Completion {
            outcome,
            is_known_to_scheduler: pending.is_known_to_scheduler,
            is_id_taken: pending.is_id_taken,
        };
        let abandoned = pending.reply.send(completion).is_err();
        abandoned.then_some(pending.record)
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Stores a job. The job is accepted once the store has acknowledged it.
    pub async fn submit(self: &Rc<Self>, spec: &JobSpec) -> StoreOutcome {
        let timeout_ms = self.settings.timing.submit_timeout_ms;
        self.submit_within(spec, timeout_ms).await
    }

    /// Stores a job for a caller that waits for the answer for at most `timeout_ms`.
    pub async fn submit_within(self: &Rc<Self>, spec: &JobSpec, timeout_ms: u64) -> StoreOutcome {
        let timeout_ms = timeout_ms.min(self.settings.timing.submit_timeout_ms);
        if self.is_id_taken(spec.id, spec.workspace.as_ref()) {
            return StoreOutcome::IdTaken;
        }
        let deadline = now().plus(timeout_ms);
        let submit = self.submits.begin(spec.id);
        if let Some(rejection) = self.rejection(spec, &submit, timeout_ms).await {
            return StoreOutcome::Shed(rejection);
        }
        let record = records::submitted(spec);
        let timeout_ms = deadline.since(now());
        self.store_and_notify(record, timeout_ms, Some(submit))
            .await
    }

    /// Stores the cancellation of a job, which is heeded only if its caller may access the job.
    pub async fn cancel(self: &Rc<Self>, cancellation: &Cancellation) -> StoreOutcome {
        let Cancellation { job, workspace } = cancellation;
        if self.is_id_taken(*job, workspace.as_ref()) {
            return StoreOutcome::IdTaken;
        }
        let timeout_ms = self.settings.timing.submit_timeout_ms;
        let record = records::cancelled(cancellation);
        self.store_and_notify(record, timeout_ms, None).await
    }

    /// Returns whether this node is the scheduler and knows a job of another workspace with this ID.
    fn is_id_taken(&self, id: JobId, caller: Option<&WorkspaceName>) -> bool {
        let leader = self.leader();
        leader.is_some_and(|leader| leader.is_id_taken(id, caller))
    }

    /// Stores a record, then notifies the scheduler without waiting for its reply.
    ///
    /// The scheduler would find the record in the store by itself, but one store round trip later, which takes a
    /// quarter of a second while the store is slow. The submit counts as under way until the scheduler was notified.
    async fn store_and_notify(
        self: &Rc<Self>,
        record: Record,
        timeout_ms: u64,
        submit: Option<SubmitGuard>,
    ) -> StoreOutcome {
        let deadline = now().plus(timeout_ms);
        let key = self
            .submit_queue
            .admission
            .borrow_mut()
            .offer(record.size(), deadline);
        let completion = self.await_outcome(key, record.clone()).await;
        match completion.outcome {
            Outcome::Stored { partition } => {
                if !completion.is_known_to_scheduler {
                    let node = Rc::clone(self);
                    actix_rt::spawn(async move {
                        node.notify_scheduler(partition, record).await;
                        drop(submit);
                    });
                }
                StoreOutcome::Stored
            }
            Outcome::Refused { .. } if completion.is_id_taken => StoreOutcome::IdTaken,
            Outcome::Refused { retry_after_ms } => StoreOutcome::Refused { retry_after_ms },
            Outcome::InDoubt => {
                self.submits.note_in_doubt();
                StoreOutcome::InDoubt
            }
        }
    }

    async fn await_outcome(self: &Rc<Self>, key: RecordKey, record: Record) -> Completion {
        let (reply, answer) = oneshot::channel();
        let pending = PendingRecord {
            record,
            is_known_to_scheduler: false,
            is_id_taken: false,
            reply,
        };
        self.submit_queue.records.borrow_mut().insert(key, pending);
        self.decide_admission();
        answer.await.unwrap_or(Completion {
            outcome: Outcome::InDoubt,
            is_known_to_scheduler: false,
            is_id_taken: false,
        })
    }

    /// Notifies the scheduler of a stored record, also one that is elected meanwhile.
    ///
    /// A scheduler finds a record in the store by itself, but reads each partition only once in a while. Without
    /// repeats, the jobs of the moments around an election would wait for that.
    async fn notify_scheduler(&self, partition: u32, record: Record) {
        let until = now().plus(NOTICE_LIMIT_MS);
        loop {
            if self.send_notice(partition, &record).await {
                return;
            }
            self.submits.note_in_doubt();
            if now() >= until {
                return;
            }
            self.contact_wanted.notify_one();
            tokio::select! {
                () = self.holder_changed.notified() => {}
                () = pause(NOTICE_PAUSE_MS) => {}
            }
        }
    }

    /// Tells the scheduler of a stored record. Returns whether it knows it.
    async fn send_notice(&self, partition: u32, record: &Record) -> bool {
        if let Some(leader) = self.leader() {
            leader.apply_job_record(partition, record);
            return true;
        }
        let link = self.link.borrow().clone();
        let Some(link) = link.filter(|link| link.answers()) else {
            return false;
        };
        let notice = CellBody::StoredNotice(StoredNotice {
            key: record.key.to_string(),
            value: record.value.clone(),
            partition,
        });
        let timeout_ms = self.settings.timing.peer_timeout_ms;
        let reply = link.call(notice, timeout_ms).await;
        matches!(&reply, Ok(CellBody::NoticeReply(reply)) if reply.taken)
    }

    /// Stores a record that another node relayed and notifies the scheduler, if this node still holds the role.
    pub(crate) async fn store_relayed(self: &Rc<Self>, relay: Relay) -> RelayReply {
        let timeout_ms = match relay.patience_ms {
            0 => self.settings.timing.store_timeout_ms / 2,
            patience_ms => patience_ms.saturating_sub(REPLY_MARGIN_MS),
        };
        let timeout_ms = timeout_ms.min(self.settings.timing.submit_timeout_ms);
        let record = Record {
            key: relay.key.into(),
            value: relay.value,
        };
        let leader = self.leader();
        if leader.is_some_and(|leader| leader.is_key_of_another(&record.key)) {
            return RelayReply {
                refused: true,
                id_taken: true,
                ..RelayReply::default()
            };
        }
        let deadline = now().plus(timeout_ms);
        let key = self
            .submit_queue
            .admission
            .borrow_mut()
            .offer_forwarded(record.size(), deadline);
        let completion = self.await_outcome(key, record.clone()).await;
        match completion.outcome {
            Outcome::Stored { partition } => {
                let leader = self.leader();
                if let Some(leader) = &leader {
                    leader.apply_job_record(partition, &record);
                }
                RelayReply {
                    stored: true,
                    partition,
                    taken: leader.is_some(),
                    ..RelayReply::default()
                }
            }
            Outcome::Refused { retry_after_ms } => RelayReply {
                refused: true,
                come_back_ms: retry_after_ms,
                ..RelayReply::default()
            },
            Outcome::InDoubt => {
                self.submits.note_in_doubt();
                RelayReply::default()
            }
        }
    }

    fn admission_view(&self) -> View {
        let link = self.link.borrow();
        let link = link.as_ref().filter(|link| link.can_relay());
        View {
            store_answers: self.store_answers(),
            answered_sent_at: self.store.answered_sent_at(),
            has_collector: link.is_some(),
            collector_append_ms: link.map_or(0, |link| link.append_ms()),
            is_collector: self.leader().is_some(),
            partition: self.partition.get(),
            partitions: self.settings.job_partitions(),
        }
    }

    /// Runs the admission decision for the pending records and carries out its actions.
    pub(crate) fn decide_admission(self: &Rc<Self>) {
        let queue = &self.submit_queue;
        let actions = queue
            .admission
            .borrow_mut()
            .decide(self.admission_view(), now());
        for action in actions {
            match action {
                Action::Append {
                    append,
                    partition,
                    records,
                } => {
                    let records = queue.clone_records(&records);
                    let appended = Rc::clone(self).append_batch(append, partition, records);
                    actix_rt::spawn(appended);
                }
                Action::Forward { record, timeout_ms } => {
                    actix_rt::spawn(Rc::clone(self).relay_record(record, timeout_ms));
                }
                Action::Answer { record, outcome } => {
                    let abandoned = queue.answer(record, outcome);
                    self.note_abandoned(abandoned, outcome);
                }
            }
        }
        let due_at = queue.admission.borrow().next_decision_at(now());
        queue.set_due(due_at);
    }

    /// Notifies the scheduler of a stored record whose caller has disconnected. Such a caller often retries at once,
    /// through another node.
    fn note_abandoned(self: &Rc<Self>, record: Option<Record>, outcome: Outcome) {
        let Some(record) = record else {
            return;
        };
        match outcome {
            Outcome::Stored { partition } => {
                let node = Rc::clone(self);
                let job = records::job_of_key(&record.key);
                // Until the scheduler was notified, a retry at this node must not be rejected.
                let submit = job.map(|id| self.submits.begin(id));
                actix_rt::spawn(async move {
                    node.notify_scheduler(partition, record).await;
                    drop(submit);
                });
            }
            Outcome::InDoubt => self.submits.note_in_doubt(),
            Outcome::Refused { .. } => {}
        }
    }

    async fn append_batch(self: Rc<Self>, append: AppendKey, partition: u32, records: Vec<Record>) {
        let answer = match self.append_jobs(partition, &records).await {
            Ok(_) => AppendAnswer::Stored,
            Err(AppendError::InDoubt(_)) => AppendAnswer::InDoubt,
            Err(_) => AppendAnswer::Refused,
        };
        self.submit_queue
            .admission
            .borrow_mut()
            .append_answered(append, answer, now());
        self.decide_admission();
    }

    /// Relays a record to the scheduler's node.
    async fn relay_record(self: Rc<Self>, key: RecordKey, timeout_ms: u64) {
        let started_at = now();
        let link = self.link.borrow().clone();
        let record = self.submit_queue.clone_records(&[key]).pop();
        let handed_over = match (link, record) {
            (Some(link), Some(record)) => self.send_relay(&link, key, record, timeout_ms).await,
            _ => ForwardAnswer::NotSent,
        };
        let took_ms = now().since(started_at);
        self.submit_queue
            .admission
            .borrow_mut()
            .forward_answered(key, handed_over, took_ms);
        self.decide_admission();
    }

    async fn send_relay(
        &self,
        link: &HolderLink,
        key: RecordKey,
        record: Record,
        timeout_ms: u64,
    ) -> ForwardAnswer {
        let query = CellBody::Relay(Relay {
            key: record.key.to_string(),
            value: record.value,
            patience_ms: timeout_ms,
        });
        match link.call_without_reset(query, timeout_ms).await {
            Ok(CellBody::RelayReply(reply)) if reply.stored => {
                if let Some(pending) = self.submit_queue.records.borrow_mut().get_mut(key) {
                    pending.is_known_to_scheduler = reply.taken;
                }
                ForwardAnswer::Stored {
                    partition: reply.partition,
                }
            }
            Ok(CellBody::RelayReply(reply)) if reply.refused => {
                if let Some(pending) = self.submit_queue.records.borrow_mut().get_mut(key) {
                    pending.is_id_taken = reply.id_taken;
                }
                ForwardAnswer::Refused {
                    retry_after_ms: reply.come_back_ms.max(self.settings.timing.retry_after_ms),
                }
            }
            Err(syc_net::CallError::NotSent) => ForwardAnswer::NotSent,
            Ok(_) | Err(syc_net::CallError::NoReply) => ForwardAnswer::InDoubt,
        }
    }
}

/// Runs admission decisions that become due as time passes.
pub(crate) async fn run_admission_timer<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    loop {
        let wait_ms = node.submit_queue.due_at.get().map(|at| at.since(now()));
        match wait_ms {
            None => node.submit_queue.due_sooner.notified().await,
            Some(wait_ms) => tokio::select! {
                () = pause(wait_ms) => node.decide_admission(),
                () = node.submit_queue.due_sooner.notified() => {}
            },
        }
    }
}
