//! A body as far as it has arrived.

use bytes::Bytes;
use bytes::BytesMut;

/// Size of the first block of a body whose length is not known. Most bodies fit in.
const FIRST_BLOCK_BYTES: usize = 2 * 1024;

/// Most bytes of a block.
const BLOCK_BYTES: usize = 16 * 1024;

/// The parts of a body. They are kept in blocks, since a buffer that grows leaves its former memory behind.
#[derive(Debug, Default)]
pub(crate) struct BodyBlocks {
    blocks: Vec<BytesMut>,
    length: usize,
    capacity: usize,
}

impl BodyBlocks {
    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    /// Returns the memory that it takes.
    pub(crate) const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the size of the next block, if one is needed for more bytes. `declared_bytes` is the length of the whole
    /// body, if that is known.
    pub(crate) fn next_block(&self, declared_bytes: Option<usize>) -> Option<usize> {
        if self.length < self.capacity {
            return None;
        }
        let block_bytes = match declared_bytes {
            Some(declared_bytes) => {
                let left_bytes = declared_bytes.saturating_sub(self.length);
                left_bytes.clamp(1, BLOCK_BYTES)
            }
            None if self.blocks.is_empty() => FIRST_BLOCK_BYTES,
            None => BLOCK_BYTES,
        };
        Some(block_bytes)
    }

    pub(crate) fn add_block(&mut self, block_bytes: usize) {
        self.blocks.push(BytesMut::with_capacity(block_bytes));
        self.capacity += block_bytes;
    }

    /// Appends as many bytes as the last block has room for. Returns the others.
    pub(crate) fn append<'a>(&mut self, chunk: &'a [u8]) -> &'a [u8] {
        let room_bytes = self.capacity - self.length;
        let (part, rest) = chunk.split_at(room_bytes.min(chunk.len()));
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(part);
        }
        self.length += part.len();
        rest
    }

    /// Joins the blocks.
    pub(crate) fn into_bytes(mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().freeze();
        }
        let mut body = BytesMut::with_capacity(self.length);
        for block in self.blocks {
            body.extend_from_slice(&block);
        }
        body.freeze()
    }
}
