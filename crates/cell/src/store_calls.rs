//! Calls to the store: their timeouts, hedged retries, and tracking of the store's availability.

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

/// An unanswered append is sent again after this multiple of the usual append time.
const HEDGE_FACTOR: u64 = 4;

/// Shortest wait before an unanswered append is sent again. A healthy store answers sooner.
const HEDGE_MIN_MS: u64 = 50;

/// Wait before the second and later repeats, unless the store has answered a call that was sent later. A slow
/// store spends as much time on each copy as on the original append, and later appends queue behind the copies.
const LATER_HEDGE_MS: u64 = 350;

/// How often an append is sent in total.
const APPEND_ATTEMPTS: u32 = 4;

/// Timeout of an append of jobs. The store refuses appends that would wait longer than this in the queue of a
/// partition.
const JOBS_APPEND_TIMEOUT_MS: u64 = 3_000;

/// The store counts as unavailable when it has answered nothing for this long and a call has failed since.
const UNAVAILABLE_AFTER_MS: u64 = 200;

/// Timeouts grow to this multiple of the recent answer time when the store is slow.
const LATENCY_FACTOR: u64 = 2;

/// Timeout of an append as a multiple of the usual append time. The configured store timeout is the minimum.
const TIMEOUT_FACTOR: u64 = 3;

/// Upper limit of adaptive timeouts, however slow the store is.
const TIMEOUT_MAX_MS: u64 = 1_500;

/// Assumed append time before the first answer.
const INITIAL_APPEND_MS: u64 = 15;

/// Availability and latency of the store as seen by this node.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    answers: Cell<bool>,
    last_failure_at: Cell<Millis>,
    last_answer_at: Cell<Millis>,
    /// Usual time of an append, except for appends of jobs, which admission tracks.
    append_latency: Cell<LatencyEstimate>,
    /// Usual time of answered calls. Unlike `append_latency`, it ignores unanswered calls, because an
    /// unavailable store is not a slow one.
    answer_latency: Cell<LatencyEstimate>,
    /// Send time of the most recently sent call that was answered, except for long polls.
    answered_sent_at: Cell<Millis>,
}

impl StoreHealth {
    /// Creates the initial state, which assumes that the store is available.
    pub(crate) const fn new(started_at: Millis) -> Self {
        Self {
            answers: Cell::new(true),
            last_failure_at: Cell::new(started_at),
            last_answer_at: Cell::new(started_at),
            append_latency: Cell::new(LatencyEstimate::new(INITIAL_APPEND_MS)),
            answer_latency: Cell::new(LatencyEstimate::new(0)),
            answered_sent_at: Cell::new(started_at),
        }
    }

    /// Records an answer, unless a call that was sent later was answered before it. Such a late answer does not
    /// show how long calls take now.
    fn record_answer(&self, sent_at: Millis) {
        if self.is_overtaken(sent_at) {
            return;
        }
        self.answered_sent_at.set(sent_at);
        let mut latency = self.answer_latency.get();
        latency.record(now().since(sent_at));
        self.answer_latency.set(latency);
    }

    /// Returns the timeout of a call that a healthy store answers within `min_ms`.
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

    /// Returns the usual time of an append.
    const fn append_ms(&self) -> u64 {
        self.append_latency.get().estimate_ms()
    }

    /// Returns the send time of the most recently sent call that was answered, except for long polls.
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

    /// Returns whether a call sent later was already answered. The answer of a call sent at this time was then
    /// lost; the call is not just queued in a slow store.
    fn is_overtaken(&self, sent_at: Millis) -> bool {
        self.answered_sent_at.get() > sent_at
    }
}

/// Availability of the store as seen by this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreView {
    /// Whether the store is available.
    pub answers: bool,
    /// Time since the last answer, or since the node started.
    pub answered_ms: u64,
    /// Time since the last failed call, or since the node started.
    pub failed_ms: u64,
}

/// Arguments of an append.
#[derive(Debug)]
struct AppendTarget<'a> {
    topic: Topic,
    partition: u32,
    records: &'a [Record],
    condition: &'a Condition,
}

/// Failures of the attempts of one append.
#[derive(Debug, Default)]
struct FailedAttempts {
    doubt: Option<SmolStr>,
    refusal: Option<SmolStr>,
}

impl FailedAttempts {
    /// Combines the failures. The append was not carried out only if every attempt was refused; one attempt in
    /// doubt leaves the whole append in doubt.
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
    /// Returns the availability of the store and the age of the latest answer and failure.
    #[must_use]
    pub fn store_view(&self) -> StoreView {
        let now = now();
        StoreView {
            answers: self.store_answers(),
            answered_ms: now.since(self.store.last_answer_at.get()),
            failed_ms: now.since(self.store.last_failure_at.get()),
        }
    }

    /// Returns whether the store is available.
    pub(crate) const fn store_answers(&self) -> bool {
        self.store.answers.get()
    }

    /// Returns the time of the last call that the store refused or did not answer.
    pub(crate) const fn store_failed_at(&self) -> Millis {
        self.store.last_failure_at.get()
    }

