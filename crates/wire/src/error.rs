//! Errors of decoding.

use thiserror::Error;

/// Says why received bytes are not a message of this protocol.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The bytes are not a valid encoding.
    #[error("not a valid encoding: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// A field has a value outside its range.
    #[error("field `{field}` has a value outside its range")]
    Field {
        /// Name of the field.
        field: &'static str,
    },
    /// The message has no body that this version knows.
    #[error("message has no known body")]
    NoBody,
}

impl DecodeError {
    /// Makes the error for a bad `field`.
    #[must_use]
    pub const fn field(field: &'static str) -> Self {
        Self::Field { field }
    }
}
