//! Calls to the store: how long each may take, when it is sent again, and whether the store answers.

use std::cell::Cell;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smol_str::SmolStr;
use syc_types::Millis;

use crate::Node;
use crate::clock::now;
use crate::log;
use crate::ports::AppendError;
use crate::ports::Appended;
use crate::ports::Condition;
use crate::ports::Newest;
use crate::ports::Page;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Record;
use crate::ports::Topic;

/// An append without an answer is sent again after this many times the usual time.
const HEDGE_FACTOR: u64 = 4;

/// It is sent again no sooner than this: above the time of a sound answer.
const HEDGE_LEAST_MS: u64 = 50;

/// Times that an append is sent in all; the waits between double.
const APPEND_TRIES: u32 = 4;

/// The store is away when it has answered nothing for this long, and something failed since.
const AWAY_MS: u64 = 200;

/// Part of the way that the usual time moves down to a shorter one, in hundredths. It moves up at
/// once: a slow store takes each copy of an append as long as the append itself.
const USUAL_STEP: u64 = 25;

/// An append is given up after this many times the usual time, or the store's timeout.
const TIMEOUT_FACTOR: u64 = 3;

/// How much more time an append is taken to need after one that was not answered.
const UNANSWERED_FACTOR: u64 = 3;

/// It is given up after this time however slow the store is.
const TIMEOUT_MOST_MS: u64 = 1_500;

/// Time that an append is taken to need before any was answered.
const FIRST_USUAL_MS: u64 = 15;

/// Whether the store answers this node, and how fast.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    answers: Cell<bool>,
    last_failure_at: Cell<Millis>,
    last_answer_at: Cell<Millis>,
    /// Smoothed time of appends, in hundredths of a millisecond.
    usual: Cell<u64>,
}

impl StoreHealth {
    /// Nothing is known yet; the store is taken to answer.
    pub(crate) const fn new(began: Millis) -> Self {
        Self {
            answers: Cell::new(true),
            last_failure_at: Cell::new(began),
            last_answer_at: Cell::new(began),
            usual: Cell::new(FIRST_USUAL_MS * 100),
        }
    }

    fn took(&self, time_ms: u64) {
        let moved = self.usual.get() * (100 - USUAL_STEP) + time_ms * 100 * USUAL_STEP;
        self.usual.set((moved / 100).max(time_ms * 100));
    }

    /// Takes note that an append was not answered at all.
    ///
    /// Once that is a lost answer; several times in a row, the store is slower than it is given
    /// time for.
    fn got_none(&self) {
        let slower = self.usual.get() * UNANSWERED_FACTOR;
        self.usual.set(slower.min(TIMEOUT_MOST_MS * 100));
    }

    fn timeout_ms(&self, least_ms: u64) -> u64 {
        let by_usual = self.usual.get() / 100 * TIMEOUT_FACTOR;
        by_usual.clamp(least_ms, TIMEOUT_MOST_MS.max(least_ms))
    }

    fn hedge_ms(&self) -> u64 {
        (self.usual.get() / 100 * HEDGE_FACTOR).max(HEDGE_LEAST_MS)
    }
}

/// What a node believes of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreView {
    /// Whether it answers.
    pub answers: bool,
    /// Time since it last answered, or since the node began.
    pub answered_ms: u64,
    /// Time since a call last failed, or since the node began.
    pub failed_ms: u64,
}

/// What is to be appended, and where.
#[derive(Debug)]
struct Target<'a> {
    topic: Topic,
    records: &'a [Record],
    condition: &'a Condition,
    /// Partitions that may take it, in the order in which they are tried.
    partitions: &'a [u32],
}

impl Target<'_> {
    fn partition(&self, attempt: u32) -> u32 {
        let count = u32::try_from(self.partitions.len()).unwrap_or(1).max(1);
        let index = usize::try_from(attempt % count).unwrap_or(0);
        self.partitions.get(index).copied().unwrap_or(0)
    }
}

