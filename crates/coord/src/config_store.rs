//! Which documents are in force, decided once by the order of the log.

use std::collections::BTreeMap;
use std::collections::HashMap;

use smol_str::SmolStr;
use syc_config::Document;
use syc_types::Revision;
use uuid::Uuid;

use crate::records::ConfigRecord;

/// What became of a published document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force as this revision.
    Accepted(Revision),
    /// Another publication came first; this revision was in force.
    Conflict(Revision),
}

/// A document in force.
#[derive(Debug, Clone, PartialEq)]
pub struct InForce {
    /// Its revision in its scope.
    pub revision: Revision,
    /// Offset of the record that brought it.
    pub offset: u64,
    /// Who published it.
    pub author: SmolStr,
    /// The document.
    pub document: Document,
}

/// The documents in force, by scope.
#[derive(Debug, Clone, Default)]
pub struct ConfigStore {
    documents: BTreeMap<SmolStr, InForce>,
    verdicts: HashMap<Uuid, Verdict>,
}

impl ConfigStore {
    /// Applies a record that stands at `offset`; a repeated id gets its first verdict again.
    pub fn apply(&mut self, id: Uuid, offset: u64, record: &ConfigRecord) -> Verdict {
        if let Some(verdict) = self.verdicts.get(&id) {
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
        self.verdicts.insert(id, verdict.clone());
        verdict
    }

    /// Returns the revision in force of a scope, 0 for none.
    #[must_use]
    pub fn revision(&self, scope: &str) -> Revision {
        self.documents
            .get(scope)
            .map_or(Revision(0), |in_force| in_force.revision)
    }

    /// Returns the verdict on a record that was applied.
    #[must_use]
    pub fn verdict(&self, id: Uuid) -> Option<&Verdict> {
        self.verdicts.get(&id)
    }

    /// Returns every document in force, by scope.
    pub fn documents(&self) -> impl Iterator<Item = (&SmolStr, &InForce)> {
        self.documents.iter()
    }
}
