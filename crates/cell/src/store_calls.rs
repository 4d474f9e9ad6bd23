//! Calls to the store: how long each may take, when it is sent again, and whether the store answers.

use std::cell::Cell;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use smol_str::SmolStr;
use syc_admit::LatencyEstimate;
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
const HEDGE_MIN_MS: u64 = 50;

/// A second repeat waits this long, unless the store has answered something that was sent later: a slow store takes
/// each copy of an append as long as the append itself, and what comes next waits behind them.
const LATER_HEDGE_MS: u64 = 350;

/// Times that an append is sent in all.
const APPEND_ATTEMPTS: u32 = 4;

/// An append of jobs is given up after this time: the store refuses what would wait for longer in the row of a
/// partition.
const JOBS_APPEND_TIMEOUT_MS: u64 = 3_000;

/// The store is away when it has answered nothing for this long, and something failed since.
const UNAVAILABLE_AFTER_MS: u64 = 200;

/// A store that is slow is given so many times the time that its answers take.
const LATENCY_FACTOR: u64 = 2;

/// An append is given up after this many times the usual time, or the store's timeout.
const TIMEOUT_FACTOR: u64 = 3;

/// It is given up after this time however slow the store is.
const TIMEOUT_MAX_MS: u64 = 1_500;

/// Time that an append is taken to need before any was answered.
const INITIAL_APPEND_MS: u64 = 15;

/// Whether the store answers this node, and how fast.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    answers: Cell<bool>,
    last_failure_at: Cell<Millis>,
    last_answer_at: Cell<Millis>,
    /// How long appends take, but for those of jobs: admission keeps the pace of these.
    append_latency: Cell<LatencyEstimate>,
    /// How long the calls took that were answered. Unlike the pace, it says nothing of those that were not: a store
    /// that is away is not slow.
    answer_latency: Cell<LatencyEstimate>,
    /// When the latest of the calls that were answered had been sent, but for reads that may wait.
    answered_sent_at: Cell<Millis>,
}

impl StoreHealth {
    /// Nothing is known yet; the store is taken to answer.
    pub(crate) const fn new(began: Millis) -> Self {
        Self {
            answers: Cell::new(true),
            last_failure_at: Cell::new(began),
            last_answer_at: Cell::new(began),
            append_latency: Cell::new(LatencyEstimate::new(INITIAL_APPEND_MS)),
            answer_latency: Cell::new(LatencyEstimate::new(0)),
            answered_sent_at: Cell::new(began),
        }
    }

    /// Takes note of an answer, unless something that was sent later was answered before it: a single late answer says
    /// nothing of how long calls take now.
    fn record_answer(&self, sent_at: Millis) {
        if self.is_overtaken(sent_at) {
            return;
        }
        self.answered_sent_at.set(sent_at);
        let mut latency = self.answer_latency.get();
        latency.record(now().since(sent_at));
        self.answer_latency.set(latency);
    }

    /// Returns the time that a call is given which a sound store answers within the least.
    fn latency_timeout_ms(&self, min_ms: u64) -> u64 {
        let by_latency = self.answer_latency.get().estimate_ms() * LATENCY_FACTOR;
        by_latency.min(TIMEOUT_MAX_MS).max(min_ms)
    }

    fn record_append(&self, sent_at: Millis) {
        self.record_answer(sent_at);
        let mut latency = self.append_latency.get();
        latency.record(now().since(sent_at));
        self.append_latency.set(latency);
    }

    fn record_timeout(&self) {
        let mut latency = self.append_latency.get();
        latency.record_timeout();
        self.append_latency.set(latency);
    }

    /// Returns the time that an append takes.
    const fn append_ms(&self) -> u64 {
        self.append_latency.get().estimate_ms()
    }

    /// Returns when the latest of the calls that were answered had been sent, but for reads that may wait.
    pub(crate) const fn answered_sent_at(&self) -> Millis {
        self.answered_sent_at.get()
    }

