//! Decides how often each node contacts the scheduler, which nodes follow the store themselves, and which of them claim
//! the scheduler role first.
//!
//! The load that this handles: if every node followed the store and contacted the scheduler at a fixed interval, reads
//! and contacts would grow with the number of nodes until the store refuses calls and contacts take the scheduler's
//! processor time. So only a few nodes, the candidates for the role, follow the store and contact the scheduler at the
//! shortest interval. The others learn of claims and configurations from the scheduler's replies, at an interval that
//! bounds the contacts of all nodes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Millis;
use syc_types::Zone;
use syc_types::hash::name_digest;

/// Number of candidates. Together with the scheduler, they are lost at once only if nearly all nodes are.
const CANDIDATES: usize = 10;

/// Contacts a second that all nodes other than the candidates make together.
const CONTACTS_PER_S: u64 = 900;

/// Divisor of the jitter of the time until a contact. Without jitter, all nodes that began at the same time, with the
/// election, would make their contacts at the same time.
const JITTER_DIVISOR: u64 = 4;

/// Shortest time between two plans.
const PLAN_INTERVAL_MS: u64 = 250;

/// A candidate that was not heard of for this long is replaced. It is several of its intervals.
const CANDIDATE_TIMEOUT_MS: u64 = 1_000;

/// If no node was heard of for this long, the scheduler itself was paused.
const PAUSE_MS: u64 = 500;

/// A node that was not heard of for this long is forgotten.
const FORGET_AFTER_MS: u64 = 10_000;

/// Time between two looks for nodes to forget.
const FORGET_INTERVAL_MS: u64 = 1_000;

/// What suits a node for the scheduler role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeTraits {
    /// Whether its link is fast enough to read the state of a predecessor without delay.
    pub has_fast_link: bool,
    /// Maximum number of open files of its process; 0 if unknown.
    pub files_limit: u64,
    /// Its availability zone; empty if unknown.
    pub zone: Zone,
}

/// How a node contacts the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContactPlan {
    /// Time between two contacts of the node.
    pub interval_ms: u64,
    /// Position among the candidates for the scheduler role, from 1; 0 for a node that is none.
    pub candidate_rank: u32,
    /// Whether the node follows the claims and the configuration in the store itself.
    pub follows_store: bool,
    /// Number of the node among all nodes, which is distinct for each.
    pub index: u32,
}

/// Returns the time until a node's next contact, of which `draw` is a random number. The mean is the interval, so that
/// jitter adds no contacts.
#[must_use]
pub const fn jittered_interval_ms(interval_ms: u64, draw: u64) -> u64 {
    let jitter_ms = interval_ms / JITTER_DIVISOR;
    interval_ms - jitter_ms / 2 + draw % (jitter_ms + 1)
}

/// Returns whether a node with this rank claims the role at once if the scheduler says that the store does not answer it.
///
/// Others wait as for a scheduler that is suspected to have failed. The candidates that suit the role best may be unable to
/// hear the scheduler, and only notice by then that it does not answer.
#[must_use]
pub fn may_replace_yielding(candidate_rank: Option<u32>, has_fast_link: bool) -> bool {
    has_fast_link && candidate_rank.is_some_and(|rank| rank > 0)
}

/// A node that contacts the scheduler.
#[derive(Debug)]
struct PlannedNode {
    traits: NodeTraits,
    digest: u64,
    heard_at: Millis,
    plan: ContactPlan,
}

/// The nodes that contact the scheduler, and how.
#[derive(Debug)]
pub struct ContactPlans {
    /// Shortest interval between contacts.
    min_interval_ms: u64,
    nodes: BTreeMap<SmolStr, PlannedNode>,
    candidates: Vec<SmolStr>,
    planned_at: Option<Millis>,
    forgot_at: Millis,
    /// When any node was last heard of.
    newest_at: Millis,
    /// When contacts were first read again after a pause of the scheduler. Silence counts from here at the earliest.
    resumed_at: Millis,
    /// Whether nodes came or went since the last plan.
    has_changed: bool,
    interval_ms: u64,
}

impl ContactPlans {
    /// Creates the plans of a scheduler that has heard of no node. No node contacts it more often than at
    /// `min_interval_ms`.
    #[must_use]
    pub const fn new(min_interval_ms: u64) -> Self {
        Self {
            min_interval_ms,
            nodes: BTreeMap::new(),
            candidates: Vec::new(),
            planned_at: None,
            forgot_at: Millis(0),
            newest_at: Millis(0),
            resumed_at: Millis(0),
            has_changed: false,
            interval_ms: min_interval_ms,
        }
    }

