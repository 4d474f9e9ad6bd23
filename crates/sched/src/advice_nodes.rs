//! The nodes that call the advice service, and what each has under way there.
//!
//! The service serves one call at a time for each calling node, so the calls that can be served at once
//! are a resource like cores. What is waiting is asked about only when a node is free: among calls that
//! queue at the service, short ones wait behind long ones.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Millis;

/// A node that was not heard of for this long is not asked: heartbeats come several times a second.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_200;

/// A node that was not heard of for this long is forgotten.
const FORGET_AFTER_MS: u64 = 10_000;

/// A node that failed to answer is not asked again for this long.
const BACKOFF_MS: u64 = 1_500;

/// Short calls that a node has under way at once: the next is at the service when one is served.
const MAX_SHORT_CALLS: u32 = 2;

/// One node in so many makes short calls only, so that they never wait for a long one.
const NODES_PER_SHORT_ONLY: usize = 4;

/// How long a call for advice is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallLength {
    /// So short that two may be under way at one node.
    Short,
    /// Long enough to keep short ones waiting.
    Long,
}

/// Calls for advice that can be served at once.
///
/// A call that is made when its turn has come names the workers that have room then, and the most urgent
/// step goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceSlots {
    /// Short calls.
    pub short: u32,
    /// Long calls.
    pub long: u32,
}

impl AdviceSlots {
    /// As many as are wanted.
    pub const UNBOUNDED: Self = Self {
        short: u32::MAX,
        long: u32::MAX,
    };
}

/// A node that calls for advice.
#[derive(Debug, Clone, Copy)]
struct AdviceNode {
    /// Whether it is the scheduler's own node, which is always there.
    is_local: bool,
    last_heard_at: Millis,
    backoff_until: Millis,
    /// Calls under way.
    short: u32,
    long: u32,
}

impl AdviceNode {
    const fn new(is_local: bool, now: Millis) -> Self {
        Self {
            is_local,
            last_heard_at: now,
            backoff_until: Millis(0),
            short: 0,
            long: 0,
        }
    }

    fn is_available(&self, now: Millis) -> bool {
        let heard = self.is_local || now.since(self.last_heard_at) < HEARTBEAT_TIMEOUT_MS;
        heard && self.backoff_until <= now
    }

    const fn short_slots(&self) -> u32 {
        if self.long > 0 {
            return 0;
        }
        MAX_SHORT_CALLS.saturating_sub(self.short)
    }

    const fn long_slots(&self) -> u32 {
        if self.long + self.short > 0 { 0 } else { 1 }
    }

    const fn slots(&self, length: CallLength) -> u32 {
        match length {
            CallLength::Short => self.short_slots(),
            CallLength::Long => self.long_slots(),
        }
    }

    const fn in_flight(&mut self, length: CallLength) -> &mut u32 {
        match length {
            CallLength::Short => &mut self.short,
            CallLength::Long => &mut self.long,
        }
    }
}

/// The nodes that call for advice, by name.
#[derive(Debug, Clone, Default)]
pub struct AdviceNodes {
    nodes: BTreeMap<SmolStr, AdviceNode>,
}

impl AdviceNodes {
    /// Makes a list with the scheduler's own node only.
    #[must_use]
    pub fn with_local(node: SmolStr, now: Millis) -> Self {
        Self {
            nodes: BTreeMap::from([(node, AdviceNode::new(true, now))]),
        }
    }

    /// Takes note that another node is there. Returns whether it was not known.
    pub fn note_heartbeat(&mut self, node: &SmolStr, now: Millis) -> bool {
        self.nodes.retain(|_, node_state| {
            node_state.is_local || now.since(node_state.last_heard_at) < FORGET_AFTER_MS
        });
        if let Some(node_state) = self.nodes.get_mut(node) {
            node_state.last_heard_at = now;
            return false;
        }
        self.nodes.insert(node.clone(), AdviceNode::new(false, now));
        true
    }

    /// Says whether a node is known.
    #[must_use]
    pub fn has_node(&self, node: &str) -> bool {
        self.nodes.contains_key(node)
    }

    /// Counts the nodes, without the scheduler's own, that come before one in the order of names.
    #[must_use]
    pub fn remote_nodes_before(&self, node: &str) -> u32 {
        let before = self.nodes.iter().take_while(|(name, _)| *name != node);
        let others = before
            .filter(|(_, node_state)| !node_state.is_local)
            .count();
        u32::try_from(others).unwrap_or(u32::MAX)
    }

    /// Returns the calls that can be served at once.
    #[must_use]
    pub fn slots(&self, now: Millis) -> AdviceSlots {
        let short_only = self.short_only_count(now);
        let mut slots = AdviceSlots { short: 0, long: 0 };
        for (index, (_, node_state)) in self.available(now).enumerate() {
            slots.short += node_state.short_slots();
            if index >= short_only {
                slots.long += node_state.long_slots();
            }
        }
        slots
    }

    /// Picks the node with the fewest calls under way, and counts the call as given to it.
    pub fn acquire(&mut self, length: CallLength, now: Millis) -> Option<SmolStr> {
        let short_only = self.short_only_count(now);
        let mut best: Option<(u32, SmolStr)> = None;
        for (index, (name, node_state)) in self.available(now).enumerate() {
            let slots = node_state.slots(length);
            if slots == 0 || (length == CallLength::Long && index < short_only) {
                continue;
            }
            if best.as_ref().is_none_or(|(most, _)| slots > *most) {
                best = Some((slots, name.clone()));
            }
        }
        let (_, name) = best?;
        let node_state = self.nodes.get_mut(&name)?;
        *node_state.in_flight(length) += 1;
        Some(name)
    }

    /// Takes note that a node's call is over.
    pub fn release(&mut self, node: &str, length: CallLength, answered: bool, now: Millis) {
        let Some(node_state) = self.nodes.get_mut(node) else {
            return;
        };
        let in_flight = node_state.in_flight(length);
        *in_flight = in_flight.saturating_sub(1);
        if !answered {
            node_state.backoff_until = now.plus(BACKOFF_MS);
        }
    }

    fn available(&self, now: Millis) -> impl Iterator<Item = (&SmolStr, &AdviceNode)> {
        let nodes = self.nodes.iter();
        nodes.filter(move |(_, node_state)| node_state.is_available(now))
    }

    /// Returns how many of the available nodes, the first in the order of names, make short calls only.
    fn short_only_count(&self, now: Millis) -> usize {
        let count = self.available(now).count();
        if count < 2 {
            return 0;
        }
        (count / NODES_PER_SHORT_ONLY).max(1)
    }
}
