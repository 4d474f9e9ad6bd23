//! When the next group of records is appended: group commit, a cap on appends, and back-off.

use std::collections::HashSet;

use syc_types::Class;
use syc_types::Millis;
use uuid::Uuid;

use crate::records::Content;
use crate::records::Group;

/// Thousandths of a token in one append.
const APPEND_MILLI: u64 = 1_000;

/// Bounds of the appending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendOptions {
    /// Time that a record which somebody waits for is kept back for others, while appends are rare.
    pub prompt_delay_ms: u64,
    /// Time that any other record is kept back.
    pub relaxed_delay_ms: u64,
    /// Most records of one append.
    pub group_records: usize,
    /// Size after which a group takes no further record, in bytes.
    pub group_bytes: usize,
    /// Appends a second that this daemon may sustain.
    pub appends_per_s: u64,
    /// Appends that it may make at once after a quiet time.
    pub burst: u64,
    /// First pause after a failed append.
    pub backoff_min_ms: u64,
    /// Longest pause after failed appends.
    pub backoff_max_ms: u64,
}

impl Default for AppendOptions {
    fn default() -> Self {
        Self {
            prompt_delay_ms: 5,
            relaxed_delay_ms: 500,
            group_records: 512,
            group_bytes: 256 * 1024,
            appends_per_s: 2,
            burst: 32,
            backoff_min_ms: 100,
            backoff_max_ms: 5_000,
        }
    }
}

/// Whether somebody waits for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// An urgent job waits; it may use the reserve of appends.
    Urgent,
    /// A caller or an operator waits, or a start.
    Prompt,
    /// Nothing waits but memory.
    Relaxed,
}

impl Urgency {
    /// Returns how soon a record is to be appended.
    #[must_use]
    pub const fn of(content: &Content) -> Self {
        match content {
            Content::TaskEnded { .. } | Content::Audit(_) | Content::Snapshot(_) => Self::Relaxed,
            Content::JobAccepted { spec, .. } if matches!(spec.class, Class::Urgent) => {
                Self::Urgent
            }
            _ => Self::Prompt,
        }
    }
}

/// What waits to be appended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Number of records.
    pub records: usize,
    /// Their size.
    pub bytes: usize,
    /// Since when the oldest urgent record waits.
    pub urgent_since: Option<Millis>,
    /// Since when the oldest prompt record waits.
    pub prompt_since: Option<Millis>,
    /// Since when the oldest relaxed record waits.
    pub relaxed_since: Option<Millis>,
}

/// Decides when to append; it knows no clock and no chance of its own.
#[derive(Debug, Clone)]
pub struct AppendPace {
    options: AppendOptions,
    tokens_milli: u64,
    refilled: Millis,
    failures: u32,
    not_before: Millis,
}

impl AppendPace {
    /// Makes a pace that has been quiet so far.
    #[must_use]
    pub const fn new(options: AppendOptions, now: Millis) -> Self {
        Self {
            options,
            tokens_milli: options.burst * APPEND_MILLI,
            refilled: now,
            failures: 0,
            not_before: now,
        }
    }

    /// Sets the appends a second that this daemon may sustain from now on.
    pub fn set_rate(&mut self, appends_per_s: u64, now: Millis) {
        self.tokens_milli = self.tokens_at(now);
        self.refilled = now;
        self.options.appends_per_s = appends_per_s.max(1);
    }

    /// Returns when the waiting records are due, `None` where there are none.
    #[must_use]
    pub fn due(&self, waiting: &Waiting, now: Millis) -> Option<Millis> {
        if waiting.records == 0 {
            return None;
        }
        let tokens_milli = self.tokens_at(now);
        let urgent = waiting.urgent_since.map(|at| {
            let due = at.plus(self.options.prompt_delay_ms);
            due.max(self.token_at(tokens_milli, APPEND_MILLI, now))
        });
        let reserved = self.token_at(tokens_milli, APPEND_MILLI + self.reserve_milli(), now);
        let full = waiting.records >= self.options.group_records
            || waiting.bytes >= self.options.group_bytes;
        let other = if full {
            Some(now)
        } else {
            self.other_due(waiting, tokens_milli)
        };
        let other = other.map(|at| at.max(reserved));
        let due = match (urgent, other) {
            (Some(urgent), Some(other)) => urgent.min(other),
            (Some(at), None) | (None, Some(at)) => at,
            (None, None) => now,
        };
        Some(due.max(self.not_before))
    }

