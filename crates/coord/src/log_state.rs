//! What the records of the log have made, as far as it was read.

use syc_member::Views;

use crate::AuditTrail;
use crate::ConfigStore;
use crate::Jobs;
use crate::Tombstones;

/// The parts of a daemon's state that follow from the log alone.
#[derive(Debug, Clone, Copy)]
pub struct LogState<'a> {
    /// The configuration.
    pub config: &'a ConfigStore,
    /// The audit trail.
    pub audit: &'a AuditTrail,
    /// Jobs, and which of their tasks have ended or have an intent.
    pub jobs: &'a Jobs,
    /// The current view, and the former ones that are not settled.
    pub views: &'a Views,
    /// The records that never count.
    pub tombstones: &'a Tombstones,
}
