//! The state that a scheduler leaves in the store, as a node reads it ahead of a takeover.
//!
//! The load that this handles: reading thousands of workers and hundreds of open jobs takes longer than the election. A
//! candidate reads the state as soon as the role may become free, and after its election only what was appended since.
//! Nothing that was read ahead is acted on before that.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use syc_types::Millis;
use tokio::sync::Notify;

use crate::Node;
use crate::clock::now;
use crate::log;
use crate::ports::Newest;
use crate::ports::Page;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Topic;

/// Partitions of the progress topic. If one rejects appends, the other is used; a successor fences and reads both.
pub(crate) const PROGRESS_PARTITIONS: u32 = 2;

/// Only candidates up to this rank read the state ahead, since each read has a cost.
const READING_CANDIDATES: u32 = 2;

/// State that was read longer ago than this is not used: reading what was appended since would take as long as reading
/// everything.
const MAX_AGE_MS: u64 = 1_200;

/// Longest wait of a takeover for a read ahead that is in progress. Beginning anew would hardly end sooner.
const PENDING_READ_LIMIT_MS: u64 = 700;

/// Shortest time between two reads ahead.
const READ_INTERVAL_MS: u64 = 600;

/// The newest records of each partition that a takeover reads.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    partitions: RefCell<HashMap<(Topic, u32), Newest>>,
}

/// State that was read, and when that began.
#[derive(Debug)]
struct DatedState {
    began_at: Millis,
    state: StoredState,
}

/// The state that a node reads ahead of a takeover.
#[derive(Debug, Default)]
pub(crate) struct ReadAhead {
    read: RefCell<Option<DatedState>>,
    is_reading: Cell<bool>,
    /// Notifies that a read has ended.
    ended: Notify,
    /// Notifies that the scheduler role may become free.
    wanted: Notify,
}

impl ReadAhead {
    /// Asks for the state, because the scheduler role may become free.
    pub(crate) fn request(&self) {
        self.wanted.notify_one();
    }

    /// Returns whether the state was read and can still be used.
    pub(crate) fn is_done(&self) -> bool {
        let read = self.read.borrow();
        let began_at = read.as_ref().map(|read| read.began_at);
        began_at.is_some_and(|at| now().since(at) < MAX_AGE_MS)
    }

    /// Returns whether the state was read or is being read.
    pub(crate) fn is_begun(&self) -> bool {
        self.is_reading.get() || self.is_done()
    }

    /// Takes the state, and waits for it if it is being read. It is empty if there is none, or if it is too old.
    pub(crate) async fn take(&self) -> StoredState {
        if self.is_reading.get() {
            let limit = Duration::from_millis(PENDING_READ_LIMIT_MS);
            let _ended = tokio::time::timeout(limit, self.ended.notified()).await;
        }
        let is_usable = self.is_done();
        let read = self.read.borrow_mut().take();
        let usable = read.filter(|_| is_usable);
        usable.map(|read| read.state).unwrap_or_default()
    }
}

impl StoredState {
    /// Returns whether nothing was read.
    pub(crate) fn is_empty(&self) -> bool {
        self.partitions.borrow().is_empty()
    }

    /// Takes the newest records of a partition.
    pub(crate) fn take(&self, topic: Topic, partition: u32) -> Option<Newest> {
        self.partitions.borrow_mut().remove(&(topic, partition))
    }
}

impl Newest {
    /// Adds records that were appended after these were read.
    pub fn extend(&mut self, page: Page) {
        let mut index: HashMap<_, _> = HashMap::new();
        for (at, (_, record)) in self.records.iter().enumerate() {
            index.insert(record.key.clone(), at);
        }
        for (offset, record) in (page.first..).zip(page.records) {
            self.read_from = offset + 1;
            if record.is_placeholder() {
                self.records.push((offset, record));
                continue;
            }
            if let Some(at) = index.get(&record.key) {
                self.records[*at] = (offset, record);
            } else {
                index.insert(record.key.clone(), self.records.len());
                self.records.push((offset, record));
            }
        }
        // A record without a value removes its key.
        self.records
            .retain(|(_, record)| record.is_placeholder() || !record.value.is_empty());
    }
}

/// Reads the state ahead whenever the role may become free, if this node is among the first candidates.
pub(crate) async fn run_read_ahead<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut read_at = None;
    loop {
        node.read_ahead.wanted.notified().await;
        let rank = node.candidate_rank.get().unwrap_or(0);
        let is_reader = (1..=READING_CANDIDATES).contains(&rank);
        let is_recent = read_at.is_some_and(|at: Millis| now().since(at) < READ_INTERVAL_MS);
        if !is_reader || is_recent || node.stopping.get() || node.leader().is_some() {
            continue;
        }
        let began_at = now();
        read_at = Some(began_at);
        node.read_ahead.is_reading.set(true);
        if let Ok(state) = read_all(&node).await {
            log::state_read_ahead(rank, now().since(began_at));
            *node.read_ahead.read.borrow_mut() = Some(DatedState { began_at, state });
            node.contact_wanted.notify_one();
        }
        node.read_ahead.is_reading.set(false);
        node.read_ahead.ended.notify_waiters();
    }
}

async fn read_all<P>(node: &Node<P>) -> Result<StoredState, ReadError>
where
    P: Platform,
{
    let mut partitions = vec![(Topic::Workers, 0), (Topic::Operators, 0)];
    partitions.extend((0..PROGRESS_PARTITIONS).map(|partition| (Topic::Progress, partition)));
    let job_partitions = 0..node.settings.job_partitions();
    partitions.extend(job_partitions.map(|partition| (Topic::Jobs, partition)));
    let reads = partitions.into_iter().map(async |(topic, partition)| {
        let newest = node.newest(topic, partition).await?;
        Ok::<_, ReadError>(((topic, partition), newest))
    });
    let partitions = try_join_all(reads).await?;
    Ok(StoredState {
        partitions: RefCell::new(partitions.into_iter().collect()),
    })
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Reads what was appended to a partition since these records were read.
    pub(crate) async fn catch_up(
        &self,
        topic: Topic,
        partition: u32,
        mut newest: Newest,
    ) -> Result<Newest, ReadError> {
        loop {
            let page = self.read(topic, partition, newest.read_from, 0).await?;
            let end = page.end;
            let is_empty = page.records.is_empty();
            newest.extend(page);
            if is_empty || newest.read_from >= end {
                return Ok(newest);
            }
        }
    }
}
