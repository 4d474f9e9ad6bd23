//! Reads JSON into a type and ties every fault to its place in the text.

use std::net::SocketAddr;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

use crate::Finding;
use crate::Findings;

/// Likeness from which a known name is proposed for an unknown one.
const LIKENESS_FLOOR: f64 = 0.7;

/// A text with its places, and the faults found in it so far.
#[derive(Debug)]
pub(crate) struct Checked<'a> {
    name: &'a str,
    text: &'a str,
    list: Vec<Finding>,
}

impl<'a> Checked<'a> {
    pub(crate) fn new(name: &'a str, text: &'a str) -> Self {
        Self {
            name,
            text,
            list: Vec::new(),
        }
    }

    /// Reads a part of the text; fields that `T` does not have are passed over.
    pub(crate) fn read_part<T>(&mut self) -> Result<T, Findings>
    where
        T: DeserializeOwned,
    {
        let read = serde_json::from_str(self.text);
        read.map_err(|source| {
            self.add_at("", source.line(), source.column(), source.to_string());
            self.take()
        })
    }

    /// Reads the text as a `T`; unknown fields become findings.
    pub(crate) fn read<T>(&mut self, known_fields: &[&str]) -> Result<T, Findings>
    where
        T: DeserializeOwned,
    {
        let mut unknown = Vec::new();
        let mut track = serde_path_to_error::Track::new();
        let mut json = serde_json::Deserializer::from_str(self.text);
        let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
        let read = serde_ignored::deserialize(tracked, |path| unknown.push(path.to_string()));
        let read = read.and_then(|value: T| json.end().map(|()| value));
        for path in unknown {
            // The tag that chose `T` is no field of it.
            if path == "kind" {
                continue;
            }
            let message = unknown_field(&path, known_fields);
            self.add(&path, message);
        }
        match read {
            Ok(value) => Ok(value),
            Err(source) => {
                let path = track.path().to_string();
                self.add_at(&path, source.line(), source.column(), source.to_string());
                Err(self.take())
            }
        }
    }

    /// Adds a fault at a path such as `listen.callers` or `workers.3.rack`.
    pub(crate) fn add(&mut self, path: &str, message: String) {
        let range = self.range_of(path);
        let (line, column) = self.line_and_column(range.start);
        self.list.push(Finding {
            path: path.to_owned(),
            line,
            column,
            offset_bytes: range.start,
            length_bytes: range.end - range.start,
            message,
        });
    }

    /// Returns the findings, if there are any.
    pub(crate) fn finish(&mut self) -> Result<(), Findings> {
        if self.list.is_empty() {
            return Ok(());
        }
        Err(self.take())
    }

    fn take(&mut self) -> Findings {
        self.list.sort_by_key(|finding| finding.offset_bytes);
        Findings::new(self.name, self.text, std::mem::take(&mut self.list))
    }

    fn add_at(&mut self, path: &str, line: usize, column: usize, message: String) {
        let before: usize = self
            .text
            .split_inclusive('\n')
            .take(line.saturating_sub(1))
            .map(str::len)
            .sum();
        let offset_bytes = (before + column.saturating_sub(1)).min(self.text.len());
        self.list.push(Finding {
            path: path.to_owned(),
            line,
            column,
            offset_bytes,
            length_bytes: 0,
            message,
        });
    }

    fn range_of(&self, path: &str) -> Range {
        let parsed = jsonc_parser::parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let whole = Range { start: 0, end: 0 };
        let Ok(parsed) = parsed else {
            return whole;
        };
        let Some(mut value) = parsed.value.as_ref() else {
            return whole;
        };
        let mut range = whole;
        for step in path.split('.') {
            let next = match value {
                Value::Object(object) => object
                    .properties
                    .iter()
                    .find(|property| property.name.as_str() == step)
                    .map(|property| (&property.value, property.name.range())),
                Value::Array(array) => step
                    .parse::<usize>()
                    .ok()
                    .and_then(|index| array.elements.get(index))
                    .map(|element| (element, element.range())),
                _ => None,
            };
            // A missing field is reported at the object that lacks it.
            let Some((inner, place)) = next else {
                return if range.end == 0 {
                    Range {
                        start: value.range().start,
                        end: value.range().start + 1,
                    }
                } else {
                    range
                };
            };
            value = inner;
            range = place;
        }
        range
    }

    fn line_and_column(&self, offset_bytes: usize) -> (usize, usize) {
        let before = &self.text[..offset_bytes];
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        (line, column)
    }
}

/// Adds a finding unless `address` is of the form `ip:port`.
pub(crate) fn check_address(path: &str, address: &str, checked: &mut Checked<'_>) {
    if address.parse::<SocketAddr>().is_err() {
        checked.add(path, format!("`{address}` is not an address `ip:port`"));
    }
}

fn unknown_field(path: &str, known_fields: &[&str]) -> String {
    let name = path.rsplit('.').next().unwrap_or(path);
    let nearest = known_fields
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|(likeness, _)| *likeness >= LIKENESS_FLOOR)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((_, known)) => format!("unknown field `{name}`; did you mean `{known}`?"),
        None => format!("unknown field `{name}`"),
    }
}
