//! A bounded queue of requests with classes, deadlines, limits and early shedding.

use std::collections::BTreeMap;
use std::collections::HashMap;

use syc_types::CallerId;
use syc_types::Class;
use syc_types::Millis;
use syc_types::TeamId;
use thiserror::Error;

use crate::wait::Pace;

/// Bounds of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueOptions {
    /// Most requests that wait.
    pub requests: usize,
    /// Most requests of one caller that wait.
    pub caller_requests: usize,
    /// Most requests of one team that wait.
    pub team_requests: usize,
    /// Time by which a normal request stands behind an urgent one.
    pub normal_delay_ms: u64,
    /// Time by which a patient request stands behind an urgent one; older ones go first.
    pub patient_delay_ms: u64,
    /// Shortest and longest time after which a refused request may come back.
    pub retry_ms: (u64, u64),
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self {
            requests: 1_024,
            caller_requests: 256,
            team_requests: 512,
            normal_delay_ms: 200,
            patient_delay_ms: 2_000,
            retry_ms: (100, 5_000),
        }
    }
}

/// A request that has to wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival<T> {
    /// How urgent it is.
    pub class: Class,
    /// Who asks; an empty name has no limit of its own.
    pub caller: CallerId,
    /// The caller's team; an empty name has no limit of its own.
    pub team: TeamId,
    /// When it arrived; one that comes back to the queue keeps its time.
    pub arrived: Millis,
    /// The latest start from which an answer can still be in time.
    pub start_by: Millis,
    /// What waits.
    pub item: T,
}

/// Says why a request is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ShedReason {
    /// As many requests wait as may.
    #[error("too many requests wait already")]
    QueueFull,
    /// As many requests of the caller wait as may.
    #[error("too many requests of this caller wait already")]
    CallerLimit,
    /// As many requests of the team wait as may.
    #[error("too many requests of this team wait already")]
    TeamLimit,
    /// It would wait beyond its deadline.
    #[error("the expected wait is longer than the deadline allows")]
    TooLate,
}

/// A request that is not served; it was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shed<T> {
    /// What waited.
    pub item: T,
    /// Why it is refused.
    pub reason: ShedReason,
    /// When it may come back.
    pub retry_after_ms: u64,
}

/// Refers to a waiting request; smaller ones are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    rank: Millis,
    number: u64,
}

/// Requests that wait for a slot.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    options: QueueOptions,
    waiting: BTreeMap<QueueKey, Arrival<T>>,
    by_caller: HashMap<CallerId, usize>,
    by_team: HashMap<TeamId, usize>,
    pace: Pace,
    next_number: u64,
}

