//! At-most-once execution: what a request's home knows of the ids that it has seen.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use syc_types::MemberId;
use syc_types::Millis;
use syc_types::RequestId;

use crate::Standing;

/// Bounds of a [`Once`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OnceOptions {
    /// Time after its creation in which a request may be run or repeated.
    pub window_ms: u64,
    /// How far the clocks of members and callers are apart at most.
    pub margin_ms: u64,
    /// Most ids that are remembered; further requests are refused.
    pub records: usize,
    /// Most bytes of kept answers; beyond it the oldest answers become unknown outcomes.
    pub answer_bytes: usize,
}

impl Default for OnceOptions {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            margin_ms: 500,
            records: 200_000,
            answer_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Says what to do with a request that arrives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceAnswer<A> {
    /// Run it: it surely never ran, and nobody else runs it.
    Run,
    /// Ask these members, then call [`Once::asked`].
    Ask(Vec<MemberId>),
    /// Wait for the run of another arrival.
    Wait,
    /// Give this answer again.
    Repeat(A),
    /// Say that its outcome is unknown.
    Unknown(UnknownReason),
    /// Say that it was not run.
    NotRun(NotRunReason),
    /// Send it to its home in a later view.
    Elsewhere,
}

/// Says why an outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownReason {
    /// It was run, and the answer was lost or is no longer kept.
    AnswerLost,
    /// It is older than what is remembered.
    TooOld,
    /// A member that may have run it can't say.
    HomeLost,
    /// The home has no authority now; another may have run it.
    NotActing,
    /// No further ids can be remembered now, and a former home may have run it.
    Full,
}

/// Says why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The id's time lies ahead of every member's clock.
    FromFuture,
    /// No further ids can be remembered now.
    Full,
}

