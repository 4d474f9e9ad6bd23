//! At-most-once execution: what a request's home knows of the ids that it has seen.

use std::collections::HashMap;

use syc_types::Millis;
use syc_types::RequestId;

/// What is kept of a request that was begun.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kept<A> {
    /// It is being run.
    Running,
    /// It ran; this is its answer.
    Answered(A),
    /// It may have run; the answer is lost.
    Unknown,
}

/// Says what to do with a request that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAnswer<A> {
    /// Run it: it was never seen.
    Run,
    /// Wait: another arrival of it is being run.
    Wait,
    /// Give this answer again.
    Repeat(A),
    /// Its outcome is unknown, and stays so.
    Unknown,
}

/// The ids that a home has seen, for a window of time.
#[derive(Debug, Clone)]
pub struct Once<A> {
    window_ms: u64,
    seen: HashMap<RequestId, (Millis, Kept<A>)>,
}

impl<A> Once<A>
where
    A: Clone,
{
    /// Makes a memory that keeps answers for `window_ms`.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            seen: HashMap::new(),
        }
    }

    /// Decides what to do with an arrival of `id`, and remembers that it runs if it does.
    pub fn begin(&mut self, id: RequestId, now: Millis) -> OnceAnswer<A> {
        match self.seen.get(&id) {
            None => {
                self.seen.insert(id, (now, Kept::Running));
                OnceAnswer::Run
            }
            Some((_, Kept::Running)) => OnceAnswer::Wait,
            Some((_, Kept::Answered(answer))) => OnceAnswer::Repeat(answer.clone()),
            Some((_, Kept::Unknown)) => OnceAnswer::Unknown,
        }
    }

    /// Keeps how a request ended; `None` forgets one that surely did not run.
    pub fn end(&mut self, id: RequestId, kept: Option<Kept<A>>, now: Millis) {
        match kept {
            Some(kept) => self.seen.insert(id, (now, kept)),
            None => self.seen.remove(&id),
        };
    }

    /// Forgets what ended longer ago than the window.
    pub fn expire(&mut self, now: Millis) {
        let window_ms = self.window_ms;
        self.seen
            .retain(|_, (at, kept)| matches!(kept, Kept::Running) || now.since(*at) < window_ms);
    }
}