    fn other_due(&self, waiting: &Waiting, tokens_milli: u64) -> Option<Millis> {
        let prompt_delay_ms = self.prompt_delay_ms(tokens_milli);
        let prompt = waiting.prompt_since.map(|at| at.plus(prompt_delay_ms));
        let relaxed_delay_ms = self.options.relaxed_delay_ms.max(prompt_delay_ms);
        let relaxed = waiting.relaxed_since.map(|at| at.plus(relaxed_delay_ms));
        match (prompt, relaxed) {
            (Some(prompt), Some(relaxed)) => Some(prompt.min(relaxed)),
            (at, None) | (None, at) => at,
        }
    }

    fn token_at(&self, tokens_milli: u64, needed_milli: u64, now: Millis) -> Millis {
        let missing = needed_milli.saturating_sub(tokens_milli);
        now.plus(missing.div_ceil(self.options.appends_per_s.max(1)))
    }

    // What is left to records that are urgent.
    const fn reserve_milli(&self) -> u64 {
        self.options.burst * APPEND_MILLI / 4
    }

    /// Takes note that an append is made now.
    pub fn started(&mut self, now: Millis) {
        self.tokens_milli = self.tokens_at(now).saturating_sub(APPEND_MILLI);
        self.refilled = now;
    }

    /// Takes note that the log answered.
    pub const fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Takes note that the log did not answer or refused; `jitter` spreads the daemons over the
    /// pause, 0 to 1,000. Returns the pause in milliseconds.
    pub fn failed(&mut self, now: Millis, jitter: u64) -> u64 {
        let doubled = self.options.backoff_min_ms << self.failures.min(16);
        let backoff_ms = doubled.min(self.options.backoff_max_ms);
        self.failures = self.failures.saturating_add(1);
        let half = backoff_ms / 2;
        let pause_ms = half + half * jitter.min(1_000) / 1_000;
        self.not_before = now.plus(pause_ms);
        pause_ms
    }

    fn tokens_at(&self, now: Millis) -> u64 {
        let earned = now.since(self.refilled) * self.options.appends_per_s;
        let most = self.options.burst * APPEND_MILLI;
        self.tokens_milli.saturating_add(earned).min(most)
    }

    // From the least delay at half of the burst to the sustained interval at the reserve.
    fn prompt_delay_ms(&self, tokens_milli: u64) -> u64 {
        let half = self.options.burst * APPEND_MILLI / 2;
        let range = half - self.reserve_milli();
        let interval_ms = 1_000 / self.options.appends_per_s.max(1);
        let used = half.saturating_sub(tokens_milli).min(range);
        let grown = interval_ms * used / range.max(1);
        grown.max(self.options.prompt_delay_ms)
    }
}

/// What became of an append whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It stands in the log and counts.
    Counts {
        /// Where in the log it stands.
        offset: u64,
    },
    /// A tombstone stands before it, or in its place: it never counts.
    Void,
}

/// An append whose answer was lost; reading the log on settles it.
#[derive(Debug, Clone)]
pub struct Doubt {
    ids: HashSet<Uuid>,
    next: u64,
    settled: Option<Settled>,
}

impl Doubt {
    /// Makes the doubt about a group, appended when `from` was known to be an end of the log.
    #[must_use]
    pub fn new(group: &Group, from: u64) -> Self {
        let ids = group.records.iter().map(|record| record.id);
        Self {
            ids: ids.collect(),
            next: from,
            settled: None,
        }
    }

    /// Returns the offset to read next.
    #[must_use]
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Takes in the entry at `offset`, `None` where it can't be read. The first that names one of
    /// the ids decides, since a group is one append.
    pub fn observe(&mut self, offset: u64, group: Option<&Group>) {
        self.next = self.next.max(offset + 1);
        let records = group.map_or(&[][..], |group| &group.records);
        for record in records {
            if self.settled.is_some() {
                return;
            }
            if self.ids.contains(&record.id) {
                self.settled = Some(Settled::Counts { offset });
                continue;
            }
            if let Content::Tombstone { of } = record.content
                && self.ids.contains(&of)
            {
                self.settled = Some(Settled::Void);
            }
        }
    }

    /// Returns what became of the append, as far as it is known.
    #[must_use]
    pub const fn settled(&self) -> Option<Settled> {
        self.settled
    }

    /// Returns the contents that make the append void unless it stands in the log before them.
    pub fn tombstones(&self) -> impl Iterator<Item = Content> {
        self.ids.iter().map(|of| Content::Tombstone { of: *of })
    }
}
