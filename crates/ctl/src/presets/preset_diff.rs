//! Differences between two presets, by service and route and in the limits.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;
use serde_json::Value;

use super::PresetDocument;

/// Differences from one preset to another, by service and route and in the limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PresetDiff {
    /// Services, then routes, each sorted by name, then limits; empty for equal presets.
    pub changes: Vec<DiffEntry>,
}

/// One changed service or route, or the changed limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DiffEntry {
    /// Kind of the entry: `service`, `route` or `limits`.
    pub kind: &'static str,
    /// Name of the service or route; empty for the limits.
    pub name: String,
    /// How the entry differs between the presets.
    pub change: EntryChange,
}

/// Addition, removal or change of one service or route, or change of the limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryChange {
    /// Only the second preset has the entry.
    Added,
    /// Only the first preset has the entry.
    Removed,
    /// Both presets have the entry, and these fields differ.
    Changed(Vec<FieldChange>),
}

/// Field that differs between two presets, with both values.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// Path of the field within the entry, with a dot between its parts.
    pub field: String,
    /// Value in the first preset; `null` if the field is absent.
    pub from: Value,
    /// Value in the second preset; `null` if the field is absent.
    pub to: Value,
}

impl PresetDiff {
    /// Returns the differences from the preset `from` to the preset `to`.
    pub fn between(from: &PresetDocument, to: &PresetDocument) -> Self {
        let services = |preset: &PresetDocument| {
            let entries = preset.services.iter();
            by_name(entries.map(|entry| (&*entry.name, value(entry))))
        };
        let routes = |preset: &PresetDocument| {
            let entries = preset.routes.iter();
            by_name(entries.map(|entry| (&*entry.name, value(entry))))
        };
        let limits = |preset: &PresetDocument| by_name([("", value(&preset.limits))]);
        let mut changes = Vec::new();
        compare(&mut changes, "service", &services(from), &services(to));
        compare(&mut changes, "route", &routes(from), &routes(to));
        compare(&mut changes, "limits", &limits(from), &limits(to));
        Self { changes }
    }
}

fn value(entry: &impl Serialize) -> Value {
    serde_json::to_value(entry).expect("plain structs always serialize")
}

fn by_name<'a>(entries: impl IntoIterator<Item = (&'a str, Value)>) -> BTreeMap<String, Value> {
    let named = entries.into_iter();
    named
        .map(|(name, entry)| (name.to_owned(), entry))
        .collect()
}

fn compare(
    changes: &mut Vec<DiffEntry>,
    kind: &'static str,
    old: &BTreeMap<String, Value>,
    new: &BTreeMap<String, Value>,
) {
    let mut names: Vec<_> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let change = match (old.get(name), new.get(name)) {
            (Some(from), Some(to)) if from == to => continue,
            (Some(from), Some(to)) => {
                let mut field_changes = Vec::new();
                compare_fields(&mut field_changes, "", from, to);
                EntryChange::Changed(field_changes)
            }
            (None, _) => EntryChange::Added,
            (_, None) => EntryChange::Removed,
        };
        changes.push(DiffEntry {
            kind,
            name: name.clone(),
            change,
        });
    }
}

fn compare_fields(field_changes: &mut Vec<FieldChange>, path: &str, from: &Value, to: &Value) {
    if let (Value::Object(old), Value::Object(new)) = (from, to) {
        let mut keys: Vec<_> = old.keys().chain(new.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            let child = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}.{key}")
            };
            let field = |entry: &serde_json::Map<String, Value>| entry.get(key).cloned();
            let (before, after) = (
                field(old).unwrap_or_default(),
                field(new).unwrap_or_default(),
            );
            compare_fields(field_changes, &child, &before, &after);
        }
    } else if from != to {
        field_changes.push(FieldChange {
            field: path.to_owned(),
            from: from.clone(),
            to: to.clone(),
        });
    }
}

impl fmt::Display for PresetDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            return writeln!(f, "no difference");
        }
        self.changes.iter().try_for_each(|line| line.fmt(f))
    }
}

impl fmt::Display for DiffEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = format!("{} {}", self.kind, self.name);
        let entry = entry.trim_end();
        match &self.change {
            EntryChange::Added => writeln!(f, "+ {entry}"),
            EntryChange::Removed => writeln!(f, "- {entry}"),
            EntryChange::Changed(field_changes) => {
                writeln!(f, "~ {entry}")?;
                for change in field_changes {
                    let FieldChange { field, from, to } = change;
                    writeln!(f, "    {field}: {from} -> {to}")?;
                }
                Ok(())
            }
        }
    }
}
