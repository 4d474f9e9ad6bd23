//! What a command prints: for people and for programs.

use chrono::DateTime;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;
use serde_json::Value;

use crate::failure::Exit;

/// What a command that went through prints.
#[derive(Debug, Clone, PartialEq)]
pub struct Output {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// What people should look at besides.
    pub notes: Vec<String>,
    /// What the exit code says besides; `None` for 0.
    pub exit: Option<Exit>,
}

impl Output {
    /// Makes the output of something that is done.
    pub fn new<T>(text: String, value: &T) -> Self
    where
        T: Serialize,
    {
        Self {
            text,
            json: serde_json::to_value(value).unwrap_or_default(),
            notes: Vec::new(),
            exit: None,
        }
    }
}

/// Makes a table of these rows.
pub fn table<R, C>(header: &[&str], rows: R) -> String
where
    R: IntoIterator<Item = C>,
    C: IntoIterator<Item = String>,
{
    let mut table = Table::new();
    table.load_preset(NOTHING);
    table.set_header(header.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    let lines = table.lines();
    let trimmed: Vec<_> = lines.map(|line| line.trim().to_owned()).collect();
    trimmed.join("\n")
}

/// Writes a time of the log for people.
pub fn time(at_ms: u64) -> String {
    let at_ms = i64::try_from(at_ms).unwrap_or(i64::MAX);
    let time = DateTime::from_timestamp_millis(at_ms);
    time.map_or_else(String::new, |time| {
        time.format("%Y-%m-%dT%H:%M:%SZ").to_string()
    })
}

/// Writes a truth for people.
pub fn yes_no(holds: bool) -> String {
    let word = if holds { "yes" } else { "no" };
    word.to_owned()
}