impl<T> Queue<T> {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            waiting: BTreeMap::new(),
            by_caller: HashMap::new(),
            by_team: HashMap::new(),
            pace: Pace::default(),
            next_number: 0,
        }
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Says whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets a request wait, or refuses it at once.
    ///
    /// A full queue gives up its last request for one that stands before it; that one comes back
    /// in the second place of the result.
    ///
    /// # Errors
    ///
    /// Fails where the request itself is refused.
    pub fn push(
        &mut self,
        arrival: Arrival<T>,
        now: Millis,
    ) -> Result<(QueueKey, Option<Shed<T>>), Shed<T>> {
        let key = QueueKey {
            rank: self.rank(&arrival),
            number: self.next_number,
        };
        self.next_number += 1;
        if let Some(reason) = self.refusal(&arrival, key, now) {
            return Err(self.shed(key, arrival.item, reason));
        }
        let evicted = if self.waiting.len() >= self.options.requests {
            self.evict_last()
        } else {
            None
        };
        count(&mut self.by_caller, &arrival.caller);
        count(&mut self.by_team, &arrival.team);
        self.waiting.insert(key, arrival);
        self.pace.waiting(now);
        Ok((key, evicted))
    }

    fn refusal(&self, arrival: &Arrival<T>, key: QueueKey, now: Millis) -> Option<ShedReason> {
        let of_caller = self.by_caller.get(&arrival.caller).copied().unwrap_or(0);
        let of_team = self.by_team.get(&arrival.team).copied().unwrap_or(0);
        let limited = !arrival.caller.as_str().is_empty();
        if limited && of_caller >= self.options.caller_requests {
            return Some(ShedReason::CallerLimit);
        }
        let limited = !arrival.team.as_str().is_empty();
        if limited && of_team >= self.options.team_requests {
            return Some(ShedReason::TeamLimit);
        }
        let position = self.waiting.range(..key).count();
        if now.plus(self.pace.expected_ms(position, now)) > arrival.start_by {
            return Some(ShedReason::TooLate);
        }
        let full = self.waiting.len() >= self.options.requests;
        let last = self.waiting.last_key_value().map(|(last, _)| *last);
        if full && last.is_none_or(|last| last < key) {
            return Some(ShedReason::QueueFull);
        }
        None
    }

    fn evict_last(&mut self) -> Option<Shed<T>> {
        let last = self.waiting.last_key_value().map(|(last, _)| *last)?;
        let arrival = self.take(last)?;
        Some(self.shed(last, arrival.item, ShedReason::QueueFull))
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self, now: Millis) -> Option<Arrival<T>> {
        let key = self.waiting.first_key_value().map(|(key, _)| *key)?;
        let arrival = self.take(key);
        self.pace.served(now, !self.waiting.is_empty());
        arrival
    }

    /// Gives up every request that can't be served in time at the present pace.
    pub fn review(&mut self, now: Millis) -> Vec<Shed<T>> {
        let mut position = 0;
        let mut late = Vec::new();
        for (key, arrival) in &self.waiting {
            if now.plus(self.pace.expected_ms(position, now)) > arrival.start_by {
                late.push(*key);
                continue;
            }
            position += 1;
        }
        let mut shed = Vec::with_capacity(late.len());
        for key in late {
            let Some(arrival) = self.take(key) else {
                continue;
            };
            shed.push(self.shed(key, arrival.item, ShedReason::TooLate));
        }
        self.note_idle();
        shed
    }

    /// Gives up every request, for a queue that nothing will serve.
    pub fn drain(&mut self) -> Vec<T> {
        self.by_caller.clear();
        self.by_team.clear();
        self.pace.idle();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|arrival| arrival.item).collect()
    }

    /// Takes a request out whose caller no longer waits.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        let arrival = self.take(key)?;
        self.note_idle();
        Some(arrival.item)
    }

    fn note_idle(&mut self) {
        if self.waiting.is_empty() {
            self.pace.idle();
        }
    }

    fn take(&mut self, key: QueueKey) -> Option<Arrival<T>> {
        let arrival = self.waiting.remove(&key)?;
        uncount(&mut self.by_caller, &arrival.caller);
        uncount(&mut self.by_team, &arrival.team);
        Some(arrival)
    }

    /// Orders by arrival, later classes by their delay, yet by half of the time that is left.
    fn rank(&self, arrival: &Arrival<T>) -> Millis {
        let delay_ms = match arrival.class {
            Class::Urgent => 0,
            Class::Normal => self.options.normal_delay_ms,
            Class::Patient => self.options.patient_delay_ms,
        };
        let left_ms = arrival.start_by.since(arrival.arrived);
        arrival.arrived.plus(delay_ms.min(left_ms / 2))
    }

    /// Spreads the returns of refused requests over one to two times the wait of the last one.
    fn shed(&self, key: QueueKey, item: T, reason: ShedReason) -> Shed<T> {
        let (shortest_ms, longest_ms) = self.options.retry_ms;
        let wait_ms = self.pace.expected_ms(self.waiting.len(), Millis(0));
        let wait_ms = wait_ms.clamp(shortest_ms, longest_ms);
        let spread_ms = (key.number.wrapping_mul(7_919)) % wait_ms.max(1);
        Shed {
            item,
            reason,
            retry_after_ms: wait_ms + spread_ms,
        }
    }
}

fn count<K>(counts: &mut HashMap<K, usize>, key: &K)
where
    K: Clone + Eq + std::hash::Hash,
{
    *counts.entry(key.clone()).or_default() += 1;
}

fn uncount<K>(counts: &mut HashMap<K, usize>, key: &K)
where
    K: Eq + std::hash::Hash,
{
    let Some(number) = counts.get_mut(key) else {
        return;
    };
    *number -= 1;
    if *number == 0 {
        counts.remove(key);
    }
}
