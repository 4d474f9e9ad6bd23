//! A line on the standard error stream that says what is waited for; only on a terminal.

use std::io::IsTerminal;
use std::io::Write;
use std::time::Instant;

/// The line; it disappears when this is dropped.
#[derive(Debug)]
pub struct Progress {
    started: Instant,
    shown: bool,
}

impl Progress {
    /// Makes a line that is not yet shown.
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            shown: false,
        }
    }

    /// Shows what is waited for.
    pub fn show(&mut self, text: &str) {
        let mut stream = std::io::stderr();
        if !stream.is_terminal() {
            return;
        }
        let seconds = self.started.elapsed().as_secs();
        let _ = write!(stream, "\r\x1b[2K{text} ({seconds} s)");
        let _ = stream.flush();
        self.shown = true;
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if self.shown {
            eprint!("\r\x1b[2K");
        }
    }
}
