//! Storing what callers submit: nothing is accepted before the store has acknowledged it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use syc_sched::JobId;
use syc_sched::JobSpec;
use syc_types::Millis;
use syc_wire::cell::CellBody;
use syc_wire::cell::Relay;
use syc_wire::cell::StoredNotice;
use tokio::sync::oneshot;

use crate::Node;
use crate::clock::now;
use crate::clock::pause;
use crate::ports::AppendError;
use crate::ports::Platform;
use crate::ports::Record;
use crate::records;

/// Most records that share one append.
const BATCH_RECORDS: usize = 64;

/// Wait after an append that failed.
const RETRY_MS: u64 = 40;

/// Appends of a record that the store refuses, before the caller hears of it.
const REFUSALS_LIMIT: u32 = 3;

/// What became of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stored {
    /// The store has it.
    Stored,
    /// The store does not have it and never will.
    Refused,
    /// It may be in the store, or come into it.
    InDoubt,
}

/// Why it is not certain that the store has a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotStored {
    Refused,
    InDoubt,
}

/// The partition that has a record.
type Outcome = Result<u32, NotStored>;

/// Records that wait for their append.
#[derive(Debug, Default)]
pub(crate) struct AcceptQueue {
    waiting: RefCell<VecDeque<Waiting>>,
    running: Cell<bool>,
}

#[derive(Debug)]
struct Waiting {
    record: Record,
    until: Millis,
    refusals: u32,
    doubt: bool,
    /// Whether it was sent to the store.
    sent: bool,
    reply: oneshot::Sender<Outcome>,
}

impl AcceptQueue {
    pub(crate) const fn is_busy(&self) -> bool {
        self.running.get()
    }

    fn take_batch(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(BATCH_RECORDS);
        let mut batch: Vec<_> = waiting.drain(..count).collect();
        for waiting in &mut batch {
            waiting.sent = true;
        }
        batch
    }

    /// Answers what waits behind an append that the store did not answer: what was never sent is
    /// surely not stored, and its caller is better off to come back than to wait for the next.
    fn refuse_unsent(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let all = std::mem::take(&mut *waiting);
        for one in all {
            if one.sent {
                waiting.push_back(one);
            } else {
                // A caller that left needs no answer.
                let _left = one.reply.send(Err(NotStored::Refused));
            }
        }
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Stores a job; it is accepted once the store has it.
    pub async fn submit(self: &Rc<Self>, spec: &JobSpec) -> Stored {
        self.store_and_tell(records::submitted(spec)).await
    }

    /// Stores that a job is cancelled.
    pub async fn cancel(self: &Rc<Self>, id: JobId) -> Stored {
        self.store_and_tell(records::cancelled(id)).await
    }

    /// Stores a record, and tells the scheduler of it without waiting for that.
    ///
    /// The scheduler would find it in the store by itself, but later: by one answer of the store,
    /// which takes a quarter of a second while the store is slow.
    async fn store_and_tell(self: &Rc<Self>, record: Record) -> Stored {
        match self.store_record(record.clone()).await {
            Ok(partition) => {
                let node = Rc::clone(self);
                actix_rt::spawn(async move { node.tell_scheduler(partition, record).await });
                Stored::Stored
            }
            Err(NotStored::Refused) => Stored::Refused,
            Err(NotStored::InDoubt) => Stored::InDoubt,
        }
    }

    async fn tell_scheduler(&self, partition: u32, record: Record) {
        if let Some(leader) = self.leader() {
            leader.take_job_record(partition, &record);
            return;
        }
        let link = self.link.borrow().clone();
        let Some(link) = link else {
            return;
        };
        let notice = CellBody::StoredNotice(StoredNotice {
            key: record.key.to_string(),
            value: record.value,
            partition,
        });
        // Without an answer, the scheduler finds the record in the store.
        let _told = link
            .call(notice, self.settings.timing.peer_timeout_ms)
            .await;
    }

    async fn store_record(self: &Rc<Self>, record: Record) -> Outcome {
        let until = now().plus(self.settings.timing.submit_limit_ms);
        if !self.store_answers() {
            // Nothing is sent to a store that does not answer: the caller hears at once that the
            // job surely was not accepted, and not after a second that it may have been.
            return self.relay(&record).await;
        }
        let first = match self.append_record(record.clone(), until).await {
            Ok(partition) => return Ok(partition),
            Err(first) => first,
        };
        if now() >= until {
            return Err(first);
        }
        match (self.relay(&record).await, first) {
            (Err(NotStored::Refused), NotStored::InDoubt) => Err(NotStored::InDoubt),
            (relayed, _) => relayed,
        }
    }

    /// Appends a record, together with others that wait.
    pub(crate) async fn append_record(self: &Rc<Self>, record: Record, until: Millis) -> Outcome {
        let (reply, answer) = oneshot::channel();
        let queue = &self.accepting;
        queue.waiting.borrow_mut().push_back(Waiting {
            record,
            until,
            refusals: 0,
            doubt: false,
            sent: false,
            reply,
        });
        if !queue.running.replace(true) {
            actix_rt::spawn(drain(Rc::clone(self)));
        }
        answer.await.unwrap_or(Err(NotStored::InDoubt))
    }

    /// Asks the scheduler's node to append a record, for it may reach the store where this one
    /// does not.
    async fn relay(&self, record: &Record) -> Outcome {
        let link = self.link.borrow().clone();
        let Some(link) = link.filter(|link| link.relays()) else {
            return Err(NotStored::Refused);
        };
        let query = CellBody::Relay(Relay {
            key: record.key.to_string(),
            value: record.value.clone(),
        });
        let timeout_ms = self.settings.timing.store_timeout_ms;
        match link.call(query, timeout_ms).await {
            Ok(CellBody::RelayReply(reply)) if reply.stored => Ok(reply.partition),
            Ok(CellBody::RelayReply(reply)) if reply.refused => Err(NotStored::Refused),
            Err(syc_net::CallError::NotSent) => Err(NotStored::Refused),
            Ok(_) | Err(syc_net::CallError::NoReply) => Err(NotStored::InDoubt),
        }
    }
}

/// Appends what waits until nothing does.
async fn drain<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let queue = &node.accepting;
    loop {
        let batch = queue.take_batch();
        if batch.is_empty() {
            queue.running.set(false);
            return;
        }
        let batch_records: Vec<_> = batch.iter().map(|waiting| waiting.record.clone()).collect();
        let refused = match node.append_jobs(&batch_records).await {
            Ok(partition) => {
                for waiting in batch {
                    // A caller that left needs no answer.
                    let _left = waiting.reply.send(Ok(partition));
                }
                continue;
            }
            Err(AppendError::InDoubt(_)) => false,
            Err(_) => true,
        };
        let answers = node.store_answers();
        if !answers {
            queue.refuse_unsent();
        }
        for waiting in batch {
            retry_or_answer(queue, waiting, refused, answers);
        }
        pause(RETRY_MS).await;
    }
}

/// Sends a record again, unless that is without prospect: its caller then hears at once what is
/// certain.
fn retry_or_answer(queue: &AcceptQueue, mut waiting: Waiting, refused: bool, store_answers: bool) {
    if refused {
        waiting.refusals += 1;
    } else {
        waiting.doubt = true;
    }
    let has_prospect = store_answers || refused;
    if has_prospect && now() < waiting.until && waiting.refusals < REFUSALS_LIMIT {
        queue.waiting.borrow_mut().push_back(waiting);
        return;
    }
    let outcome = if waiting.doubt {
        NotStored::InDoubt
    } else {
        NotStored::Refused
    };
    let _left = waiting.reply.send(Err(outcome));
}
