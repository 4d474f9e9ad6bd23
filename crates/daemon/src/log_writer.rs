//! Group commit: records that come close together share one append.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use syc_coord::records::Content;
use syc_coord::records::Group;
use syc_coord::records::Record;
use syc_obs::catalogue;
use syc_obs::emit;
use syc_platform::AppendError;
use syc_platform::LogService;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use uuid::Uuid;

/// Most records of one append.
const GROUP_RECORDS: usize = 512;

type Reply = oneshot::Sender<Result<u64, AppendError>>;

/// Hands records to the task that appends them.
#[derive(Debug, Clone)]
pub struct LogWriter {
    queue: mpsc::UnboundedSender<(Record, Reply)>,
    appends: Rc<Cell<u64>>,
}

impl LogWriter {
    /// Starts the appending task on the current arbiter.
    pub fn start<L>(log: L, group_commit_ms: u64) -> Self
    where
        L: LogService + 'static,
    {
        let (queue, records) = mpsc::unbounded_channel();
        let appends = Rc::new(Cell::new(0));
        actix_rt::spawn(run(log, records, group_commit_ms, Rc::clone(&appends)));
        Self { queue, appends }
    }

    /// Returns the number of appends tried so far.
    pub fn appends(&self) -> u64 {
        self.appends.get()
    }

    /// Appends a record with a new id and returns its offset.
    pub async fn append(&self, content: Content) -> Result<u64, AppendError> {
        self.append_record(record(Uuid::now_v7(), content)).await
    }

    /// Appends a record and returns its offset.
    pub async fn append_record(&self, record: Record) -> Result<u64, AppendError> {
        let (reply, done) = oneshot::channel();
        if self.queue.send((record, reply)).is_err() {
            return Err(AppendError::Refused("the writer has stopped".to_owned()));
        }
        match done.await {
            Ok(outcome) => outcome,
            Err(_closed) => Err(AppendError::InDoubt("the writer has stopped".to_owned())),
        }
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

async fn run<L>(
    log: L,
    mut queue: mpsc::UnboundedReceiver<(Record, Reply)>,
    group_commit_ms: u64,
    appends: Rc<Cell<u64>>,
) where
    L: LogService,
{
    while let Some(first) = queue.recv().await {
        let mut batch = vec![first];
        actix_rt::time::sleep(Duration::from_millis(group_commit_ms)).await;
        while batch.len() < GROUP_RECORDS
            && let Ok(next) = queue.try_recv()
        {
            batch.push(next);
        }
        let (records, replies): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
        appends.set(appends.get() + 1);
        let outcome = append(&log, Group { records }).await;
        if let Err(AppendError::InDoubt(reason)) = &outcome {
            emit(catalogue::APPEND_IN_DOUBT, format_args!("{reason}"));
        }
        for reply in replies {
            let _ = reply.send(outcome.clone());
        }
    }
}

async fn append<L>(log: &L, group: Group) -> Result<u64, AppendError>
where
    L: LogService,
{
    let bytes = group
        .to_bytes()
        .map_err(|source| AppendError::Refused(source.to_string()))?;
    log.append(Bytes::from(bytes)).await
}
