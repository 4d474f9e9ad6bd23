//! Decoding errors.

use thiserror::Error;

/// Errors in decoding a message.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The bytes are not valid protobuf.
    #[error("invalid protobuf encoding: {0}")]
    Encoding(#[from] prost::DecodeError),
    /// The value of a field is out of range.
    #[error("field `{field}` is out of range")]
    Field {
        /// Name of the field.
        field: &'static str,
    },
    /// The message has no body, or one that this version does not know.
    #[error("message has no known body")]
    NoBody,
}

impl DecodeError {
    /// Creates the error for a value of `field` that is out of range.
    #[must_use]
    pub const fn field(field: &'static str) -> Self {
        Self::Field { field }
    }
}
