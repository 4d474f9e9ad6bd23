//! Structured log lines: one JSON object a line on standard output, bounded and never blocking.
//!
//! Lines are collected in memory and written when the output takes them. What exceeds the budget of
//! a second, or finds the memory full, is dropped and counted; lines of failures have a budget of
//! their own, so that they are dropped last. No event takes more than its share of a budget, and the first
//! few lines of each event are written in any case: bursts (hundreds of runs adopted in a takeover) leave
//! room for what else happens then.

mod line;
mod output;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

pub use line::Line;
pub use output::LineOptions;
use output::Output;
use spdlog::Logger;
use spdlog::Record;
use spdlog::sink::Sink;

use crate::events::count_event;

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

impl Line {
    /// Writes the line, or counts it as dropped.
    pub fn emit(self) {
        let event = self.event;
        count_event(event);
        if output().admits(event) {
            spdlog::log!(event.level, "{}", self.closed());
        }
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
        output().add(record.payload());
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        flush_lines();
        Ok(())
    }
}