    /// Records a contact and returns how the node makes the next one.
    pub fn note_contact(&mut self, name: &SmolStr, traits: NodeTraits, now: Millis) -> ContactPlan {
        if now.since(self.newest_at) >= PAUSE_MS {
            self.resumed_at = now;
        }
        self.newest_at = now;
        let lacks_candidates = self.candidates.len() < CANDIDATES;
        if let Some(node) = self.nodes.get_mut(name) {
            node.heard_at = now;
            let may_be_candidate = lacks_candidates && node.plan.candidate_rank == 0;
            self.has_changed |= may_be_candidate || node.traits != traits;
            node.traits = traits;
        } else {
            let node = self.new_node(name, traits, now);
            self.nodes.insert(name.clone(), node);
            self.has_changed = true;
        }
        self.plan_if_due(now);
        self.nodes[name].plan
    }

    /// Returns the number of nodes that contact the scheduler.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the candidates for the scheduler role, the best first.
    #[must_use]
    pub fn candidates(&self) -> &[SmolStr] {
        &self.candidates
    }

    /// Returns the longest interval between two contacts of a node.
    #[must_use]
    pub const fn interval_ms(&self) -> u64 {
        self.interval_ms
    }

    /// Creates a node that acts on its own until it is planned for.
    fn new_node(&self, name: &SmolStr, traits: NodeTraits, now: Millis) -> PlannedNode {
        PlannedNode {
            traits,
            digest: name_digest(name),
            heard_at: now,
            plan: ContactPlan {
                interval_ms: self.min_interval_ms,
                candidate_rank: 0,
                follows_store: true,
                index: u32::try_from(self.nodes.len()).unwrap_or(u32::MAX),
            },
        }
    }

    fn plan_if_due(&mut self, now: Millis) {
        let planned_at = self.planned_at;
        if planned_at.is_some_and(|at| now.since(at) < PLAN_INTERVAL_MS) {
            return;
        }
        if now.since(self.forgot_at) >= FORGET_INTERVAL_MS {
            self.forgot_at = now;
            self.forget_silent(now);
        }
        if self.has_changed || self.has_silent_candidate(now) {
            self.planned_at = Some(now);
            self.has_changed = false;
            self.plan(now);
        }
    }

    fn forget_silent(&mut self, now: Millis) {
        let before = self.nodes.len();
        self.nodes
            .retain(|_, node| now.since(node.heard_at) < FORGET_AFTER_MS);
        self.has_changed |= self.nodes.len() != before;
    }

    fn has_silent_candidate(&self, now: Millis) -> bool {
        let mut candidates = self.candidates.iter();
        candidates.any(|name| {
            let node = self.nodes.get(name);
            node.is_none_or(|node| self.silent_ms(node, now) >= CANDIDATE_TIMEOUT_MS)
        })
    }

    /// Returns for how long a node was silent while the scheduler read contacts.
    fn silent_ms(&self, node: &PlannedNode, now: Millis) -> u64 {
        now.since(node.heard_at.max(self.resumed_at))
    }

    fn plan(&mut self, now: Millis) {
        self.candidates = self.choose_candidates(now);
        let others = self.nodes.len().saturating_sub(self.candidates.len());
        let others = u64::try_from(others).unwrap_or(u64::MAX);
        let bounded_ms = others.saturating_mul(1_000) / CONTACTS_PER_S;
        self.interval_ms = bounded_ms.max(self.min_interval_ms);
        for (index, node) in (0..).zip(self.nodes.values_mut()) {
            node.plan = ContactPlan {
                interval_ms: self.interval_ms,
                candidate_rank: 0,
                follows_store: false,
                index,
            };
        }
        for (rank, name) in (1..).zip(&self.candidates) {
            if let Some(node) = self.nodes.get_mut(name) {
                node.plan.interval_ms = self.min_interval_ms;
                node.plan.candidate_rank = rank;
                node.plan.follows_store = true;
            }
        }
    }

    /// Chooses the candidates, the best first: those with fast links and many descriptors, and of equal ones first one
    /// of each zone.
    ///
    /// A node that is silent is no candidate, unless it is heard of at longer intervals than candidates are.
    fn choose_candidates(&self, now: Millis) -> Vec<SmolStr> {
        let mut heard = Vec::new();
        for (name, node) in &self.nodes {
            let timeout_ms = CANDIDATE_TIMEOUT_MS.max(2 * node.plan.interval_ms);
            if self.silent_ms(node, now) < timeout_ms {
                heard.push((name, node));
            }
        }
        let suitability = |node: &PlannedNode| (node.traits.has_fast_link, node.traits.files_limit);
        heard.sort_by_key(|(_, node)| (Reverse(suitability(node)), node.digest));
        let mut chosen_of_zone: BTreeMap<_, usize> = BTreeMap::new();
        let mut ordered = Vec::with_capacity(heard.len());
        for (name, node) in heard {
            let in_zone = chosen_of_zone
                .entry((Reverse(suitability(node)), &node.traits.zone))
                .or_default();
            ordered.push((Reverse(suitability(node)), *in_zone, node.digest, name));
            *in_zone += 1;
        }
        ordered.sort_unstable();
        let names = ordered.into_iter().map(|(_, _, _, name)| name.clone());
        names.take(CANDIDATES).collect()
    }
}
