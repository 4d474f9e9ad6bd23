//! Identifiers of the things that the system routes to, places on and answers to.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use uuid::Uuid;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        #[schemars(inline)]
        pub struct $name(SmolStr);

        impl $name {
            /// Wraps `text` without further checks.
            pub fn new<T>(text: T) -> Self
            where
                T: Into<SmolStr>,
            {
                Self(text.into())
            }

            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(SmolStr::new(text))
            }
        }
    };
}

name_type! {
    /// Names a caller: the party that sent a request.
    CallerId
}
name_type! {
    /// Names one instance of a service.
    EndpointId
}
name_type! {
    /// Names one incarnation of an entry VM's daemon; a restart makes a new one.
    MemberId
}
name_type! {
    /// Names a rack of workers, the unit of ownership.
    RackId
}
name_type! {
    /// Names a service that endpoints provide.
    ServiceName
}
name_type! {
    /// Names a team: the unit of quotas, fair shares and job homes.
    TeamId
}
name_type! {
    /// Names a worker VM.
    WorkerId
}
name_type! {
    /// Names a VM of the platform; what runs on it comes and goes.
    VmId
}
name_type! {
    /// Names a workspace: the customer that jobs belong to.
    WorkspaceName
}
name_type! {
    /// Names an availability zone.
    Zone
}

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

uuid_type! {
    /// Identifies a job; the submitter chooses it, so that a repeated submit is idempotent.
    JobId
}
uuid_type! {
    /// Identifies a request across a caller's own retries (UUID version 7).
    RequestId
}

/// Numbers the views of the member list; later views have greater epochs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Numbers the accepted versions of one configuration document, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job that the task belongs to.
    pub job_id: JobId,
    /// Position of the task in its job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job_id, self.index)
    }
}
