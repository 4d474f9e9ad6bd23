//! Reads JSON into a type and ties every fault to its place in the text.

use std::net::SocketAddr;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value as Node;
use jsonc_parser::common::Range;
use jsonc_parser::common::Ranged;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use serde::de::DeserializeOwned;
use serde_json::Value;

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

    /// Reads the text as JSON of any shape.
    pub(crate) fn read_any(&mut self) -> Result<Value, Findings> {
        let read = serde_json::from_str(self.text);
        read.map_err(|source| {
            self.add_at("", source.line(), source.column(), source.to_string());
            self.take()
        })
    }

    /// Reads the text as a `T`; every fault against the schema becomes a finding.
    ///
    /// Faults that leave a `T` behind, such as an unknown field, are kept until the end, so that
    /// the checks of meaning run as well.
    pub(crate) fn read<T>(&mut self, schema: &Value) -> Result<T, Findings>
    where
        T: DeserializeOwned,
    {
        let value = self.read_any()?;
        self.check_schema(&value, schema);
        let mut json = serde_json::Deserializer::from_str(self.text);
        serde_path_to_error::deserialize(&mut json).map_err(|source| {
            // The schema has said it already, and better.
            if self.list.is_empty() {
                let path = source.path().to_string();
                let inner = source.into_inner();
                self.add_at(&path, inner.line(), inner.column(), inner.to_string());
            }
            self.take()
        })
    }

    fn check_schema(&mut self, value: &Value, schema: &Value) {
        let validator = match jsonschema::validator_for(schema) {
            Ok(validator) => validator,
            Err(error) => {
                self.add("", format!("the schema itself is wrong: {error}"));
                return;
            }
        };
        let mut known = Vec::new();
        collect_names(schema, &mut known);
        for error in validator.iter_errors(value) {
            self.add_fault(&error, &known);
        }
    }

    fn add_fault(&mut self, error: &ValidationError<'_>, known: &[&str]) {
        let path = error.instance_path.as_str();
        let path = path.trim_start_matches('/').replace('/', ".");
        match &error.kind {
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                for name in unexpected {
                    self.add(&join(&path, name), unknown_field(name, known));
                }
            }
            ValidationErrorKind::Required { property } => {
                let name = property.as_str().unwrap_or_default();
                self.add(&join(&path, name), "is missing".to_owned());
            }
            _ => self.add(&path, error.to_string()),
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

    /// Adds a fault at a line and a column, both from 1.
    pub(crate) fn add_at(&mut self, path: &str, line: usize, column: usize, message: String) {
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

    /// Returns the findings, if there are any.
    pub(crate) fn finish(&mut self) -> Result<(), Findings> {
        if self.list.is_empty() {
            return Ok(());
        }
        Err(self.take())
    }

    pub(crate) fn take(&mut self) -> Findings {
        self.list.sort_by_key(|finding| finding.offset_bytes);
        Findings::new(self.name, self.text, std::mem::take(&mut self.list))
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
            // A missing field is reported at the object that lacks it.
            let Some((inner, place)) = step_into(value, step) else {
                return if range.end == 0 {
                    first_character(value.range())
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

fn step_into<'n, 't>(value: &'n Node<'t>, step: &str) -> Option<(&'n Node<'t>, Range)> {
    match value {
        Node::Object(object) => object
            .properties
            .iter()
            .find(|property| property.name.as_str() == step)
            .map(|property| (&property.value, property.name.range())),
        Node::Array(array) => {
            let element = array.elements.get(step.parse::<usize>().ok()?)?;
            Some((element, element.range()))
        }
        _ => None,
    }
}

fn first_character(range: Range) -> Range {
    Range {
        start: range.start,
        end: range.start + 1,
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

/// Adds a finding unless `address` is of the form `ip:port`.
pub(crate) fn check_address(path: &str, address: &str, checked: &mut Checked<'_>) {
    if address.parse::<SocketAddr>().is_err() {
        checked.add(path, format!("`{address}` is not an address `ip:port`"));
    }
}

/// Collects the names of all fields that a schema knows.
fn collect_names<'s>(schema: &'s Value, names: &mut Vec<&'s str>) {
    let Some(object) = schema.as_object() else {
        return;
    };
    if let Some(properties) = object.get("properties").and_then(Value::as_object) {
        names.extend(properties.keys().map(String::as_str));
    }
    for inner in object.values() {
        collect_names(inner, names);
    }
}

fn unknown_field(name: &str, known: &[&str]) -> String {
    let nearest = known
        .iter()
        .map(|known| (strsim::jaro_winkler(name, known), known))
        .filter(|(likeness, _)| *likeness >= LIKENESS_FLOOR)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match nearest {
        Some((_, known)) => format!("unknown field `{name}`; did you mean `{known}`?"),
        None => format!("unknown field `{name}`"),
    }
}
