//! Structured log lines: one JSON object a line on standard output, bounded and never blocking.
//!
//! Lines are collected in memory and written when the output takes them. What exceeds the budget of
//! a second, or finds the memory full, is dropped and counted; lines of failures have a budget of
//! their own, so that they are dropped last.

use std::cell::Cell;
use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use spdlog::Level;
use spdlog::Logger;
use spdlog::Record;
use spdlog::sink::Sink;

use crate::Event;
use crate::catalogue;
use crate::events::count_event;

/// Bytes that a pipe takes at once if it is ready to take any.
const PIPE_BYTES: usize = 4_096;

/// Bounds of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineOptions {
    /// Lines of ordinary events that are written in a second.
    pub lines_per_s: u32,
    /// Further lines that warnings and errors may use in a second.
    pub failure_lines_per_s: u32,
    /// Most bytes that wait to be written.
    pub waiting_bytes: usize,
}

impl Default for LineOptions {
    fn default() -> Self {
        Self {
            lines_per_s: 2_000,
            failure_lines_per_s: 200,
            waiting_bytes: 256 * 1024,
        }
    }
}

static OUTPUT: Mutex<Output> = Mutex::new(Output::new());

/// Sends log events of the node of this name to standard output as structured lines.
///
/// # Errors
///
/// Fails where the logger can't be built.
pub fn start_lines(node: &str, options: LineOptions) -> Result<(), spdlog::Error> {
    output().open(node, options);
    let logger = Logger::builder().sink(Arc::new(LineSink)).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes what the output takes now; call it from a timer, and before the process ends.
pub fn flush_lines() {
    output().write_some();
}

fn output() -> MutexGuard<'static, Output> {
    OUTPUT.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One line under construction.
///
/// Values are encoded as JSON, so nothing that a caller sent can break a line.
#[derive(Debug)]
pub struct Line {
    event: Event,
    text: String,
}

impl Line {
    /// Begins the line of an event.
    #[must_use]
    pub fn new(event: Event) -> Self {
        let mut text = String::with_capacity(256);
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let at_ms = since.map_or(0, |since| since.as_millis());
        let _infallible = write!(
            text,
            r#"{{"at_ms":{at_ms},"code":"SYC{:04}","level":"{}","event":"{}""#,
            event.code,
            event.level.as_str(),
            event.text
        );
        Self { event, text }
    }

    /// Adds a text.
    #[must_use]
    pub fn text(mut self, name: &'static str, value: &str) -> Self {
        let quoted = serde_json::Value::from(value);
        let _infallible = write!(self.text, r#","{name}":{quoted}"#);
        self
    }

    /// Adds whatever can be displayed, as a text.
    #[must_use]
    pub fn display<D>(self, name: &'static str, value: D) -> Self
    where
        D: fmt::Display,
    {
        let value = value.to_string();
        self.text(name, &value)
    }

    /// Adds a number.
    #[must_use]
    pub fn number<N>(mut self, name: &'static str, value: N) -> Self
    where
        N: TryInto<u64>,
    {
        let value = value.try_into().unwrap_or(u64::MAX);
        let _infallible = write!(self.text, r#","{name}":{value}"#);
        self
    }

    /// Adds a truth value.
    #[must_use]
    pub fn flag(mut self, name: &'static str, value: bool) -> Self {
        let _infallible = write!(self.text, r#","{name}":{value}"#);
        self
    }

    /// Returns the whole object.
    fn closed(mut self) -> String {
        self.text.push('}');
        self.text
    }

    /// Writes the line, or counts it as dropped.
    pub fn emit(self) {
        let event = self.event;
        count_event(event);
        spdlog::log!(event.level, "{}", self.closed());
    }
}

#[derive(Debug)]
struct LineSink;

impl spdlog::sink::SinkPropAccess for LineSink {
    fn level_filter(&self) -> spdlog::LevelFilter {
        spdlog::LevelFilter::All
    }

    fn set_level_filter(&self, _level_filter: spdlog::LevelFilter) {}

    fn set_formatter(&self, _formatter: Box<dyn spdlog::formatter::Formatter>) {}

    fn set_error_handler(&self, _handler: spdlog::ErrorHandler) {}
}

impl Sink for LineSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        output().add(record.payload(), record.level());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        flush_lines();
        Ok(())
    }
}

/// What waits to be written, and what was written in this second.
#[derive(Debug)]
struct Output {
    options: Option<LineOptions>,
    /// Name of the node, in its JSON form.
    node: String,
    waiting: Vec<u8>,
    second: u64,
    lines: u32,
    failure_lines: u32,
    dropped: Cell<u64>,
}

impl Output {
    const fn new() -> Self {
        Self {
            options: None,
            node: String::new(),
            waiting: Vec::new(),
            second: 0,
            lines: 0,
            failure_lines: 0,
            dropped: Cell::new(0),
        }
    }

    fn open(&mut self, node: &str, options: LineOptions) {
        self.options = Some(options);
        self.node = serde_json::Value::from(node).to_string();
    }

    fn add(&mut self, line: &str, level: Level) {
        let options = self.options.unwrap_or_default();
        self.turn_second();
        if !self.take_budget(&options, level)
            || self.waiting.len() + line.len() >= options.waiting_bytes
        {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.append(line);
        if self.waiting.len() >= PIPE_BYTES * 4 {
            self.write_some();
        }
    }

    /// Adds a line, with the node's name, to what waits to be written.
    fn append(&mut self, line: &str) {
        // Every line is an object that is not empty.
        let open = line.strip_suffix('}').unwrap_or(line);
        self.waiting.extend_from_slice(open.as_bytes());
        if !self.node.is_empty() {
            self.waiting.extend_from_slice(br#","node":"#);
            self.waiting.extend_from_slice(self.node.as_bytes());
        }
        self.waiting.extend_from_slice(b"}\n");
    }

    fn take_budget(&mut self, options: &LineOptions, level: Level) -> bool {
        if self.lines < options.lines_per_s {
            self.lines += 1;
            return true;
        }
        let failure = matches!(level, Level::Warn | Level::Error | Level::Critical);
        if failure && self.failure_lines < options.failure_lines_per_s {
            self.failure_lines += 1;
            return true;
        }
        false
    }

    fn turn_second(&mut self) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let second = since.map_or(0, |since| since.as_secs());
        if second == self.second {
            return;
        }
        self.second = second;
        self.lines = 0;
        self.failure_lines = 0;
        let dropped = self.dropped.replace(0);
        if dropped > 0 {
            let line = Line::new(catalogue::LINES_DROPPED).number("lines", dropped);
            count_event(line.event);
            self.append(&line.closed());
        }
    }

    /// Writes as long as the output is ready, so that a reader that does not read costs lines, not
    /// time.
    fn write_some(&mut self) {
        let stdout = rustix::stdio::stdout();
        let mut written = 0;
        while written < self.waiting.len() {
            let mut ready = [PollFd::new(&stdout, PollFlags::OUT)];
            let at_once = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            let polled = rustix::event::poll(&mut ready, Some(&at_once));
            if polled != Ok(1) || !ready[0].revents().contains(PollFlags::OUT) {
                break;
            }
            let end = self.waiting.len().min(written + PIPE_BYTES);
            let chunk = &self.waiting[written..end];
            match rustix::io::write(stdout, chunk) {
                Ok(count) => written += count,
                Err(error) if io::Error::from(error).kind() == io::ErrorKind::Interrupted => {}
                Err(_closed) => {
                    // Nobody reads the log any more.
                    written = self.waiting.len();
                }
            }
        }
        self.waiting.drain(..written);
    }
}
