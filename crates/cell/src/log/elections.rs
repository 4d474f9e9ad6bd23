//! Log events of elections, tenures and takeovers.

use std::fmt::Display;

use syc_obs::Line;
use syc_obs::catalogue;
use syc_sched::Counts;
use syc_sched::Reach;
use syc_sched::WorkerCounts;

use crate::leader::retry_report::RetryReport;
use crate::node::Holder;
use crate::ports::AppendError;

pub(crate) fn holder_changed(holder: Option<&Holder>) {
    Line::new(catalogue::HOLDER_SEEN)
        .text("scheduler", holder.map_or("", |holder| &holder.node))
        .number("token", holder.map_or(0, |holder| holder.token))
        .emit();
}

/// Election of this node.
#[derive(Debug)]
pub(crate) struct Election {
    pub(crate) token: u64,
    /// Token of the scheduler before, or 0 if the role was free.
    pub(crate) before: u64,
    /// For how long no heartbeat was seen.
    pub(crate) silent_ms: u64,
    pub(crate) timeout_factor: u64,
    /// Elections within the last minute, including this one.
    pub(crate) elections: usize,
}

pub(crate) fn claim_won(election: &Election) {
    Line::new(catalogue::HOLDER_CHOSEN)
        .number("token", election.token)
        .number("before", election.before)
        .number("silent_ms", election.silent_ms)
        .number("timeout_factor", election.timeout_factor)
        .number("elections_last_minute", election.elections)
        .emit();
}

pub(crate) fn claim_lost(error: &AppendError) {
    Line::new(catalogue::CLAIM_LOST)
        .display("reason", error)
        .emit();
}

pub(crate) fn role_ended(token: u64, reason: &str, held_ms: u64) {
    Line::new(catalogue::HOLDER_LEFT)
        .number("token", token)
        .text("reason", reason)
        .number("held_ms", held_ms)
        .emit();
}

/// Comparison of the workers that a scheduler and other nodes reach.
#[derive(Debug)]
pub(crate) struct ReachComparison<'a> {
    pub(crate) token: u64,
    pub(crate) counts: WorkerCounts,
    /// Number of nodes that were asked.
    pub(crate) candidates: usize,
    /// The one of them that reaches the most; empty if none replied.
    pub(crate) best: &'a str,
    pub(crate) reach: Reach,
    pub(crate) hands_over: bool,
}

pub(crate) fn reach_compared(comparison: &ReachComparison<'_>) {
    Line::new(catalogue::REACH_COMPARED)
        .number("token", comparison.token)
        .number("answering", comparison.counts.answering)
        .number("silent", comparison.counts.silent)
        .number("candidates", comparison.candidates)
        .text("best", comparison.best)
        .number("asked", comparison.reach.asked)
        .number("reached", comparison.reach.reached)
        .flag("hands_over", comparison.hands_over)
        .emit();
}

/// State that a takeover loaded, and how long it took.
#[derive(Debug)]
pub(crate) struct LoadedState {
    pub(crate) counts: Counts,
    pub(crate) progress_records: usize,
    pub(crate) fenced_ms: u64,
    pub(crate) read_ms: u64,
    /// Whether most of the state had been read ahead of the election.
    pub(crate) read_ahead: bool,
}

pub(crate) fn state_loaded(token: u64, loaded: &LoadedState) {
    Line::new(catalogue::STATE_LOADED)
        .number("token", token)
        .number("open_jobs", loaded.counts.open_jobs)
        .number("workers", loaded.counts.workers)
        .number("progress_records", loaded.progress_records)
        .number("fenced_ms", loaded.fenced_ms)
        .number("read_ms", loaded.read_ms)
        .flag("read_ahead", loaded.read_ahead)
        .emit();
}

pub(crate) fn state_read_ahead(rank: u32, took_ms: u64) {
    Line::new(catalogue::STATE_READ_AHEAD)
        .number("rank", rank)
        .number("took_ms", took_ms)
        .emit();
}

pub(crate) fn takeover_retries<E>(
    token: u64,
    step: &'static str,
    retries: &RetryReport,
    waited_ms: u64,
    error: &E,
) where
    E: Display,
{
    Line::new(catalogue::TAKEOVER_WAITS)
        .number("token", token)
        .text("step", step)
        .text("topic", retries.topic.as_str())
        .number("partition", retries.partition)
        .number("tries", retries.attempts)
        .number("waited_ms", waited_ms)
        .display("reason", error)
        .emit();
}