    /// Appends to a partition, with a timeout that a healthy store meets.
    ///
    /// An append with a producer's sequence number is idempotent, so it is sent again while its answer is
    /// missing. Answers get lost, and waiting for a lost one until the timeout would delay all later appends.
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
        let started_at = now();
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
        self.record_store_call("append", append_result_label(&outcome), started_at);
        outcome
    }

    /// Appends to a partition of the jobs topic, without retries. The call waits until no answer can arrive any
    /// more; by then the callers of its records have been answered.
    pub(crate) async fn append_jobs(
        &self,
        partition: u32,
        records: &[Record],
    ) -> Result<Appended, AppendError> {
        let started_at = now();
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
                let remaining =
                    Duration::from_millis(JOBS_APPEND_TIMEOUT_MS.saturating_sub(soft_limit_ms));
                let second = tokio::time::timeout(remaining, call).await;
                second.unwrap_or_else(|_elapsed| Err(timed_out()))
            }
        };
        if outcome.is_ok() {
            self.store.record_answer(started_at);
        }
        self.record_store_call("append", append_result_label(&outcome), started_at);
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

    /// Reads from the store. The timeout is `wait_ms` plus the time that a healthy store needs to answer.
    pub(crate) async fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait_ms: u64,
    ) -> Result<Page, ReadError> {
        let started_at = now();
        let min_ms = self.settings.timing.store_timeout_ms;
        let limit_ms = wait_ms + self.store.latency_timeout_ms(min_ms);
        let call = self.platform.read(topic, partition, from, wait_ms);
        let outcome = read_with_timeout(limit_ms, call).await;
        self.record_read("read", &outcome, started_at);
        outcome
    }

    /// Reads the newest record of each key in a partition.
    pub(crate) async fn newest(&self, topic: Topic, partition: u32) -> Result<Newest, ReadError> {
        let started_at = now();
        let limit_ms = self.settings.timing.full_read_timeout_ms;
        let call = self.platform.newest(topic, partition);
        let outcome = read_with_timeout(limit_ms, call).await;
        self.record_read("newest", &outcome, started_at);
        outcome
    }

    /// Reads the newest claim or heartbeat. It is a single small record, so the timeout is that of other short calls.
    pub(crate) async fn newest_claim(&self) -> Result<Newest, ReadError> {
        let started_at = now();
        let min_ms = self.settings.timing.store_timeout_ms;
        let call = self.platform.newest(Topic::Holders, 0);
        let outcome = read_with_timeout(self.store.latency_timeout_ms(min_ms), call).await;
        self.record_read("newest", &outcome, started_at);
        outcome
    }

    /// Probes the store. Long polls would notice its recovery too late.
    pub(crate) async fn probe(&self) {
        let started_at = now();
        let read = self.platform.read(Topic::Holders, 0, 0, 0);
        let min_ms = self.settings.timing.probe_timeout_ms;
        let outcome = read_with_timeout(self.store.latency_timeout_ms(min_ms), read).await;
        if outcome.is_ok() {
            self.store.record_answer(started_at);
        }
        self.record_read("probe", &outcome, started_at);
    }

    fn record_read<T>(
        &self,
        kind: &'static str,
        outcome: &Result<T, ReadError>,
        started_at: Millis,
    ) {
        let result = match outcome {
            Ok(_) => "ok",
            Err(ReadError::Gone { .. }) => "gone",
            Err(ReadError::Unavailable(_)) => "refused",
            Err(ReadError::Malformed(_)) => "malformed",
        };
        self.record_store_call(kind, result, started_at);
    }

    /// Records that a call has been unanswered for so long that the store may be unavailable.
    fn record_unanswered(&self, kind: &'static str) {
        self.store.last_failure_at.set(now());
        self.update_store_health(kind, "in_doubt");
    }

    fn record_store_call(&self, kind: &'static str, result: &'static str, started_at: Millis) {
        let ended_at = now();
        self.metrics
            .store_call(kind, result, ended_at.since(started_at));
        if matches!(result, "refused" | "in_doubt") {
            self.store.last_failure_at.set(ended_at);
        } else {
            self.store.last_answer_at.set(ended_at);
        }
        self.update_store_health(kind, result);
    }

    /// Updates whether the store counts as available.
    ///
    /// A partially failed store answers some calls and fails others at the same time. It counts as unavailable
    /// only when it has answered nothing for a while and a call has failed since.
    pub(crate) fn update_store_health(&self, kind: &'static str, result: &'static str) {
        let answered_at = self.store.last_answer_at.get();
        let has_failed_since = self.store.last_failure_at.get() > answered_at;
        let silent_ms = now().since(answered_at);
        let answers =
            !(has_failed_since && silent_ms > self.store.latency_timeout_ms(UNAVAILABLE_AFTER_MS));
        if self.store.answers.replace(answers) != answers {
            log::store_health(answers, kind, result, silent_ms);
            self.submit_queue.decide_soon();
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
