//! A simulation of nodes that store records of callers in a store whose partitions process one
//! append at a time.

use std::collections::BTreeMap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use syc_admit::Action;
use syc_admit::Admission;
use syc_admit::AdmitOptions;
use syc_admit::AppendAnswer;
use syc_admit::AppendKey;
use syc_admit::ForwardAnswer;
use syc_admit::Outcome;
use syc_admit::RecordKey;
use syc_admit::View;
use syc_fleet::AppendQueues;
use syc_fleet::QueuedAppend;
use syc_types::Millis;

/// The scheduler's node.
const SCHEDULER: usize = 0;

/// One-way network delay between nodes, and to the store.
const NETWORK_DELAY_MS: u64 = 3;

/// Interval of contacts with the scheduler's node.
const CONTACT_INTERVAL_MS: u64 = 150;

/// The scheduler's node answers a forwarded record this long before its sender's timeout.
const REPLY_MARGIN_MS: u64 = 100;

/// Silence after which a node considers the scheduler's node unreachable.
const SCHEDULER_SILENCE_MS: u64 = 700;

/// Interval of the scheduler's heartbeats to the store, which have a partition of their own.
const HEARTBEAT_INTERVAL_MS: u64 = 250;

/// The partition of heartbeats.
const HEARTBEAT_PARTITION: u32 = 1_000;

/// Append latency of a healthy store.
const APPEND_MS: u64 = 4;

/// Size of a record.
const RECORD_BYTES: usize = 3_000;

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub nodes: usize,
    pub partitions: u32,
    pub records_per_s: f64,
    /// Start and end of the period in which the store is slow.
    pub slow_from_ms: u64,
    pub slow_until_ms: u64,
    /// Factor by which append latency increases then.
    pub slowdown: u64,
    /// Share of the store's answers that are lost then, in thousandths.
    pub lost_per_mille: u32,
    /// Whether the scheduler's node is unreachable while the store is slow.
    pub scheduler_silent: bool,
    /// Time that callers wait for an answer.
    pub timeout_ms: u64,
    /// Time after which an unanswered append is abandoned.
    pub append_timeout_ms: u64,
    pub end_ms: u64,
}

impl Default for Setup {
    /// Dozens of nodes that share partitions, with a light load for a healthy store.
    fn default() -> Self {
        Self {
            nodes: 97,
            partitions: 32,
            records_per_s: 130.0,
            slow_from_ms: 4_000,
            slow_until_ms: 10_000,
            slowdown: 1,
            lost_per_mille: 0,
            scheduler_silent: false,
            timeout_ms: 2_500,
            append_timeout_ms: 3_000,
            end_ms: 16_000,
        }
    }
}

/// The answer to a caller.
#[derive(Debug, Clone, Copy)]
pub struct CallerAnswer {
    pub submitted_at: u64,
    pub took_ms: u64,
    pub outcome: Outcome,
}

#[derive(Debug)]
enum Delivery {
    AppendAnswered {
        node: usize,
        append: AppendKey,
        answer: AppendAnswer,
    },
    /// The store answers a heartbeat.
    Heartbeat { sent_at: Millis },
    /// A forwarded record reaches the scheduler's node.
    Forwarded {
        node: usize,
        record: RecordKey,
        timeout_ms: u64,
        sent_at: Millis,
    },
    ForwardAnswered {
        node: usize,
        record: RecordKey,
        answer: ForwardAnswer,
        sent_at: Millis,
    },
}

/// Who waits for the outcome of a record.
#[derive(Debug, Clone, Copy)]
enum Waiter {
    Caller {
        submitted_at: Millis,
    },
    Node {
        node: usize,
        record: RecordKey,
        sent_at: Millis,
    },
}

pub struct Simulation {
    rng: SmallRng,
    setup: Setup,
    now: Millis,
    nodes: Vec<Admission>,
    collector_append_ms: Vec<u64>,
    /// The latest time at which a heartbeat was sent that has since been answered.
    answered_sent_at: Millis,
    /// Nodes that have to decide because something happened.
    needs_decision: Vec<bool>,
    /// When each node has to decide even if nothing happens.
    due_at: Vec<Option<Millis>>,
    waiters: HashMap<(usize, RecordKey), Waiter>,
    store: AppendQueues,
    deliveries: BTreeMap<(Millis, u64), Delivery>,
    deliveries_scheduled: u64,
    appends: u64,
    submits_due: f64,
    pub answers: Vec<CallerAnswer>,
}

