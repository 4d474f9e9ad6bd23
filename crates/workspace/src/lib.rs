//! Workspaces: who a caller is, what its workspace may run, and its share when the workers are full.
//!
//! Everything here is a plain value without I/O. The configuration of a cell holds [`Workspaces`]; nodes
//! authenticate callers with it, and the scheduler applies each [`WorkspacePolicy`].

mod credential;
mod digest;
mod directory;
mod policy;

pub use credential::Credential;
pub use credential::DenialReason;
pub use credential::Denied;
pub use digest::KeyDigest;
pub use directory::AddError;
pub use directory::Workspaces;
pub use directory::may_access;
pub use policy::MAX_WEIGHT;
pub use policy::MIN_WEIGHT;
pub use policy::UNLIMITED;
pub use policy::WorkspacePolicy;
