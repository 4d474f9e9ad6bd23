//! Appending to the log: records wait in a queue, and a caller waits a bounded time.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use syc_coord::AppendOptions;
use syc_coord::Urgency;
use syc_coord::Waiting;
use syc_coord::records::Content;
use syc_coord::records::Record;
use syc_platform::AppendError;
use syc_platform::LogService;
use syc_types::Millis;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::log_writer_task;

/// Records that may wait; a further one is refused.
const QUEUE_RECORDS: usize = 65_536;

type Reply = oneshot::Sender<Result<u64, AppendError>>;

/// Hands records to the task that appends them.
#[derive(Debug, Clone)]
pub struct LogWriter {
    shared: Rc<Shared>,
}

/// What the callers and the appending task share.
#[derive(Debug)]
pub struct Shared {
    /// Time that a caller waits for its record.
    pub wait_ms: u64,
    /// The bounds in force.
    pub options: AppendOptions,
    /// Appends a second that this daemon may sustain.
    pub appends_per_s: Cell<u64>,
    /// Wakes the appending task.
    pub wake: Notify,
    /// Whether the last append was answered.
    pub available: Cell<bool>,
    /// Appends tried so far.
    pub appends: Cell<u64>,
    /// Records of the appends that were answered.
    pub appended_records: Cell<u64>,
    /// An offset that was known to be an end of the log.
    pub known_end: Cell<u64>,
    queue: RefCell<VecDeque<Queued>>,
    next_ticket: Cell<u64>,
    started: Instant,
}

/// A record that waits.
#[derive(Debug)]
pub struct Queued {
    /// The record.
    pub record: Record,
    /// Who hears what became of it.
    pub reply: Reply,
    ticket: u64,
    bytes: usize,
    urgency: Urgency,
    since: Millis,
}

impl LogWriter {
    /// Starts the appending task on the current arbiter.
    pub fn start<L>(log: L, options: AppendOptions, wait_ms: u64) -> Self
    where
        L: LogService + 'static,
    {
        let shared = Rc::new(Shared {
            wait_ms,
            options,
            appends_per_s: Cell::new(options.appends_per_s),
            wake: Notify::new(),
            available: Cell::new(true),
            appends: Cell::new(0),
            appended_records: Cell::new(0),
            known_end: Cell::new(0),
            queue: RefCell::default(),
            next_ticket: Cell::new(0),
            started: Instant::now(),
        });
        actix_rt::spawn(log_writer_task::run(log, Rc::clone(&shared)));
        Self { shared }
    }

    /// Returns the number of appends tried so far.
    pub fn appends(&self) -> u64 {
        self.shared.appends.get()
    }

    /// Returns the number of records in the appends that were answered.
    pub fn appended_records(&self) -> u64 {
        self.shared.appended_records.get()
    }

    /// Shares the appends a second of all entry VMs among so many.
    pub fn share(&self, appends_per_s: u64, members: usize) {
        let members = u64::try_from(members).unwrap_or(u64::MAX).max(1);
        self.shared
            .appends_per_s
            .set((appends_per_s / members).max(1));
        self.shared.wake.notify_one();
    }

    /// Says whether the last append was answered.
    pub fn available(&self) -> bool {
        self.shared.available.get()
    }

    /// Takes note of an end of the log that a reader has seen.
    pub fn saw_end(&self, end: u64) {
        self.shared.saw_end(end);
    }

    /// Appends a record with a new id and returns its offset.
    pub async fn append(&self, content: Content) -> Result<u64, AppendError> {
        let urgency = Urgency::of(&content);
        self.append_record(record(Uuid::now_v7(), content), urgency)
            .await
    }

    /// Appends a record and returns its offset.
    ///
    /// After a bounded wait, `Refused` says that the record surely does not count, and `InDoubt`
    /// that its append is still being settled.
    pub async fn append_record(
        &self,
        record: Record,
        urgency: Urgency,
    ) -> Result<u64, AppendError> {
        let (reply, done) = oneshot::channel();
        let Some(ticket) = self.shared.push(record, urgency, reply) else {
            return Err(AppendError::Refused("too many records wait".to_owned()));
        };
        let wait = Duration::from_millis(self.shared.wait_ms);
        match tokio::time::timeout(wait, done).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_closed)) => Err(AppendError::InDoubt("the writer has stopped".to_owned())),
            Err(_elapsed) if self.shared.withdraw(ticket) => {
                Err(AppendError::Refused("the log is not available".to_owned()))
            }
            Err(_elapsed) => Err(AppendError::InDoubt("the log does not answer".to_owned())),
        }
    }
}

impl Shared {
    /// Returns the time since the start, on the monotonic clock.
    pub fn now(&self) -> Millis {
        let elapsed_ms = self.started.elapsed().as_millis();
        Millis(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Takes note of an end of the log.
    pub fn saw_end(&self, end: u64) {
        self.known_end.set(self.known_end.get().max(end));
    }

    /// Returns what waits.
    pub fn waiting(&self) -> Waiting {
        let mut waiting = Waiting::default();
        for queued in &*self.queue.borrow() {
            waiting.records += 1;
            waiting.bytes += queued.bytes;
            let since = match queued.urgency {
                Urgency::Urgent => &mut waiting.urgent_since,
                Urgency::Prompt => &mut waiting.prompt_since,
                Urgency::Relaxed => &mut waiting.relaxed_since,
            };
            since.get_or_insert(queued.since);
            if waiting.records >= self.options.group_records {
                break;
            }
        }
        waiting
    }

    /// Takes the records of the next group out of the queue.
    pub fn take_group(&self) -> Vec<Queued> {
        let mut queue = self.queue.borrow_mut();
        let mut group = Vec::new();
        let mut bytes = 0;
        while let Some(next) = queue.front() {
            bytes += next.bytes;
            let full = group.len() >= self.options.group_records
                || (bytes > self.options.group_bytes && !group.is_empty());
            if full {
                break;
            }
            group.extend(queue.pop_front());
        }
        group
    }

    /// Puts records that the log surely did not take back to the front of the queue.
    pub fn put_back(&self, group: Vec<Queued>) {
        let mut queue = self.queue.borrow_mut();
        for queued in group.into_iter().rev() {
            if queued.reply.is_closed() {
                continue;
            }
            queue.push_front(queued);
        }
    }

    fn push(&self, record: Record, urgency: Urgency, reply: Reply) -> Option<u64> {
        if self.queue.borrow().len() >= QUEUE_RECORDS {
            return None;
        }
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let bytes = serde_json::to_vec(&record).map_or(0, |json| json.len());
        self.queue.borrow_mut().push_back(Queued {
            record,
            reply,
            ticket,
            bytes,
            urgency,
            since: self.now(),
        });
        self.wake.notify_one();
        Some(ticket)
    }

    fn withdraw(&self, ticket: u64) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some(position) = queue.iter().position(|queued| queued.ticket == ticket) else {
            return false;
        };
        queue.remove(position).is_some()
    }
}

/// Makes a record that is written now.
pub fn record(id: Uuid, content: Content) -> Record {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    Record {
        id,
        at_ms: u64::try_from(at_ms).unwrap_or(u64::MAX),
        content,
    }
}
