//! One log line, as a JSON object.

use std::fmt;
use std::fmt::Write as _;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::Event;

/// One line under construction.
///
/// Values are encoded as JSON, so nothing that a caller sent can break a line.
#[derive(Debug)]
pub struct Line {
    pub(super) event: Event,
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
    pub(super) fn closed(mut self) -> String {
        self.text.push('}');
        self.text
    }
}
