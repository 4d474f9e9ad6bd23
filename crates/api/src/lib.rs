//! The JSON that callers and operators exchange with a daemon.
//!
//! `docs/API.md` describes paths, headers and status codes.

mod operators;

pub use operators::AuditEntryBody;
pub use operators::DrainAnswer;
pub use operators::DrainBody;
pub use operators::ExplainBody;
pub use operators::MemberStatus;
pub use operators::OwnerStatus;
pub use operators::RackStatus;
pub use operators::StatusBody;
pub use operators::WaitingJob;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use syc_config::Document;
use syc_types::JobId;
use syc_types::JobSpec;
use syc_types::Revision;
use uuid::Uuid;

/// Header that carries the operator's token.
pub const TOKEN_HEADER: &str = "x-control-token";

/// What is certain when there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing was done; the same may be sent again.
    NotRun,
    /// It may have been done.
    Unknown,
}

/// Body of every answer that is an error.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is certain.
    pub outcome: Outcome,
    /// Stable code of the reason.
    pub code: SmolStr,
    /// The reason in words.
    pub message: String,
    /// When to come back, where that helps.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Says that nothing was done.
    #[must_use]
    pub fn not_run(code: &str, message: &str, retry_after_ms: Option<u64>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code: code.into(),
            message: message.to_owned(),
            retry_after_ms,
        }
    }

    /// Says that it may have been done.
    #[must_use]
    pub fn unknown(code: &str, message: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code: code.into(),
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }
}

/// Body of a submit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitBody {
    /// The job's id; the daemon chooses one where it is missing.
    #[serde(default)]
    pub job_id: Option<JobId>,
    /// What is submitted.
    pub spec: JobSpec,
}

/// Answer to a submit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// The job's id.
    pub job_id: JobId,
}

/// Body of a publication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PublishBody {
    /// Identifies the publication across repeats.
    pub id: Uuid,
    /// Who publishes.
    pub author: SmolStr,
    /// The revision that the author has seen; 0 for none.
    pub base: Revision,
    /// What is to be in force in place of that revision.
    pub document: Document,
}

/// Answer to a publication that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishAnswer {
    /// The revision that is in force now.
    pub revision: Revision,
}

/// A document in force, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The document's scope.
    pub scope: SmolStr,
    /// Number of the document in its scope; each publication that is accepted adds one.
    pub revision: Revision,
    /// Who published it.
    pub author: SmolStr,
    /// What is in force.
    pub document: Document,
}
