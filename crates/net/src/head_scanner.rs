//! Finds the ends of request heads in a stream, so that the HTTP codec is given one request at a time.

/// Where a stream stands with respect to empty lines, which end heads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    /// No line of a head has begun. Empty lines before it end nothing.
    #[default]
    Start,
    /// The line has content.
    Content,
    /// The line is empty so far.
    Empty,
    /// The line consists of a carriage return so far.
    CarriageReturn,
}

/// Finds empty lines in a stream.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner(Line);

impl HeadScanner {
    /// Returns how many of these bytes, which come next in the stream, may be passed on so that they complete no more
    /// than `heads` heads, and how many heads they complete.
    pub(crate) fn scan(&mut self, bytes: &[u8], heads: usize) -> (usize, usize) {
        let mut ended = 0;
        for (index, byte) in bytes.iter().enumerate() {
            let next = match (byte, self.0) {
                (b'\n', Line::Content) => Line::Empty,
                (b'\n', Line::Empty | Line::CarriageReturn) if ended == heads => {
                    return (index, ended);
                }
                (b'\n', Line::Empty | Line::CarriageReturn) => {
                    ended += 1;
                    Line::Start
                }
                (b'\r' | b'\n', Line::Start) => Line::Start,
                (b'\r', Line::Empty) => Line::CarriageReturn,
                _ => Line::Content,
            };
            self.0 = next;
        }
        (bytes.len(), ended)
    }
}
