//! Decides whether a node's configuration may be older than the newest one, and when the node asks another node for it.
//!
//! A node learns of a configuration from the store, from the scheduler, or, if it is the scheduler, from the nodes that
//! contact it. Any of these may stop without an error. So each piece of evidence that a version is the newest one counts
//! as of its own time, and a node that hears of a newer version on one way need not wait for the other.

use syc_types::Millis;

/// Without evidence for this long, a configuration may be old. It covers two waits of a read of the store that has no
/// news, while the store is slow.
const UNCONFIRMED_MS: u64 = 2_000;

/// A node that is behind a version that it has heard of for this long is reported. Fetching it takes much less.
const BEHIND_MS: u64 = 1_000;

/// How long a node that follows the store leaves it to the store to send a version that another node has. Every node
/// that follows the store would otherwise be sent each version twice.
const STORE_HEAD_START_MS: u64 = 300;

/// A newer version that a node has heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NewerVersion {
    version: u64,
    heard_at: Millis,
}

/// How current a node's configuration is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigurationAge {
    /// Version in force; 0 if there is none.
    pub version: u64,
    /// Newest version that the node has heard of.
    pub newest_heard: u64,
    /// Time since the node first heard of a version that is newer than its own; 0 if it has heard of none.
    pub behind_ms: u64,
    /// Time since there was evidence that its own version is the newest one.
    pub unconfirmed_ms: u64,
}

/// What a node knows of how current its configuration is.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationFreshness {
    version: u64,
    confirmed_at: Millis,
    newer: Option<NewerVersion>,
    is_reported: bool,
}

impl ConfigurationFreshness {
    /// Creates the state of a node that has no configuration.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            version: 0,
            confirmed_at: now,
            newer: None,
            is_reported: false,
        }
    }

    /// Records that a version is in force.
    pub fn record_applied(&mut self, version: u64) {
        self.version = version;
        self.newer = self.newer.filter(|newer| newer.version > version);
    }

    /// Records that `version` was the newest one that another node knew at `at`. Returns whether it is newer than the
    /// version in force.
    pub fn record_heard(&mut self, version: u64, at: Millis, now: Millis) -> bool {
        if version <= self.version {
            self.record_confirmed(at);
            return false;
        }
        let heard_at = self.newer.map_or(now, |newer| newer.heard_at);
        let known = self.newer.map_or(0, |newer| newer.version);
        self.newer = Some(NewerVersion {
            version: version.max(known),
            heard_at,
        });
        true
    }

    /// Records that the store had no newer version than the one in force at `at`.
    pub fn record_confirmed(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Returns whether the node has heard of a version that is newer than its own.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.newer.is_some()
    }

    /// Returns how long a node waits until it asks another node for a version that it has heard of. Only a node that
    /// follows the store can expect to get it otherwise.
    #[must_use]
    pub fn fetch_delay_ms(&self, follows_store: bool, now: Millis) -> u64 {
        match self.newer {
            Some(newer) if follows_store => newer.heard_at.plus(STORE_HEAD_START_MS).since(now),
            _ => 0,
        }
    }

    /// Returns whether there was no evidence for so long that the configuration may be old.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Millis) -> bool {
        self.version > 0 && now.since(self.confirmed_at) >= UNCONFIRMED_MS
    }

    /// Returns how current the configuration is.
    #[must_use]
    pub fn age(&self, now: Millis) -> ConfigurationAge {
        ConfigurationAge {
            version: self.version,
            newest_heard: self.newer.map_or(self.version, |newer| newer.version),
            behind_ms: self.newer.map_or(0, |newer| now.since(newer.heard_at)),
            unconfirmed_ms: now.since(self.confirmed_at),
        }
    }

    /// Returns whether the configuration may be old, if that has changed since the last call.
    pub fn take_change(&mut self, now: Millis) -> Option<bool> {
        let may_be_old = self.is_unconfirmed(now) || self.age(now).behind_ms >= BEHIND_MS;
        let has_changed = self.is_reported != may_be_old;
        self.is_reported = may_be_old;
        has_changed.then_some(may_be_old)
    }
}
