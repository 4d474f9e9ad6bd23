//! Reading request bodies and building JSON responses.

use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::header;
use bytes::Bytes;
use futures_util::StreamExt;

use crate::http::connection_share;
use crate::intake::CHUNKED_BODY_BYTES;
use crate::intake::PoolExhausted;
use crate::intake::Refusal;
use crate::intake::Share;

/// Factor by which chunks can take more memory than their content.
const CHUNK_FACTOR: usize = 32;

/// Errors of [`read_body`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The body ended early or its encoding is malformed.
    Incomplete,
    /// The body was refused for the bound that the process has on what its clients send.
    Refused(Refusal),
}

impl From<PayloadError> for BodyError {
    fn from(error: PayloadError) -> Self {
        match error {
            PayloadError::Overflow => Self::TooLarge,
            _ => Self::Incomplete,
        }
    }
}

/// Reads the whole request body, up to `limit_bytes`. Its memory comes out of the [`Intake`](crate::Intake) of the
/// listener until the response is ready.
///
/// # Errors
///
/// Fails if the body exceeds the limit, ends early, is malformed, or is refused.
pub async fn read_body(request: &mut Request, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let declared_bytes = declared_length(request);
    if declared_bytes.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(BodyError::TooLarge);
    }
    let share = connection_share(request).unwrap_or_else(Share::detached);
    let reader = BodyReader {
        share: &share,
        declared_bytes,
        limit_bytes,
    };
    share.begin_body();
    let outcome = reader.read(request.take_payload()).await;
    let body = std::mem::take(&mut *share.body());
    share.end_body(outcome.is_ok());
    outcome?;
    Ok(body.into_bytes())
}

/// Returns the length of the body that the head states; `None` if it is chunked or states none.
fn declared_length(request: &Request) -> Option<usize> {
    let headers = request.headers();
    if headers.contains_key(header::TRANSFER_ENCODING) {
        return None;
    }
    let length = headers.get(header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}

/// Reads a body into the share of its connection.
struct BodyReader<'a> {
    share: &'a Share,
    declared_bytes: Option<usize>,
    limit_bytes: usize,
}

impl BodyReader<'_> {
    async fn read(&self, mut payload: Payload) -> Result<(), BodyError> {
        while let Some(chunk) = poll_fn(|cx| self.poll_chunk(&mut payload, cx)).await? {
            if self.share.body().len() + chunk.len() > self.limit_bytes {
                return Err(BodyError::TooLarge);
            }
            self.append(&chunk)?;
        }
        Ok(())
    }

    fn poll_chunk(
        &self,
        payload: &mut Payload,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, BodyError>> {
        if let Some(refusal) = self.share.refusal() {
            return Poll::Ready(Err(BodyError::Refused(refusal)));
        }
        let Poll::Ready(chunk) = payload.poll_next_unpin(cx) else {
            // All that has arrived is in the body by now.
            self.share.expect_body(self.left_bytes());
            return Poll::Pending;
        };
        Poll::Ready(chunk.transpose().map_err(BodyError::from))
    }

    fn left_bytes(&self) -> Option<usize> {
        let declared_bytes = self.declared_bytes?;
        Some(declared_bytes.saturating_sub(self.share.body().len()))
    }

    fn append(&self, mut chunk: &[u8]) -> Result<(), BodyError> {
        while !chunk.is_empty() {
            let next_block = self.share.body().next_block(self.declared_bytes);
            if let Some(block_bytes) = next_block {
                self.add_block(block_bytes)?;
            }
            chunk = self.share.body().append(chunk);
        }
        Ok(())
    }

    /// Adds a block, if the process has memory for it.
    fn add_block(&self, block_bytes: usize) -> Result<(), BodyError> {
        let capacity_bytes = self.share.body().capacity() + block_bytes;
        let chunks_bytes = match self.declared_bytes {
            Some(_) => 0,
            None => CHUNKED_BODY_BYTES.min(CHUNK_FACTOR * self.share.body().len()),
        };
        let held = self.share.hold(capacity_bytes + chunks_bytes);
        held.map_err(|PoolExhausted| {
            self.share.refuse(Refusal::Memory);
            BodyError::Refused(Refusal::Memory)
        })?;
        self.share.body().add_block(block_bytes);
        Ok(())
    }
}

/// Counts memory that a request takes once its body is parsed, until its response is ready, in place of that of the
/// body.
///
/// # Errors
///
/// Fails if the process has no memory for it. The request should then be rejected.
pub fn hold_memory(request: &Request, bytes: usize) -> Result<(), Refusal> {
    let Some(share) = connection_share(request) else {
        return Ok(());
    };
    share.hold(bytes).map_err(|PoolExhausted| {
        share.count(Refusal::Memory);
        Refusal::Memory
    })
}

/// Creates a response whose body is the JSON document `text`.
#[must_use]
pub fn json_response(status: StatusCode, text: String) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(text));
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
