//! Versions that nodes routed by, as callers saw them.

use std::collections::BTreeMap;

use crate::TryRecord;

/// Returns the tries that a node routed by an older version than before.
///
/// A try counts when it was sent after an answer of the same node, by a newer
/// version, had arrived: answers that crossed prove nothing.
///
/// # Examples
///
/// ```
/// assert!(geranium_load::older_versions(&[]).is_empty());
/// ```
pub fn older_versions(tries: &[TryRecord]) -> Vec<&TryRecord> {
    let mut by_node: BTreeMap<&str, Vec<(&TryRecord, u64)>> = BTreeMap::new();
    for record in tries {
        // A node without any version yet says 0, and routes nothing.
        if let Some(version) = record.preset_version.filter(|version| *version > 0) {
            by_node
                .entry(&record.node)
                .or_default()
                .push((record, version));
        }
    }
    by_node.into_values().flat_map(older_at_node).collect()
}

fn older_at_node(mut sent: Vec<(&TryRecord, u64)>) -> Vec<&TryRecord> {
    let mut received = sent.clone();
    sent.sort_by_key(|(record, _)| record.sent_us);
    received.sort_by_key(|(record, _)| record.sent_us + record.latency_us);
    let mut received = received.into_iter().peekable();
    let mut newest = 0;
    let mut older = Vec::new();
    for (record, version) in sent {
        let before = |(earlier, _): &(&TryRecord, u64)| {
            earlier.sent_us + earlier.latency_us < record.sent_us
        };
        while let Some((_, seen)) = received.next_if(before) {
            newest = newest.max(seen);
        }
        if version < newest {
            older.push(record);
        }
    }
    older
}
