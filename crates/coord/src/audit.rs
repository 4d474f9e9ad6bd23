//! The audit trail: who changed what, folded from the log's records.
//!
//! A published document needs no record of its own here: the configuration record and the verdict
//! on it say everything.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_types::Revision;
use uuid::Uuid;

use crate::Verdict;
use crate::records::AuditRecord;
use crate::records::ConfigRecord;

/// Most entries that are kept; about three days of an operator's changes.
pub const AUDIT_ENTRIES: usize = 4_096;

/// Where a record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The record's id.
    pub id: Uuid,
    /// Its offset in the log.
    pub offset: u64,
    /// When it was written, in Unix milliseconds on the writer's clock.
    pub at_ms: u64,
}

/// One change, made or refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Id of the change over all its repeats.
    pub id: Uuid,
    /// Offset of its record in the log.
    pub offset: u64,
    /// When it was written, in Unix milliseconds on the writer's clock.
    pub at_ms: u64,
    /// Who made it.
    pub actor: SmolStr,
    /// What was done.
    pub action: Action,
}

/// What was done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// A document was published and is or was in force.
    Published {
        /// Which document it replaced, as `kind/name`.
        scope: SmolStr,
        /// The revision that it replaced.
        from: Revision,
        /// The revision that it became.
        to: Revision,
    },
    /// A document was published and refused: its base was not in force any more.
    Refused {
        /// Which document it was to replace, as `kind/name`.
        scope: SmolStr,
        /// The revision that its author had seen.
        base: Revision,
        /// The revision that was in force.
        current: Revision,
    },
    /// Something that is no configuration.
    Other {
        /// What, as a stable code.
        code: SmolStr,
        /// To what.
        detail: SmolStr,
    },
}

impl Action {
    /// Returns the scope that the change was about, if it was about a document.
    #[must_use]
    pub fn scope(&self) -> Option<&str> {
        match self {
            Self::Published { scope, .. } | Self::Refused { scope, .. } => Some(scope),
            Self::Other { .. } => None,
        }
    }
}

/// The latest changes, in the log's order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AuditTrail {
    entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    /// Adds a publication and its verdict.
    pub fn config(&mut self, place: Place, record: &ConfigRecord, verdict: &Verdict) {
        let scope = record.document.scope();
        let action = match verdict {
            Verdict::Accepted(to) => Action::Published {
                scope,
                from: record.base,
                to: *to,
            },
            Verdict::Conflict(current) => Action::Refused {
                scope,
                base: record.base,
                current: *current,
            },
        };
        self.push(place, record.author.clone(), action);
    }

    /// Adds something that is no configuration.
    pub fn other(&mut self, place: Place, record: &AuditRecord) {
        let action = Action::Other {
            code: record.action.clone(),
            detail: record.detail.clone(),
        };
        self.push(place, record.actor.clone(), action);
    }

    /// Takes over an entry from a snapshot.
    pub fn restore(&mut self, entry: AuditEntry) {
        if self.entries.iter().any(|known| known.id == entry.id) {
            return;
        }
        let later = self
            .entries
            .partition_point(|known| known.offset <= entry.offset);
        self.entries.insert(later, entry);
        if self.entries.len() > AUDIT_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Returns the entries, the oldest first.
    #[must_use]
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    fn push(&mut self, place: Place, actor: SmolStr, action: Action) {
        self.restore(AuditEntry {
            id: place.id,
            offset: place.offset,
            at_ms: place.at_ms,
            actor,
            action,
        });
    }
}
