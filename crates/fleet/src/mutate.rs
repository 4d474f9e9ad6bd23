//! Mutations of JSON bodies, as faulty writers or other versions may produce them.

use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Name of a field that no parser knows.
const UNKNOWN_FIELD: &str = "Later";

/// Depth of the nested replacement value, deeper than any valid body.
const DEPTH: usize = 40;

/// Change to one value of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Removes the value from the array or object that contains it.
    Remove,
    /// Replaces the value by [`unexpected_value`] with this index.
    Replace(usize),
}

/// Returns a value that is invalid or at the limit of the valid range for most fields.
#[must_use]
pub fn unexpected_value(index: usize) -> Value {
    let values = [
        Value::Null,
        json!(true),
        json!(""),
        json!("odd"),
        json!("0a0b0c0d0e0f0001.3.2.31"),
        json!([]),
        json!({}),
        json!(0),
        json!(-1),
        json!(0.5),
        json!(1e308),
        json!(-1e308),
        json!(u64::MAX),
        json!(i64::MIN),
        json!(u64::from(u32::MAX)),
        json!(u64::from(u32::MAX) + 1),
        json!(86_400_000),
        json!(2_000),
        json!("x".repeat(5_000)),
        nested(),
    ];
    values[index % values.len()].clone()
}

fn nested() -> Value {
    let mut value = json!([1]);
    for _ in 0..DEPTH {
        value = json!({ "x": [value] });
    }
    value
}

/// Returns the number of values in a body, including the body itself.
#[must_use]
pub fn count_values(value: &Value) -> usize {
    let parts: usize = match value {
        Value::Array(items) => items.iter().map(count_values).sum(),
        Value::Object(fields) => fields.values().map(count_values).sum(),
        _ => 0,
    };
    parts + 1
}

/// Mutates the value at a position in a depth-first traversal of the body.
pub fn mutate(body: &mut Value, position: usize, mutation: Mutation) {
    let _found = mutate_at(body, &mut { position }, mutation);
}

/// Applies the mutation if `position` lies within `value`. Returns true if the container must remove `value` itself.
fn mutate_at(value: &mut Value, position: &mut usize, mutation: Mutation) -> bool {
    if *position == 0 {
        *position = usize::MAX;
        if let Mutation::Replace(index) = mutation {
            *value = unexpected_value(index);
            return false;
        }
        return true;
    }
    *position -= 1;
    match value {
        Value::Array(items) => {
            items
                .retain_mut(|item| *position == usize::MAX || !mutate_at(item, position, mutation));
        }
        Value::Object(fields) => mutate_fields(fields, position, mutation),
        _ => {}
    }
    false
}

fn mutate_fields(fields: &mut Map<String, Value>, position: &mut usize, mutation: Mutation) {
    let mut removed = None;
    for (name, field) in fields.iter_mut() {
        if *position == usize::MAX {
            break;
        }
        if mutate_at(field, position, mutation) {
            removed = Some(name.clone());
        }
    }
    if let Some(name) = removed {
        fields.remove(&name);
    }
}

/// Adds an unknown field to every struct in a body and, with `with_rows`, an additional entry to every row.
///
/// An object with a numeric key is a map and gets no field. A non-empty array of scalars is a row, whose first entry
/// identifies it.
pub fn add_unknown_fields(body: &mut Value, value_index: usize, with_rows: bool) {
    match body {
        Value::Array(items) => {
            let is_row = !items.is_empty() && items.iter().all(is_scalar);
            if is_row && with_rows {
                items.push(unexpected_value(value_index));
                return;
            }
            for item in items {
                add_unknown_fields(item, value_index, with_rows);
            }
        }
        Value::Object(fields) => {
            for field in fields.values_mut() {
                add_unknown_fields(field, value_index, with_rows);
            }
            let is_map = fields.keys().any(|key| key.parse::<u64>().is_ok());
            if !is_map {
                fields.insert(UNKNOWN_FIELD.to_owned(), unexpected_value(value_index));
            }
        }
        _ => {}
    }
}

const fn is_scalar(value: &Value) -> bool {
    !matches!(value, Value::Array(_) | Value::Object(_))
}
