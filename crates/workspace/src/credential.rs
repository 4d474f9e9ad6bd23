//! What a call says about its caller, and why it is denied.

use smol_str::SmolStr;

use crate::KeyDigest;

/// What a call carries to identify its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    Missing,
    /// Something that is not a single bearer key.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// Why a call is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// It carries no key.
    Missing,
    /// What it carries is not a single bearer key.
    Malformed,
    /// The configuration in force does not contain its key.
    Unknown,
}

impl DenialReason {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "no_key",
            Self::Malformed => "malformed_key",
            Self::Unknown => "unknown_key",
        }
    }
}

/// A call whose caller is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Denied {
    /// The reason.
    pub reason: DenialReason,
    /// Fingerprint of the key; empty if there is none.
    pub fingerprint: SmolStr,
}

impl From<DenialReason> for Denied {
    fn from(reason: DenialReason) -> Self {
        Self {
            reason,
            fingerprint: SmolStr::default(),
        }
    }
}
