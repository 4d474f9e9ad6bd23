//! Distributes advice calls among the nodes of the cell.
//!
//! The advice service serves one call at a time for each calling node, so concurrent calls are a limited
//! resource. A call is made only when a node is free, because short calls that queue at the service would
//! wait behind long ones.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::Millis;

/// A node gets no calls if its heartbeat is late by this long.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_200;

/// A node without a heartbeat for this long is removed.
const FORGET_AFTER_MS: u64 = 10_000;

/// A node that did not answer a call gets no further calls for this long.
const BACKOFF_MS: u64 = 1_500;

/// Concurrent short calls of a node. With two, the next call is already at the service when one completes.
const MAX_SHORT_CALLS: u32 = 2;

/// One in this many nodes makes only short calls, so that they never wait for a long one.
const NODES_PER_SHORT_ONLY: usize = 4;

/// Whether an advice call takes a short or a long time to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallLength {
    /// Short enough that a node may make two at the same time.
    Short,
    /// Long enough to delay short calls.
    Long,
}

/// The number of advice calls that can be made now.
///
/// Calls wait at the scheduler until there is a free slot, so that the most urgent step goes first and each
/// call names workers that have capacity when it is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceSlots {
    /// Free slots for short calls.
    pub short: u32,
    /// Free slots for long calls.
    pub long: u32,
}

impl AdviceSlots {
    /// No limit on calls.
    pub const UNBOUNDED: Self = Self {
        short: u32::MAX,
        long: u32::MAX,
    };
}

/// A node that makes advice calls.
#[derive(Debug, Clone, Copy)]
struct AdviceNode {
    /// Whether this is the scheduler's own node, which needs no heartbeat.
    is_local: bool,
    last_heard_at: Millis,
    backoff_until: Millis,
    /// Calls in flight.
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

    fn is_available(&self, heartbeat_interval_ms: u64, now: Millis) -> bool {
        let timeout_ms = heartbeat_interval_ms + HEARTBEAT_TIMEOUT_MS;
        let heard = self.is_local || now.since(self.last_heard_at) < timeout_ms;
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

/// The nodes that make advice calls, by name.
#[derive(Debug, Clone, Default)]
pub struct AdviceNodes {
    nodes: BTreeMap<SmolStr, AdviceNode>,
    /// Longest interval between two heartbeats of a node.
    heartbeat_interval_ms: u64,
}

impl AdviceNodes {
    /// Creates a set that contains only the scheduler's own node.
    #[must_use]
    pub fn with_local(node: SmolStr, now: Millis) -> Self {
        Self {
            nodes: BTreeMap::from([(node, AdviceNode::new(true, now))]),
            heartbeat_interval_ms: 0,
        }
    }

    /// Records a heartbeat of another node. Returns whether the node is new.
    pub fn note_heartbeat(&mut self, node: &SmolStr, now: Millis) -> bool {
        if let Some(node_state) = self.nodes.get_mut(node) {
            node_state.last_heard_at = now;
            return false;
        }
        self.nodes.insert(node.clone(), AdviceNode::new(false, now));
        true
    }

    /// Sets the longest interval between two heartbeats of a node.
    pub const fn set_heartbeat_interval_ms(&mut self, interval_ms: u64) {
        self.heartbeat_interval_ms = interval_ms;
    }

    /// Removes the nodes that were silent for long, and returns their names.
    pub fn remove_silent(&mut self, now: Millis) -> Vec<SmolStr> {
        let is_silent = |_: &SmolStr, node: &mut AdviceNode| {
            !node.is_local && now.since(node.last_heard_at) >= FORGET_AFTER_MS
        };
        let silent = self.nodes.extract_if(.., is_silent);
        silent.map(|(name, _)| name).collect()
    }

    /// Returns the free slots of all available nodes.
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

    /// Picks the node with the most free slots and assigns the call to it.
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

    /// Releases the slot of a call that has ended.
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
        nodes
            .filter(move |(_, node_state)| node_state.is_available(self.heartbeat_interval_ms, now))
    }

    /// Returns how many of the available nodes make only short calls. These are the first ones by name.
    fn short_only_count(&self, now: Millis) -> usize {
        let count = self.available(now).count();
        if count < 2 {
            return 0;
        }
        (count / NODES_PER_SHORT_ONLY).max(1)
    }
}
