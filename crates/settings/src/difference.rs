//! Human-readable differences between two sets of declarations.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::declarations::Declarations;

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Difference {
    /// An item was added.
    Added {
        /// The kind of item.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// An item was removed.
    Removed {
        /// The kind of item.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A field has a different value.
    Changed {
        /// The kind of item.
        what: &'static str,
        /// Its name.
        name: String,
        /// The field.
        field: String,
        /// The value before, as JSON.
        before: String,
        /// The value after, as JSON.
        after: String,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { what, name } => write!(formatter, "+ {what} {name}"),
            Self::Removed { what, name } => write!(formatter, "- {what} {name}"),
            Self::Changed {
                what,
                name,
                field,
                before,
                after,
            } => write!(formatter, "~ {what} {name}: {field} {before} -> {after}"),
        }
    }
}

/// All differences, ordered by kind and then by the order of declaration.
pub fn difference(before: &Declarations, after: &Declarations) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare("model", &before.models, &after.models, &mut differences);
    compare(
        "service",
        &before.services,
        &after.services,
        &mut differences,
    );
    compare(
        "organisation",
        &before.organisations,
        &after.organisations,
        &mut differences,
    );
    compare("preset", &before.presets, &after.presets, &mut differences);
    differences
}

fn compare<T: Serialize>(
    what: &'static str,
    before: &[T],
    after: &[T],
    differences: &mut Vec<Difference>,
) {
    let before = values(before);
    let after = values(after);
    let find = |values: &[(String, Value)], name: &str| {
        let found = values.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.clone())
    };
    for (name, new) in &after {
        let name = name.clone();
        match find(&before, &name) {
            None => differences.push(Difference::Added { what, name }),
            Some(old) => compare_fields(what, &name, &old, new, differences),
        }
    }
    for (name, _) in before {
        if find(&after, &name).is_none() {
            differences.push(Difference::Removed { what, name });
        }
    }
}

fn values<T: Serialize>(items: &[T]) -> Vec<(String, Value)> {
    let items = items
        .iter()
        .filter_map(|item| serde_json::to_value(item).ok());
    items
        .map(|value| (value["name"].as_str().unwrap_or_default().to_owned(), value))
        .collect()
}

fn compare_fields(
    what: &'static str,
    name: &str,
    before: &Value,
    after: &Value,
    differences: &mut Vec<Difference>,
) {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        return;
    };
    for (field, value) in new {
        let old_value = old.get(field).unwrap_or(&Value::Null);
        if old_value != value {
            differences.push(Difference::Changed {
                what,
                name: name.to_owned(),
                field: field.clone(),
                before: old_value.to_string(),
                after: value.to_string(),
            });
        }
    }
}
