//! Length-delimited frames with a correlation id, in which peers send calls and replies.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::LengthDelimitedCodec;

/// Size of the correlation id before each payload.
const CORRELATION_ID_BYTES: usize = 8;

/// Size of the length prefix of each frame.
pub(crate) const LENGTH_PREFIX_BYTES: usize = 4;

/// Size of the header before each payload.
pub const FRAME_OVERHEAD_BYTES: usize = CORRELATION_ID_BYTES + LENGTH_PREFIX_BYTES;

/// Maximum size of a frame.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

pub(crate) fn encode_frame(id: u64, payload: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(CORRELATION_ID_BYTES + payload.len());
    frame.put_u64(id);
    frame.put_slice(payload);
    frame.freeze()
}

pub(crate) fn decode_frame(mut frame: BytesMut) -> Option<(u64, Bytes)> {
    if frame.len() < CORRELATION_ID_BYTES {
        return None;
    }
    let id = frame.get_u64();
    Some((id, frame.freeze()))
}