/// What a former home says of an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told<A> {
    /// It never ran here, and never will.
    Never,
    /// It runs; ask again when it has ended.
    Running,
    /// It ran; this is its answer.
    Answered(A),
    /// It may have run; the answer is lost.
    Unknown,
    /// What was known of it is gone.
    Forgotten,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd<A> {
    /// With an answer of so many bytes.
    Answered(A, usize),
    /// It surely did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Debug, Clone)]
enum State<A> {
    Running,
    Answered(A, usize),
    Unknown,
    /// A later home was told that it never ran here.
    Sealed,
}

#[derive(Debug, Clone)]
struct Record<A> {
    state: State<A>,
    expiry: (Millis, u64),
}

/// The ids that a member has seen as their home, for a window of time.
#[derive(Debug, Clone)]
pub struct Once<A> {
    options: OnceOptions,
    started: Millis,
    seen: HashMap<RequestId, Record<A>>,
    expiries: BTreeMap<(Millis, u64), RequestId>,
    answered: VecDeque<RequestId>,
    answer_bytes: usize,
    next_number: u64,
}

impl<A> Once<A>
where
    A: Clone,
{
    /// Makes the memory of a member that started at `started` on the wall clock.
    #[must_use]
    pub fn new(options: OnceOptions, started: Millis) -> Self {
        Self {
            options,
            started,
            seen: HashMap::new(),
            expiries: BTreeMap::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
            next_number: 0,
        }
    }

    /// Returns the number of ids that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Says whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Decides what to do with an arrival of `id`, and remembers that it runs if it does.
    pub fn begin(
        &mut self,
        id: RequestId,
        created: Millis,
        standing: Standing,
        now: Millis,
    ) -> OnceAnswer<A> {
        match self.seen.get(&id).map(|record| &record.state) {
            Some(State::Running) => return OnceAnswer::Wait,
            Some(State::Answered(answer, _)) => return OnceAnswer::Repeat(answer.clone()),
            Some(State::Unknown) => return OnceAnswer::Unknown(UnknownReason::AnswerLost),
            Some(State::Sealed) | None => {}
        }
        let ask = match standing {
            Standing::Elsewhere => return OnceAnswer::Elsewhere,
            Standing::NotActing => return OnceAnswer::Unknown(UnknownReason::NotActing),
            Standing::Unsure => return OnceAnswer::Unknown(UnknownReason::HomeLost),
            Standing::Home { ask } => ask,
        };
        let sealed = self.seen.contains_key(&id);
        if sealed && ask.is_empty() {
            return OnceAnswer::Unknown(UnknownReason::HomeLost);
        }
        if let Some(answer) = self.out_of_time(created, now) {
            return answer;
        }
        if !sealed && self.seen.len() >= self.options.records {
            return if ask.is_empty() {
                OnceAnswer::NotRun(NotRunReason::Full)
            } else {
                OnceAnswer::Unknown(UnknownReason::Full)
            };
        }
        self.keep(id, State::Running, now);
        if ask.is_empty() {
            return OnceAnswer::Run;
        }
        OnceAnswer::Ask(ask)
    }

    fn out_of_time(&self, created: Millis, now: Millis) -> Option<OnceAnswer<A>> {
        let margin_ms = self.options.margin_ms;
        if now > created.plus(self.options.window_ms) {
            return Some(OnceAnswer::Unknown(UnknownReason::TooOld));
        }
        // Another member's clock may be ahead, so that it has run what lies just ahead of ours.
        if created > now.plus(3 * margin_ms) {
            return Some(OnceAnswer::NotRun(NotRunReason::FromFuture));
        }
        let ahead = created > now.plus(margin_ms);
        ahead.then_some(OnceAnswer::Unknown(UnknownReason::TooOld))
    }

    /// Takes over what the former homes said; the worst of it counts.
    ///
    /// Returns what to do with the arrival that asked. Where a former home can't say, nothing is
    /// kept, so that a later arrival asks again.
    pub fn asked<I>(&mut self, id: RequestId, told: I, now: Millis) -> OnceAnswer<A>
    where
        I: IntoIterator<Item = Told<A>>,
        A: AnswerSize,
    {
        let mut lost = false;
        for told in told {
            match told {
                Told::Never => {}
                Told::Answered(answer) => {
                    let bytes = answer.size_bytes();
                    self.end(id, RunEnd::Answered(answer.clone(), bytes), now);
                    return OnceAnswer::Repeat(answer);
                }
                Told::Unknown => {
                    self.end(id, RunEnd::Unknown, now);
                    return OnceAnswer::Unknown(UnknownReason::AnswerLost);
                }
                Told::Running | Told::Forgotten => lost = true,
            }
        }
        if lost {
            self.seal(id, now);
            return OnceAnswer::Unknown(UnknownReason::HomeLost);
        }
        OnceAnswer::Run
    }

    /// Keeps how a run ended.
    pub fn end(&mut self, id: RequestId, end: RunEnd<A>, now: Millis) {
        match end {
            RunEnd::Answered(answer, bytes) => {
                self.keep(id, State::Answered(answer, bytes), now);
                self.answered.push_back(id);
                self.answer_bytes += bytes;
                self.bound_answers();
            }
            RunEnd::Unknown => self.keep(id, State::Unknown, now),
            RunEnd::NotRun => self.remove(id),
        }
    }

    /// Says what this member, as a former home, knows of an id, and never runs it from then on.
    pub fn tell(&mut self, id: RequestId, created: Millis, now: Millis) -> Told<A> {
        match self.seen.get(&id).map(|record| &record.state) {
            Some(State::Running) => return Told::Running,
            Some(State::Answered(answer, _)) => return Told::Answered(answer.clone()),
            Some(State::Unknown) => return Told::Unknown,
            Some(State::Sealed) => return Told::Never,
            None => {}
        }
        let margin_ms = self.options.margin_ms;
        let expired = now > created.plus(self.options.window_ms + margin_ms);
        let unremembered = created <= self.started.plus(margin_ms);
        if expired || unremembered || self.seen.len() >= self.options.records {
            return Told::Forgotten;
        }
        self.keep(id, State::Sealed, now);
        Told::Never
    }

    /// Forgets the ids that no member may run or repeat any more.
    pub fn expire(&mut self, now: Millis) {
        while let Some(oldest) = self.answered.front()
            && !self.seen.contains_key(oldest)
        {
            self.answered.pop_front();
        }
        while let Some((&expiry, &id)) = self.expiries.first_key_value() {
            if expiry.0 >= now {
                return;
            }
            let state = self.seen.get(&id).map(|record| &record.state);
            if matches!(state, Some(State::Running)) {
                self.keep(id, State::Running, now);
                continue;
            }
            self.remove(id);
        }
    }

    fn seal(&mut self, id: RequestId, now: Millis) {
        self.keep(id, State::Sealed, now);
    }

    fn keep(&mut self, id: RequestId, state: State<A>, now: Millis) {
        self.remove(id);
        let kept_ms = self.options.window_ms + 4 * self.options.margin_ms;
        let expiry = (now.plus(kept_ms), self.next_number);
        self.next_number += 1;
        self.expiries.insert(expiry, id);
        self.seen.insert(id, Record { state, expiry });
    }

    fn remove(&mut self, id: RequestId) {
        let Some(record) = self.seen.remove(&id) else {
            return;
        };
        self.expiries.remove(&record.expiry);
        if let State::Answered(_, bytes) = record.state {
            self.answer_bytes -= bytes;
        }
    }

    fn bound_answers(&mut self) {
        while self.answer_bytes > self.options.answer_bytes {
            let Some(id) = self.answered.pop_front() else {
                return;
            };
            let Some(record) = self.seen.get_mut(&id) else {
                continue;
            };
            if let State::Answered(_, bytes) = record.state {
                self.answer_bytes -= bytes;
                record.state = State::Unknown;
            }
        }
    }
}

/// Tells how much memory a kept answer takes.
pub trait AnswerSize {
    /// Returns the size in bytes.
    fn size_bytes(&self) -> usize;
}