impl Simulation {
    pub fn new(seed: u64, setup: Setup, options: AdmitOptions) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Millis(0),
            nodes: (0..setup.nodes).map(|_| Admission::new(options)).collect(),
            collector_append_ms: vec![0; setup.nodes],
            answered_sent_at: Millis(0),
            needs_decision: vec![false; setup.nodes],
            due_at: vec![None; setup.nodes],
            waiters: HashMap::new(),
            store: AppendQueues::new(APPEND_MS),
            deliveries: BTreeMap::new(),
            deliveries_scheduled: 0,
            appends: 0,
            submits_due: 0.0,
            answers: Vec::new(),
            setup,
        }
    }

    /// Runs until all callers have been answered.
    pub fn run(&mut self) {
        while self.now.0 < self.setup.end_ms + self.setup.timeout_ms {
            self.now = self.now.plus(1);
            self.store.append_ms = if self.is_slow() {
                APPEND_MS * self.setup.slowdown
            } else {
                APPEND_MS
            };
            self.send_contacts();
            self.send_heartbeat();
            self.submit_records();
            self.deliver();
            for node in 0..self.setup.nodes {
                let is_due = self.due_at[node].is_some_and(|at| at <= self.now);
                if is_due || std::mem::take(&mut self.needs_decision[node]) {
                    self.decide(node);
                }
            }
        }
        assert!(self.waiters.is_empty(), "callers without an answer");
    }

    fn is_slow(&self) -> bool {
        (self.setup.slow_from_ms..self.setup.slow_until_ms).contains(&self.now.0)
    }

    fn is_scheduler_silent(&self) -> bool {
        self.setup.scheduler_silent && self.is_slow()
    }

    fn send_heartbeat(&mut self) {
        if !self.now.0.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            return;
        }
        let sent_at = self.now;
        if let QueuedAppend::DoneAt(at) = self
            .store
            .append(HEARTBEAT_PARTITION, self.now.plus(NETWORK_DELAY_MS))
            && !self.is_answer_lost()
        {
            self.schedule(at.plus(NETWORK_DELAY_MS), Delivery::Heartbeat { sent_at });
        }
    }

    fn is_answer_lost(&mut self) -> bool {
        self.is_slow() && self.rng.random_range(0..1_000) < self.setup.lost_per_mille
    }

    /// Reports the append latency of the scheduler's node to each node, at staggered times.
    fn send_contacts(&mut self) {
        if self.is_scheduler_silent() {
            return;
        }
        let append_ms = self.nodes[SCHEDULER].append_ms(self.now);
        for (node, known_ms) in self.collector_append_ms.iter_mut().enumerate() {
            let offset = node as u64 * 7;
            if (self.now.0 + offset).is_multiple_of(CONTACT_INTERVAL_MS) {
                *known_ms = append_ms;
                self.needs_decision[node] = true;
            }
        }
    }

    fn submit_records(&mut self) {
        if self.now.0 > self.setup.end_ms {
            return;
        }
        self.submits_due += self.setup.records_per_s / 1_000.0 * self.rng.random_range(0.0..=2.0);
        while self.submits_due >= 1.0 {
            self.submits_due -= 1.0;
            let node = self.rng.random_range(0..self.setup.nodes);
            let deadline = self.now.plus(self.setup.timeout_ms);
            let record = self.nodes[node].offer(RECORD_BYTES, deadline);
            self.needs_decision[node] = true;
            let waiter = Waiter::Caller {
                submitted_at: self.now,
            };
            self.waiters.insert((node, record), waiter);
        }
    }

    fn view(&self, node: usize) -> View {
        let silence_ms = self.now.0.saturating_sub(self.setup.slow_from_ms);
        let is_silence_noticed = self.is_scheduler_silent() && silence_ms > SCHEDULER_SILENCE_MS;
        View {
            store_answers: true,
            answered_sent_at: if node == SCHEDULER {
                self.answered_sent_at
            } else {
                Millis(0)
            },
            has_collector: node != SCHEDULER && !is_silence_noticed,
            collector_append_ms: self.collector_append_ms[node],
            is_collector: node == SCHEDULER,
            partition: u32::try_from(node).expect("few nodes") % self.setup.partitions,
            partitions: self.setup.partitions,
        }
    }

    fn decide(&mut self, node: usize) {
        let view = self.view(node);
        let actions = self.nodes[node].decide(view, self.now);
        for action in actions {
            match action {
                Action::Append {
                    append, partition, ..
                } => self.append(node, append, partition),
                Action::Forward { record, timeout_ms } => {
                    let sent_at = self.now;
                    let delivery = Delivery::Forwarded {
                        node,
                        record,
                        timeout_ms,
                        sent_at,
                    };
                    self.schedule(self.now.plus(NETWORK_DELAY_MS), delivery);
                }
                Action::Answer { record, outcome } => self.answer(node, record, outcome),
            }
        }
        self.due_at[node] = self.nodes[node].next_decision_at(self.now);
    }

    fn append(&mut self, node: usize, append: AppendKey, partition: u32) {
        self.appends += 1;
        let lost = self.is_answer_lost();
        let (at, answer) = match self
            .store
            .append(partition, self.now.plus(NETWORK_DELAY_MS))
        {
            QueuedAppend::Full => (self.now.plus(2 * NETWORK_DELAY_MS), AppendAnswer::Refused),
            QueuedAppend::DoneAt(at)
                if lost || at.since(self.now) > self.setup.append_timeout_ms =>
            {
                let timed_out_at = self.now.plus(self.setup.append_timeout_ms);
                (timed_out_at, AppendAnswer::InDoubt)
            }
            QueuedAppend::DoneAt(at) => (at.plus(NETWORK_DELAY_MS), AppendAnswer::Stored),
        };
        let delivery = Delivery::AppendAnswered {
            node,
            append,
            answer,
        };
        self.schedule(at, delivery);
    }

    fn answer(&mut self, node: usize, record: RecordKey, outcome: Outcome) {
        let waiter = self.waiters.remove(&(node, record)).expect("a waiter");
        match waiter {
            Waiter::Caller { submitted_at } => self.answers.push(CallerAnswer {
                submitted_at: submitted_at.0,
                took_ms: self.now.since(submitted_at),
                outcome,
            }),
            Waiter::Node {
                node,
                record,
                sent_at,
            } => {
                let answer = match outcome {
                    Outcome::Stored { partition } => ForwardAnswer::Stored { partition },
                    Outcome::Refused { retry_after_ms } => {
                        ForwardAnswer::Refused { retry_after_ms }
                    }
                    Outcome::InDoubt => ForwardAnswer::InDoubt,
                };
                let delivery = Delivery::ForwardAnswered {
                    node,
                    record,
                    answer,
                    sent_at,
                };
                self.schedule(self.now.plus(NETWORK_DELAY_MS), delivery);
            }
        }
    }

    fn schedule(&mut self, at: Millis, delivery: Delivery) {
        self.deliveries_scheduled += 1;
        self.deliveries
            .insert((at, self.deliveries_scheduled), delivery);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::AppendAnswered {
                    node,
                    append,
                    answer,
                } => {
                    self.nodes[node].append_answered(append, answer, self.now);
                    self.needs_decision[node] = true;
                }
                Delivery::Heartbeat { sent_at } => {
                    self.answered_sent_at = self.answered_sent_at.max(sent_at);
                    self.needs_decision[SCHEDULER] = true;
                }
                Delivery::Forwarded {
                    node,
                    record,
                    timeout_ms,
                    sent_at,
                } => self.receive_forwarded(node, record, timeout_ms, sent_at),
                Delivery::ForwardAnswered {
                    node,
                    record,
                    answer,
                    sent_at,
                } => {
                    let took_ms = self.now.since(sent_at);
                    self.nodes[node].forward_answered(record, answer, took_ms);
                    self.needs_decision[node] = true;
                }
            }
        }
    }

    fn receive_forwarded(
        &mut self,
        node: usize,
        record: RecordKey,
        timeout_ms: u64,
        sent_at: Millis,
    ) {
        if self.is_scheduler_silent() {
            return;
        }
        let deadline = self.now.plus(timeout_ms.saturating_sub(REPLY_MARGIN_MS));
        let forwarded = self.nodes[SCHEDULER].offer_forwarded(RECORD_BYTES, deadline);
        self.needs_decision[SCHEDULER] = true;
        let waiter = Waiter::Node {
            node,
            record,
            sent_at,
        };
        self.waiters.insert((SCHEDULER, forwarded), waiter);
    }

    /// Returns the answers to records that were submitted in a time range.
    pub fn answers_to_calls_in(&self, from_ms: u64, until_ms: u64) -> Vec<CallerAnswer> {
        let in_time = |answer: &&CallerAnswer| (from_ms..until_ms).contains(&answer.submitted_at);
        self.answers.iter().filter(in_time).copied().collect()
    }

    /// Returns the number of record appends that were sent.
    pub const fn appends(&self) -> u64 {
        self.appends
    }
}
