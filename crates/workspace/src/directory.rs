//! The workspaces of a configuration, and the lookup by key.

use std::collections::BTreeMap;
use std::collections::HashMap;

use smol_str::SmolStr;
use syc_types::WorkspaceName;
use thiserror::Error;

use crate::Credential;
use crate::DenialReason;
use crate::Denied;
use crate::KeyDigest;
use crate::WorkspacePolicy;

/// Why a workspace can't be added.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AddError {
    /// Another one has its name.
    #[error("two workspaces are named `{0}`")]
    DuplicateName(WorkspaceName),
    /// Another one has one of its keys.
    #[error("a key, {fingerprint}, is also that of the workspace `{other}`")]
    DuplicateKey {
        /// Fingerprint of the key.
        fingerprint: SmolStr,
        /// The other workspace.
        other: WorkspaceName,
    },
}

/// The workspaces of a configuration, with their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Workspaces {
    policies: BTreeMap<WorkspaceName, WorkspacePolicy>,
    by_key: HashMap<KeyDigest, WorkspaceName>,
}

impl Workspaces {
    /// Adds a workspace with its keys.
    ///
    /// # Errors
    ///
    /// Fails if another workspace has its name or one of its keys. Nothing is added then.
    pub fn add(&mut self, policy: WorkspacePolicy, keys: &[KeyDigest]) -> Result<(), AddError> {
        if self.policies.contains_key(&policy.name) {
            return Err(AddError::DuplicateName(policy.name));
        }
        for key in keys {
            if let Some(other) = self.by_key.get(key) {
                return Err(AddError::DuplicateKey {
                    fingerprint: key.fingerprint(),
                    other: other.clone(),
                });
            }
        }
        for key in keys {
            self.by_key.insert(*key, policy.name.clone());
        }
        self.policies.insert(policy.name.clone(), policy);
        Ok(())
    }

    /// Adds a workspace as an earlier configuration defined it, if that did.
    ///
    /// # Errors
    ///
    /// Fails as [`Workspaces::add`] does.
    pub fn add_from(&mut self, earlier: &Self, name: &WorkspaceName) -> Result<(), AddError> {
        let Some(policy) = earlier.policies.get(name) else {
            return Ok(());
        };
        let keys = earlier.by_key.iter();
        let keys = keys.filter(|(_, owner)| *owner == name);
        let keys: Vec<_> = keys.map(|(key, _)| *key).collect();
        self.add(policy.clone(), &keys)
    }

    /// Returns the policies of all workspaces.
    pub fn policies(&self) -> impl Iterator<Item = &WorkspacePolicy> {
        self.policies.values()
    }

    /// Returns the policy of a workspace.
    #[must_use]
    pub fn policy(&self, name: &WorkspaceName) -> Option<&WorkspacePolicy> {
        self.policies.get(name)
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Identifies the caller's workspace. A call that needs no key may come from none.
    ///
    /// # Errors
    ///
    /// Fails if the call needs a key and carries none that is known.
    pub fn authenticate(
        &self,
        credential: &Credential,
        needs_key: bool,
    ) -> Result<Option<&WorkspaceName>, Denied> {
        let identified = self.identify(credential);
        if needs_key {
            return identified.map(Some);
        }
        Ok(identified.ok())
    }

    fn identify(&self, credential: &Credential) -> Result<&WorkspaceName, Denied> {
        let key = match credential {
            Credential::Missing => return Err(DenialReason::Missing.into()),
            Credential::Malformed => return Err(DenialReason::Malformed.into()),
            Credential::Key(key) => key,
        };
        self.by_key.get(key).ok_or_else(|| Denied {
            reason: DenialReason::Unknown,
            fingerprint: key.fingerprint(),
        })
    }
}

/// Returns whether a caller may see, repeat and cancel a job. A job of no workspace is open to every caller of its
/// queue.
#[must_use]
pub fn may_access(owner: Option<&WorkspaceName>, caller: Option<&WorkspaceName>) -> bool {
    owner.is_none() || owner == caller
}