/// Why tries of one append failed.
#[derive(Debug, Default)]
struct Failed {
    doubt: Option<SmolStr>,
    refusal: Option<SmolStr>,
}

impl Failed {
    /// One try in doubt leaves the whole in doubt; only if each was refused, nothing was done.
    fn into_error(self) -> AppendError {
        match (self.doubt, self.refusal) {
            (Some(reason), _) => AppendError::InDoubt(reason),
            (None, Some(reason)) => AppendError::Refused(reason),
            (None, None) => AppendError::InDoubt(SmolStr::new_static("no answer")),
        }
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Returns what this node believes of the store, and how old that is.
    #[must_use]
    pub fn store_view(&self) -> StoreView {
        let now = now();
        StoreView {
            answers: self.store_answers(),
            answered_ms: now.since(self.store.last_answer_at.get()),
            failed_ms: now.since(self.store.last_failure_at.get()),
        }
    }

    /// Says whether the store answered last time.
    pub(crate) const fn store_answers(&self) -> bool {
        self.store.answers.get()
    }

    /// Returns when the store last failed to answer.
    pub(crate) const fn store_failed_at(&self) -> Millis {
        self.store.last_failure_at.get()
    }

    /// Appends to a partition, within the time that a sound store needs.
    ///
    /// An append that a producer numbers is carried out once, however often it is sent; it is sent
    /// again while its answer is missing: answers get lost, and to wait for one until the time is
    /// over costs a submit its caller's patience.
    pub(crate) async fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: &[Record],
        condition: &Condition,
    ) -> Result<Appended, AppendError> {
        let tries = match condition {
            Condition::None | Condition::EndsAt(_) => 1,
            Condition::Producer { .. } => APPEND_TRIES,
        };
        let target = Target {
            topic,
            records,
            condition,
            partitions: &[partition],
        };
        let (_, appended) = self.append_to(&target, tries).await?;
        Ok(appended)
    }

    /// Appends to the topic of jobs and returns the partition that took the records.
    ///
    /// The node's own partition is tried first. Records of jobs do no harm in two partitions, so
    /// each further try goes to another: a store can be down in part.
    pub(crate) async fn append_jobs(&self, records: &[Record]) -> Result<u32, AppendError> {
        let count = self.settings.job_partitions();
        let first = self.partition.get();
        let partitions: Vec<_> = (0..count).map(|step| (first + step) % count).collect();
        let target = Target {
            topic: Topic::Jobs,
            records,
            condition: &Condition::None,
            partitions: &partitions,
        };
        let (partition, _) = self.append_to(&target, APPEND_TRIES).await?;
        self.partition.set(partition);
        Ok(partition)
    }

