//! What waits to be written to standard output, and the budgets of a second.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use spdlog::Level;

use super::line::Line;
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
    /// Lines of each event that are written in a second whatever the others use: a takeover is told
    /// once, among thousands of lines about single tasks.
    pub first_lines_per_event: u32,
    /// Most of either that one event may use, in hundredths.
    pub event_share_percent: u32,
    /// Most bytes that wait to be written.
    pub waiting_bytes: usize,
}

impl Default for LineOptions {
    fn default() -> Self {
        Self {
            lines_per_s: 2_000,
            failure_lines_per_s: 200,
            first_lines_per_event: 5,
            event_share_percent: 60,
            waiting_bytes: 256 * 1024,
        }
    }
}

/// What waits to be written, and what was written in this second.
#[derive(Debug)]
pub(super) struct Output {
    options: Option<LineOptions>,
    /// Name of the node, in its JSON form.
    node: String,
    waiting: Vec<u8>,
    second: u64,
    used: Used,
    by_event: BTreeMap<u16, Used>,
    dropped: Cell<u64>,
    /// Lines of each event that were dropped in this second.
    dropped_by_event: BTreeMap<u16, u64>,
}

/// Lines written in a second, out of each budget.
#[derive(Debug, Clone, Copy, Default)]
struct Used {
    lines: u32,
    failure_lines: u32,
    /// Lines of an event that are written whatever the others use.
    first_lines: u32,
}

impl LineOptions {
    const fn share_of(&self, budget: u32) -> u32 {
        // At least one, so that every event is told.
        let share = budget.saturating_mul(self.event_share_percent) / 100;
        if share == 0 && budget > 0 { 1 } else { share }
    }
}

impl Output {
    pub(super) const fn new() -> Self {
        Self {
            options: None,
            node: String::new(),
            waiting: Vec::new(),
            second: 0,
            used: Used {
                lines: 0,
                failure_lines: 0,
                first_lines: 0,
            },
            by_event: BTreeMap::new(),
            dropped: Cell::new(0),
            dropped_by_event: BTreeMap::new(),
        }
    }

    pub(super) fn open(&mut self, node: &str, options: LineOptions) {
        self.options = Some(options);
        self.node = serde_json::Value::from(node).to_string();
    }

    /// Says whether a line of an event is within the budgets of this second; where not, it is dropped.
    pub(super) fn admits(&mut self, event: Event) -> bool {
        let Some(options) = self.options else {
            // Nobody bounds the lines of a process that writes them in another way.
            return true;
        };
        self.turn_second();
        if self.take_budget(&options, event) {
            return true;
        }
        self.dropped.set(self.dropped.get() + 1);
        *self.dropped_by_event.entry(event.code).or_default() += 1;
        false
    }

    pub(super) fn add(&mut self, line: &str) {
        let options = self.options.unwrap_or_default();
        if self.waiting.len() + line.len() >= options.waiting_bytes {
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

    fn take_budget(&mut self, options: &LineOptions, event: Event) -> bool {
        let of_event = self.by_event.entry(event.code).or_default();
        if of_event.first_lines < options.first_lines_per_event {
            of_event.first_lines += 1;
            return true;
        }
        let share = options.share_of(options.lines_per_s);
        if self.used.lines < options.lines_per_s && of_event.lines < share {
            self.used.lines += 1;
            of_event.lines += 1;
            return true;
        }
        let is_failure = matches!(event.level, Level::Warn | Level::Error | Level::Critical);
        let budget = options.failure_lines_per_s;
        let share = options.share_of(budget);
        if is_failure && self.used.failure_lines < budget && of_event.failure_lines < share {
            self.used.failure_lines += 1;
            of_event.failure_lines += 1;
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
        self.used = Used::default();
        self.by_event.clear();
        let dropped = self.dropped.replace(0);
        let by_event = std::mem::take(&mut self.dropped_by_event);
        if dropped > 0 {
            let most = by_event.into_iter().max_by_key(|(_, lines)| *lines);
            let (code, lines) = most.unwrap_or_default();
            let line = Line::new(catalogue::LINES_DROPPED)
                .number("lines", dropped)
                .display("most_code", format_args!("SYC{code:04}"))
                .number("most_lines", lines);
            count_event(line.event);
            self.append(&line.closed());
        }
    }

    /// Writes as long as the output is ready, so that a reader that does not read costs lines, not
    /// time.
    pub(super) fn write_some(&mut self) {
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
