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
const HEDGE_LEAST_MS: u64 = 50;

/// A second repeat waits this long, unless the store has answered something that was sent later: a slow store takes
/// each copy of an append as long as the append itself, and what comes next waits behind them.
const HEDGE_SLOW_MS: u64 = 350;

/// Times that an append is sent in all.
const APPEND_TRIES: u32 = 4;

/// An append of jobs is given up after this time: the store refuses what would wait for longer in the row of a
/// partition.
const JOBS_LIMIT_MS: u64 = 3_000;

/// The store is away when it has answered nothing for this long, and something failed since.
const AWAY_MS: u64 = 200;

/// A store that is slow is given so many times the time that its answers take.
const SLOW_FACTOR: u64 = 2;

/// An append is given up after this many times the usual time, or the store's timeout.
const TIMEOUT_FACTOR: u64 = 3;

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
    /// How long appends take, but for those of jobs: admission keeps the pace of these.
    pace: Cell<LatencyEstimate>,
    /// How long the calls took that were answered. Unlike the pace, it says nothing of those that were not: a store
    /// that is away is not slow.
    answers_took: Cell<LatencyEstimate>,
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
            pace: Cell::new(LatencyEstimate::new(FIRST_USUAL_MS)),
            answers_took: Cell::new(LatencyEstimate::new(0)),
            answered_sent_at: Cell::new(began),
        }
    }

    /// Takes note of an answer, unless something that was sent later was answered before it: a single late answer says
    /// nothing of how long calls take now.
    fn note_answer(&self, sent_at: Millis) {
        if self.is_lost(sent_at) {
            return;
        }
        self.answered_sent_at.set(sent_at);
        let mut took = self.answers_took.get();
        took.record(now().since(sent_at));
        self.answers_took.set(took);
    }

    /// Returns the time that a call is given which a sound store answers within the least.
    fn limit_ms(&self, least_ms: u64) -> u64 {
        let by_answers = self.answers_took.get().estimate_ms() * SLOW_FACTOR;
        by_answers.min(TIMEOUT_MOST_MS).max(least_ms)
    }

    fn took(&self, sent_at: Millis) {
        self.note_answer(sent_at);
        let mut pace = self.pace.get();
        pace.record(now().since(sent_at));
        self.pace.set(pace);
    }

    fn got_none(&self) {
        let mut pace = self.pace.get();
        pace.record_timeout();
        self.pace.set(pace);
    }

    /// Returns the time that an append takes.
    const fn append_ms(&self) -> u64 {
        self.pace.get().estimate_ms()
    }

    /// Returns when the latest of the calls that were answered had been sent, but for reads that may wait.
    pub(crate) const fn answered_sent_at(&self) -> Millis {
        self.answered_sent_at.get()
    }

    fn timeout_ms(&self, least_ms: u64) -> u64 {
        let by_usual = self.append_ms() * TIMEOUT_FACTOR;
        by_usual.clamp(least_ms, TIMEOUT_MOST_MS.max(least_ms))
    }

    fn hedge_ms(&self) -> u64 {
        (self.append_ms() * HEDGE_FACTOR).max(HEDGE_LEAST_MS)
    }

    /// Says whether what was sent at that time has lost its answer, and does not wait in the row of a slow store.
    fn is_lost(&self, sent_at: Millis) -> bool {
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
struct Target<'a> {
    topic: Topic,
    partition: u32,
    records: &'a [Record],
    condition: &'a Condition,
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
    /// over holds up all that is to be written next.
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
            partition,
            records,
            condition,
        };
        let began = now();
        let limit_ms = self.store.timeout_ms(self.settings.timing.store_timeout_ms);
        let limit = Duration::from_millis(limit_ms);
        let call = self.append_hedged(&target, tries);
        let outcome = match tokio::time::timeout(limit, call).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.store.got_none();
                Err(timed_out())
            }
        };
        self.note_store("append", result_of(&outcome), began);
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
        let least_ms = self.settings.timing.store_timeout_ms;
        let early_ms = self.store.limit_ms(least_ms).min(JOBS_LIMIT_MS);
        let early = tokio::time::timeout(Duration::from_millis(early_ms), call.as_mut()).await;
        let outcome = match early {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.note_unanswered("append");
                let left = Duration::from_millis(JOBS_LIMIT_MS.saturating_sub(early_ms));
                let late = tokio::time::timeout(left, call).await;
                late.unwrap_or_else(|_elapsed| Err(timed_out()))
            }
        };
        if outcome.is_ok() {
            self.store.note_answer(began);
        }
        self.note_store("append", result_of(&outcome), began);
        outcome
    }

    async fn append_once(&self, target: &Target<'_>) -> Result<Appended, AppendError> {
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
        self.store.took(sent_at);
        Ok(appended)
    }

    async fn append_hedged(
        &self,
        target: &Target<'_>,
        tries: u32,
    ) -> Result<Appended, AppendError> {
        let mut wait_ms = self.store.hedge_ms();
        let mut sent_at = now();
        let mut attempts = 1;
        let mut failed = Failed::default();
        let mut calls = FuturesUnordered::new();
        calls.push(self.append_once(target));
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
                    let is_first = attempts == 1;
                    let is_due = now().since(sent_at) >= HEDGE_SLOW_MS;
                    if !is_first && !is_due && !self.store.is_lost(sent_at) {
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
        let least_ms = self.settings.timing.store_timeout_ms;
        let limit_ms = wait_ms + self.store.limit_ms(least_ms);
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
        let least_ms = self.settings.timing.probe_timeout_ms;
        let outcome = within(self.store.limit_ms(least_ms), read).await;
        if outcome.is_ok() {
            self.store.note_answer(began);
        }
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

    /// Takes note that a call has had no answer for so long that the store may be away.
    fn note_unanswered(&self, kind: &'static str) {
        self.store.last_failure_at.set(now());
        self.review_store(kind, "in_doubt");
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
        let answers = !(failed_since && silent_ms > self.store.limit_ms(AWAY_MS));
        if self.store.answers.replace(answers) != answers {
            log::store_health(answers, kind, result, silent_ms);
            self.accepting.look_soon();
        }
    }
}

const fn timed_out() -> AppendError {
    AppendError::InDoubt(SmolStr::new_static("timed out"))
}

const fn result_of(outcome: &Result<Appended, AppendError>) -> &'static str {
    match outcome {
        Ok(_) => "ok",
        Err(AppendError::Refused(_)) => "refused",
        Err(AppendError::InDoubt(_)) => "in_doubt",
        Err(_) => "conflict",
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
