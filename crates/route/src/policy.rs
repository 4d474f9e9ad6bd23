//! How many slots of an endpoint one entry VM takes, while other entry VMs take theirs unseen.

/// What a policy knows of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotFacts {
    /// Slots of the endpoint.
    pub slots: u32,
    /// Entry VMs of the view, which share the slots; at least 1.
    pub entry_vms: u32,
    /// Limit learned from the endpoint's busy refusals, in slots.
    pub learned: f32,
}

impl SlotFacts {
    /// Returns this entry VM's part of the slots, at least one.
    #[must_use]
    pub fn share(self) -> u32 {
        (self.slots / self.entry_vms.max(1)).max(1)
    }

    /// Returns the learned limit in whole slots, at least one.
    #[must_use]
    pub fn learned_slots(self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit is positive and bounded by the slots"
        )]
        let whole = self.learned as u32;
        whole.clamp(1, self.slots.max(1))
    }
}

/// Limits of one endpoint's requests in flight from this entry VM.
///
/// Endpoints below their `soft` limit go before those that are between it and `hard`.
pub trait SlotPolicy {
    /// Requests in flight up to which the endpoint is preferred.
    fn soft(&self, facts: SlotFacts) -> u32;

    /// Requests in flight that are never exceeded.
    fn hard(&self, facts: SlotFacts) -> u32;
}

/// Slots divided over the entry VMs; an idle rest is borrowed up to all slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DividedSlots;

impl SlotPolicy for DividedSlots {
    fn soft(&self, facts: SlotFacts) -> u32 {
        facts.share()
    }

    fn hard(&self, facts: SlotFacts) -> u32 {
        facts.slots
    }
}

/// Two random choices, by requests in flight and latency; no division.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TwoChoices;

impl SlotPolicy for TwoChoices {
    fn soft(&self, facts: SlotFacts) -> u32 {
        facts.slots
    }

    fn hard(&self, facts: SlotFacts) -> u32 {
        facts.slots
    }
}

/// The divided slots first, borrowing only up to the limit that busy refusals taught.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdaptiveLimit;

impl SlotPolicy for AdaptiveLimit {
    fn soft(&self, facts: SlotFacts) -> u32 {
        facts.share().min(facts.learned_slots())
    }

    fn hard(&self, facts: SlotFacts) -> u32 {
        facts.learned_slots()
    }
}