    fn append_timeout_ms(&self, min_ms: u64) -> u64 {
        let by_latency = self.append_ms() * TIMEOUT_FACTOR;
        by_latency.clamp(min_ms, TIMEOUT_MAX_MS.max(min_ms))
    }

    fn hedge_ms(&self) -> u64 {
        (self.append_ms() * HEDGE_FACTOR).max(HEDGE_MIN_MS)
    }

    /// Says whether what was sent at that time has lost its answer, and does not wait in the row of a slow store.
    fn is_overtaken(&self, sent_at: Millis) -> bool {
        self.answered_sent_at.get() > sent_at
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
struct AppendTarget<'a> {
    topic: Topic,
    partition: u32,
    records: &'a [Record],
    condition: &'a Condition,
}

/// Why tries of one append failed.
#[derive(Debug, Default)]
struct FailedAttempts {
    doubt: Option<SmolStr>,
    refusal: Option<SmolStr>,
}

impl FailedAttempts {
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
    /// over holds up all that is to be written next.
    pub(crate) async fn append(
        &self,
        topic: Topic,
        partition: u32,
        records: &[Record],
        condition: &Condition,
    ) -> Result<Appended, AppendError> {
        let max_attempts = match condition {
            Condition::None | Condition::EndsAt(_) => 1,
            Condition::Producer { .. } => APPEND_ATTEMPTS,
        };
        let target = AppendTarget {
            topic,
            partition,
            records,
            condition,
        };
        let began = now();
        let limit_ms = self
            .store
            .append_timeout_ms(self.settings.timing.store_timeout_ms);
        let limit = Duration::from_millis(limit_ms);
        let call = self.append_hedged(&target, max_attempts);
        let outcome = match tokio::time::timeout(limit, call).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.store.record_timeout();
                Err(timed_out())
            }
        };
        self.record_store_call("append", append_result_label(&outcome), began);
        outcome
    }

    /// Appends to a partition of the topic of jobs, once. It is given up only when no answer can come any more: the
    /// callers of its records are answered by then.
    pub(crate) async fn append_jobs(
        &self,
        partition: u32,
        records: &[Record],
    ) -> Result<Appended, AppendError> {
        let began = now();
        let call = self
            .platform
            .append(Topic::Jobs, partition, records, &Condition::None);
        let mut call = std::pin::pin!(call);
        let min_ms = self.settings.timing.store_timeout_ms;
        let soft_limit_ms = self
            .store
            .latency_timeout_ms(min_ms)
            .min(JOBS_APPEND_TIMEOUT_MS);
        let first = tokio::time::timeout(Duration::from_millis(soft_limit_ms), call.as_mut()).await;
        let outcome = match first {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.record_unanswered("append");
                let left =
                    Duration::from_millis(JOBS_APPEND_TIMEOUT_MS.saturating_sub(soft_limit_ms));
                let second = tokio::time::timeout(left, call).await;
                second.unwrap_or_else(|_elapsed| Err(timed_out()))
            }
        };
        if outcome.is_ok() {
            self.store.record_answer(began);
        }
        self.record_store_call("append", append_result_label(&outcome), began);
        outcome
    }

    async fn append_once(&self, target: &AppendTarget<'_>) -> Result<Appended, AppendError> {
        let sent_at = now();
        let appended = self
            .platform
            .append(
                target.topic,
                target.partition,
                target.records,
                target.condition,
            )
            .await?;
        self.store.record_append(sent_at);
        Ok(appended)
    }

    async fn append_hedged(
        &self,
        target: &AppendTarget<'_>,
        max_attempts: u32,
    ) -> Result<Appended, AppendError> {
        let mut wait_ms = self.store.hedge_ms();
        let mut sent_at = now();
        let mut attempts = 1;
        let mut failed = FailedAttempts::default();
        let mut calls = FuturesUnordered::new();
        calls.push(self.append_once(target));
        loop {
            let may_repeat = attempts < max_attempts;
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
                    let is_first = attempts == 1;
                    let is_due = now().since(sent_at) >= LATER_HEDGE_MS;
                    if !is_first && !is_due && !self.store.is_overtaken(sent_at) {
                        continue;
                    }
                    wait_ms *= 2;
                }
            }
            sent_at = now();
            calls.push(self.append_once(target));
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
        let min_ms = self.settings.timing.store_timeout_ms;
        let limit_ms = wait_ms + self.store.latency_timeout_ms(min_ms);
        let call = self.platform.read(topic, partition, from, wait_ms);
        let outcome = read_with_timeout(limit_ms, call).await;
        self.record_read("read", &outcome, began);
        outcome
    }

    /// Reads the newest record of each key from the store.
    pub(crate) async fn newest(&self, topic: Topic, partition: u32) -> Result<Newest, ReadError> {
        let began = now();
        let limit_ms = self.settings.timing.full_read_timeout_ms;
        let call = self.platform.newest(topic, partition);
        let outcome = read_with_timeout(limit_ms, call).await;
        self.record_read("newest", &outcome, began);
        outcome
    }

    /// Asks the store whether it answers again; calls that wait for it find out late.
    pub(crate) async fn probe(&self) {
        let began = now();
        let read = self.platform.read(Topic::Holders, 0, 0, 0);
        let min_ms = self.settings.timing.probe_timeout_ms;
        let outcome = read_with_timeout(self.store.latency_timeout_ms(min_ms), read).await;
        if outcome.is_ok() {
            self.store.record_answer(began);
        }
        self.record_read("probe", &outcome, began);
    }

    fn record_read<T>(&self, kind: &'static str, outcome: &Result<T, ReadError>, began: Millis) {
        let result = match outcome {
            Ok(_) => "ok",
            Err(ReadError::Gone { .. }) => "gone",
            Err(ReadError::Unavailable(_)) => "refused",
            Err(ReadError::Malformed(_)) => "malformed",
        };
        self.record_store_call(kind, result, began);
    }

    /// Takes note that a call has had no answer for so long that the store may be away.
    fn record_unanswered(&self, kind: &'static str) {
        self.store.last_failure_at.set(now());
        self.update_store_health(kind, "in_doubt");
    }

    fn record_store_call(&self, kind: &'static str, result: &'static str, began: Millis) {
        let ended = now();
        self.metrics.store_call(kind, result, ended.since(began));
        if matches!(result, "refused" | "in_doubt") {
            self.store.last_failure_at.set(ended);
        } else {
            self.store.last_answer_at.set(ended);
        }
        self.update_store_health(kind, result);
    }

    /// Judges whether the store answers.
    ///
    /// A store that is down in part fails some calls and answers others at the same time; it counts
    /// as away only when nothing was answered for a while and something failed since.
    pub(crate) fn update_store_health(&self, kind: &'static str, result: &'static str) {
        let answered_at = self.store.last_answer_at.get();
        let failed_since = self.store.last_failure_at.get() > answered_at;
        let silent_ms = now().since(answered_at);
        let answers =
            !(failed_since && silent_ms > self.store.latency_timeout_ms(UNAVAILABLE_AFTER_MS));
        if self.store.answers.replace(answers) != answers {
            log::store_health(answers, kind, result, silent_ms);
            self.submissions.decide_soon();
        }
    }
}

const fn timed_out() -> AppendError {
    AppendError::InDoubt(SmolStr::new_static("timed out"))
}

const fn append_result_label(outcome: &Result<Appended, AppendError>) -> &'static str {
    match outcome {
        Ok(_) => "ok",
        Err(AppendError::Refused(_)) => "refused",
        Err(AppendError::InDoubt(_)) => "in_doubt",
        Err(_) => "conflict",
    }
}

async fn read_with_timeout<T, F>(limit_ms: u64, call: F) -> Result<T, ReadError>
where
    F: Future<Output = Result<T, ReadError>>,
{
    let limit = Duration::from_millis(limit_ms);
    match tokio::time::timeout(limit, call).await {
        Ok(outcome) => outcome,
        Err(_elapsed) => Err(ReadError::Unavailable(SmolStr::new_static("timed out"))),
    }
}
