//! Which documents are in force, decided once by the order of the log.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_config::Document;
use syc_types::Revision;
use uuid::Uuid;

use crate::records::ConfigRecord;

/// Most verdicts that are kept; about three days of an operator's changes.
const VERDICTS_KEPT: usize = 4_096;

/// What became of a published document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force as this revision.
    Accepted(Revision),
    /// Another publication came first; this revision was in force.
    Conflict(Revision),
}

/// A document in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Its revision in its scope.
    pub revision: Revision,
    /// Offset of the record that brought it.
    pub offset: u64,
    /// Who published it.
    pub author: SmolStr,
    /// What was published.
    pub document: Document,
}

/// The documents in force, by scope, and the latest verdicts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigStore {
    documents: BTreeMap<SmolStr, InForce>,
    verdicts: HashMap<Uuid, Verdict>,
    order: VecDeque<Uuid>,
}

impl ConfigStore {
    /// Applies a record that stands at `offset`; a repeated publication gets its first verdict.
    pub fn apply(&mut self, offset: u64, record: &ConfigRecord) -> Verdict {
        if let Some(verdict) = self.verdicts.get(&record.publication) {
            return verdict.clone();
        }
        let scope = record.document.scope();
        let current = self.revision(&scope);
        let verdict = if current == record.base {
            let revision = Revision(current.0 + 1);
            let in_force = InForce {
                revision,
                offset,
                author: record.author.clone(),
                document: record.document.clone(),
            };
            self.documents.insert(scope, in_force);
            Verdict::Accepted(revision)
        } else {
            Verdict::Conflict(current)
        };
        self.restore_verdict(record.publication, verdict.clone());
        verdict
    }

    /// Takes over a document from a snapshot or a peer, unless a later revision is in force.
    /// Returns whether it came into force.
    pub fn restore(&mut self, in_force: InForce) -> bool {
        let scope = in_force.document.scope();
        if self.revision(&scope) >= in_force.revision {
            return false;
        }
        self.documents.insert(scope, in_force);
        true
    }

    /// Takes over a verdict; the oldest is forgotten where there are too many.
    pub fn restore_verdict(&mut self, publication: Uuid, verdict: Verdict) {
        if self.verdicts.insert(publication, verdict).is_some() {
            return;
        }
        self.order.push_back(publication);
        if self.order.len() > VERDICTS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    /// Returns the revision in force of a scope, 0 for none.
    #[must_use]
    pub fn revision(&self, scope: &str) -> Revision {
        self.documents
            .get(scope)
            .map_or(Revision(0), |in_force| in_force.revision)
    }

    /// Returns the verdict on a publication that was applied and is not yet forgotten.
    #[must_use]
    pub fn verdict(&self, publication: Uuid) -> Option<&Verdict> {
        self.verdicts.get(&publication)
    }

    /// Returns every document in force, by scope.
    pub fn documents(&self) -> impl Iterator<Item = (&SmolStr, &InForce)> {
        self.documents.iter()
    }

    /// Returns the kept verdicts, the oldest first.
    pub fn verdicts(&self) -> impl Iterator<Item = (Uuid, &Verdict)> {
        let kept = |id: &Uuid| self.verdicts.get(id).map(|verdict| (*id, verdict));
        self.order.iter().filter_map(kept)
    }
}
