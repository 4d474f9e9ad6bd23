//! Where log events go: to the standard error stream, from a least level on.

use std::sync::Arc;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::sink::StdStreamSink;
use syc_config::LogLevel;

/// Environment variable that goes before the settings' level.
const LEVEL_VARIABLE: &str = "SYC_LOG";

/// Sends log events of `level` and above to the standard error stream.
///
/// # Errors
///
/// Fails where the environment names no level, or the stream can't be used.
pub fn start(level: LogLevel) -> Result<(), String> {
    let level = match std::env::var(LEVEL_VARIABLE) {
        Ok(text) => parse(&text)?,
        Err(_unset) => level,
    };
    let sink = StdStreamSink::builder().stderr().build();
    let sink = Arc::new(sink.map_err(|error| error.to_string())?);
    let filter = LevelFilter::MoreSevereEqual(level_of(level));
    let logger = Logger::builder().sink(sink).level_filter(filter).build();
    spdlog::set_default_logger(Arc::new(logger.map_err(|error| error.to_string())?));
    Ok(())
}

fn parse(text: &str) -> Result<LogLevel, String> {
    let quoted = serde_json::Value::String(text.to_owned());
    serde_json::from_value(quoted)
        .map_err(|_unknown| format!("{LEVEL_VARIABLE}={text}: use error, warn, info or debug"))
}

fn level_of(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
