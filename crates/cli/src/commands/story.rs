//! `syc story`: what the logs of a cell's nodes tell of one job or request, in order.

use std::collections::BTreeSet;
use std::io::BufRead;

use miette::miette;
use serde_json::Map;
use serde_json::Value;

use crate::failure::Exit;
use crate::failure::Failure;
use crate::output::Output;
use crate::output::table;

/// Fields that have a column of their own, or say the same on every line of a story.
const COMMON_FIELDS: [&str; 6] = ["at_ms", "code", "level", "event", "node", "job"];

/// Codes of changes that touch every job: who schedules, and what can be reached.
const SHARED_CODES: [&str; 7] = [
    "SYC0704", "SYC0705", "SYC0710", "SYC0711", "SYC0713", "SYC0714", "SYC0715",
];

/// Such changes are also told when they came this long before: a submit that is refused or in doubt
/// is told when it ends.
const SHARED_BEFORE_MS: u64 = 2_500;

/// A line of a log.
type Entry = Map<String, Value>;

/// Reads logs from standard input and prints the story of a job, or of the job of a request.
pub fn run(id: &str) -> Result<Output, Failure> {
    let mut entries = Vec::new();
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|error| {
            let report = miette!("standard input can't be read: {error}");
            Failure::new(Exit::Findings, report)
        })?;
        entries.extend(read_line(&line));
    }
    let story = story_of(id, &entries);
    if story.is_empty() {
        let help = "give the id of a job or of a request, and the logs of all nodes of that time";
        let report = miette!(help = help, "no line tells of `{id}`");
        return Err(Failure::new(Exit::Findings, report));
    }
    let began_ms = at_ms(story[0]);
    let rows = story.iter().map(|entry| row(entry, began_ms));
    let header = ["MS", "NODE", "CODE", "EVENT", "DETAIL"];
    Ok(Output::new(table(&header, rows), &story))
}

/// Reads the object on a line, after whatever a collector has put in front of it.
fn read_line(line: &str) -> Option<Entry> {
    let object = line.get(line.find('{')?..)?;
    serde_json::from_str(object).ok()
}

fn story_of<'e>(id: &str, entries: &'e [Entry]) -> Vec<&'e Entry> {
    let mut jobs = BTreeSet::from([id]);
    for entry in entries {
        if text(entry, "request") == Some(id)
            && let Some(job) = text(entry, "job")
        {
            jobs.insert(job);
        }
    }
    let mut story: Vec<_> = entries
        .iter()
        .filter(|entry| text(entry, "job").is_some_and(|job| jobs.contains(job)))
        .collect();
    let (Some(first), Some(last)) = (
        story.iter().map(|entry| at_ms(entry)).min(),
        story.iter().map(|entry| at_ms(entry)).max(),
    ) else {
        return story;
    };
    let of_all = entries.iter().filter(|entry| {
        let shared = text(entry, "code").is_some_and(|code| SHARED_CODES.contains(&code));
        let from = first.saturating_sub(SHARED_BEFORE_MS);
        shared && (from..=last).contains(&at_ms(entry))
    });
    story.extend(of_all);
    story.sort_by_key(|entry| at_ms(entry));
    story
}

fn row(entry: &Entry, began_ms: u64) -> [String; 5] {
    let mut detail = Vec::new();
    for (name, value) in entry {
        if !COMMON_FIELDS.contains(&name.as_str()) {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned);
            detail.push(format!("{name}={value}"));
        }
    }
    let field = |name| text(entry, name).unwrap_or_default().to_owned();
    [
        at_ms(entry).saturating_sub(began_ms).to_string(),
        field("node"),
        field("code"),
        field("event"),
        detail.join(" "),
    ]
}

fn text<'e>(entry: &'e Entry, name: &str) -> Option<&'e str> {
    entry.get(name)?.as_str()
}

fn at_ms(entry: &Entry) -> u64 {
    entry.get("at_ms").and_then(Value::as_u64).unwrap_or(0)
}
