//! Errors of the platform's services, told apart by what is certain after them.

use thiserror::Error;

/// Says why an append has no offset.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The entry is surely not in the log.
    #[error("the log did not take the entry: {0}")]
    Refused(String),
    /// The entry may be in the log; read it to find out.
    #[error("the log's answer was lost: {0}")]
    InDoubt(String),
}

/// Says why nothing could be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The service did not answer, or not in time.
    #[error("the service is not available: {0}")]
    Unavailable(String),
    /// The offset lies before the oldest retained entry.
    #[error("entries before offset {oldest} are gone")]
    Trimmed {
        /// The oldest offset that can be read.
        oldest: u64,
    },
    /// The answer is not in the published form.
    #[error("the service's answer can't be read: {0}")]
    Malformed(String),
}

/// Says why a worker did not do as commanded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WorkerError {
    /// The worker never got the command.
    #[error("the worker can't be reached: {0}")]
    NotSent(String),
    /// The worker refused; nothing changed.
    #[error("the worker refused: {0}")]
    Refused(String),
    /// The worker has seen a later epoch.
    #[error("the worker has seen epoch {seen}")]
    StaleEpoch {
        /// The latest epoch that the worker has seen.
        seen: u64,
    },
    /// The worker may have done it.
    #[error("the worker's answer was lost: {0}")]
    InDoubt(String),
}

/// Says why an endpoint gave no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointError {
    /// No byte of the request left for the endpoint.
    #[error("the endpoint can't be reached: {0}")]
    NotSent(String),
    /// The endpoint says that it did not act on the request.
    #[error("the endpoint refused the request")]
    Refused {
        /// Whether it refused because it is leaving.
        draining: bool,
    },
    /// The endpoint may have acted on the request.
    #[error("the endpoint's answer was lost: {0}")]
    InDoubt(String),
    /// The endpoint may have acted on the request; the deadline passed.
    #[error("the endpoint did not answer in time")]
    TimedOut,
}