    async fn append_to(
        &self,
        target: &Target<'_>,
        tries: u32,
    ) -> Result<(u32, Appended), AppendError> {
        let began = now();
        let limit_ms = self.store.timeout_ms(self.settings.timing.store_timeout_ms);
        let limit = Duration::from_millis(limit_ms);
        let call = self.append_hedged(target, tries);
        let outcome = match tokio::time::timeout(limit, call).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.store.got_none();
                Err(AppendError::InDoubt(SmolStr::new_static("timed out")))
            }
        };
        let result = match &outcome {
            Ok(_) => "ok",
            Err(AppendError::Refused(_)) => "refused",
            Err(AppendError::InDoubt(_)) => "in_doubt",
            Err(_) => "conflict",
        };
        self.note_store("append", result, began);
        outcome
    }

    async fn append_once(
        &self,
        target: &Target<'_>,
        attempt: u32,
    ) -> Result<(u32, Appended), AppendError> {
        let partition = target.partition(attempt);
        let sent_at = now();
        let appended = self
            .platform
            .append(target.topic, partition, target.records, target.condition)
            .await?;
        self.store.took(now().since(sent_at));
        Ok((partition, appended))
    }

    async fn append_hedged(
        &self,
        target: &Target<'_>,
        tries: u32,
    ) -> Result<(u32, Appended), AppendError> {
        let mut wait_ms = self.store.hedge_ms();
        let mut attempts = 1;
        let mut failed = Failed::default();
        let mut calls = FuturesUnordered::new();
        calls.push(self.append_once(target, 0));
        loop {
            let may_repeat = attempts < tries;
            tokio::select! {
                Some(outcome) = calls.next() => {
                    match outcome {
                        Err(AppendError::InDoubt(reason)) => failed.doubt = Some(reason),
                        Err(AppendError::Refused(reason)) => failed.refusal = Some(reason),
                        decided => return decided,
                    }
                    if !calls.is_empty() {
                        continue;
                    }
                    if !may_repeat {
                        return Err(failed.into_error());
                    }
                }
                () = tokio::time::sleep(Duration::from_millis(wait_ms)), if may_repeat => {
                    wait_ms *= 2;
                }
            }
            calls.push(self.append_once(target, attempts));
            attempts += 1;
        }
    }

    /// Reads from the store, within the wait and the time that a sound store needs.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait_ms: u64,
    ) -> Result<Page, ReadError> {
        let began = now();
        let limit_ms = wait_ms + self.settings.timing.store_timeout_ms;
        let call = self.platform.read(topic, partition, from, wait_ms);
        let outcome = within(limit_ms, call).await;
        self.note_read("read", &outcome, began);
        outcome
    }

    /// Reads the newest record of each key from the store.
    pub(crate) async fn newest(&self, topic: Topic, partition: u32) -> Result<Newest, ReadError> {
        let began = now();
        let limit_ms = self.settings.timing.whole_read_timeout_ms;
        let call = self.platform.newest(topic, partition);
        let outcome = within(limit_ms, call).await;
        self.note_read("newest", &outcome, began);
        outcome
    }

    /// Asks the store whether it answers again; calls that wait for it find out late.
    pub(crate) async fn probe(&self) {
        let began = now();
        let read = self.platform.read(Topic::Holders, 0, 0, 0);
        let outcome = within(self.settings.timing.probe_timeout_ms, read).await;
        self.note_read("probe", &outcome, began);
    }

    fn note_read<T>(&self, kind: &'static str, outcome: &Result<T, ReadError>, began: Millis) {
        let result = match outcome {
            Ok(_) => "ok",
            Err(ReadError::Gone { .. }) => "gone",
            Err(ReadError::Unavailable(_)) => "refused",
            Err(ReadError::Malformed(_)) => "malformed",
        };
        self.note_store(kind, result, began);
    }

    fn note_store(&self, kind: &'static str, result: &'static str, began: Millis) {
        let ended = now();
        self.metrics.store_call(kind, result, ended.since(began));
        if matches!(result, "refused" | "in_doubt") {
            self.store.last_failure_at.set(ended);
        } else {
            self.store.last_answer_at.set(ended);
        }
        self.review_store(kind, result);
    }

    /// Judges whether the store answers.
    ///
    /// A store that is down in part fails some calls and answers others at the same time; it counts
    /// as away only when nothing was answered for a while and something failed since.
    pub(crate) fn review_store(&self, kind: &'static str, result: &'static str) {
        let answered_at = self.store.last_answer_at.get();
        let failed_since = self.store.last_failure_at.get() > answered_at;
        let silent_ms = now().since(answered_at);
        let answers = !(failed_since && silent_ms > AWAY_MS);
        if self.store.answers.replace(answers) != answers {
            log::store_health(answers, kind, result, silent_ms);
        }
    }
}

async fn within<T, F>(limit_ms: u64, call: F) -> Result<T, ReadError>
where
    F: Future<Output = Result<T, ReadError>>,
{
    let limit = Duration::from_millis(limit_ms);
    match tokio::time::timeout(limit, call).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(ReadError::Unavailable(SmolStr::new_static("timed out"))),
    }
}
