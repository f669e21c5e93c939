//! Bytes from the network may be anything.

use std::time::Duration;

use geranium_model::{Incarnation, MemberState};
use geranium_spread::{
    ConfigMark, ControlEnvelope, ControlMessage, DigestKind, FleetCore, FleetSettings,
    MESSAGE_BYTES_MAX, RowMark, StateDigest, example_row,
};
use proptest::prelude::*;

fn envelope(message: ControlMessage) -> ControlEnvelope {
    let peer = example_row("a-2", 1);
    ControlEnvelope {
        from: peer.instance,
        from_addr: peer.control_addr,
        message,
    }
}

fn any_message() -> impl Strategy<Value = ControlMessage> {
    let keys = prop::collection::vec(any::<u64>(), 0..80);
    let bytes = prop::collection::vec(any::<u8>(), 0..80);
    (0..6, keys, bytes, any::<u16>(), any::<u16>()).prop_map(|(kind, keys, bytes, a, b)| match kind
    {
        0 => ControlMessage::Buckets(keys),
        1 => ControlMessage::RowsWanted(keys),
        2 => ControlMessage::Marks {
            marks: keys.iter().map(|key| mark(*key)).collect(),
            buckets: bytes,
        },
        3 => ControlMessage::Chunk {
            digest: geranium_model::ContentDigest::of(&bytes),
            index: a,
            total: b,
            bytes,
        },
        4 => ControlMessage::Digest(StateDigest {
            kind: DigestKind::Link,
            config: Some(ConfigMark {
                version: geranium_model::PresetVersion::new(u64::from(a)),
                tag: u64::from(b),
            }),
            members: u64::from(a),
            crashes: u64::from(b),
            beats: keys.iter().map(|key| (*key, u32::MAX)).collect(),
        }),
        _ => {
            let mut row = example_row("a-1", u64::MAX);
            row.state = MemberState::Gone;
            ControlMessage::Rows(vec![row])
        }
    })
}

fn mark(key: u64) -> RowMark {
    RowMark {
        key,
        incarnation: Incarnation::new(key),
        state: MemberState::Live,
    }
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = ControlEnvelope::decode(&bytes);
        let mut versioned = vec![geranium_spread::PROTOCOL_VERSION];
        versioned.extend(&bytes);
        let _ = ControlEnvelope::decode(&versioned);
    }

    #[test]
    fn cut_or_longer_messages_are_refused(message in any_message(), cut in any::<prop::sample::Index>()) {
        let mut bytes = envelope(message).encode();
        let shorter = cut.index(bytes.len());
        prop_assert!(ControlEnvelope::decode(&bytes[..shorter]).is_err());
        bytes.push(0);
        prop_assert!(ControlEnvelope::decode(&bytes).is_err());
    }

    #[test]
    fn no_message_stops_a_core(messages in prop::collection::vec(any_message(), 1..30)) {
        let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 1);
        let mut out = Vec::new();
        for (step, message) in (1..).zip(messages) {
            let now = Duration::from_millis(100 * step);
            core.handle(now, envelope(message), &mut out);
            core.tick(now, &mut out);
        }
        prop_assert_eq!(core.own_row().state, MemberState::Live);
        prop_assert!(core.in_force().is_none());
    }
}

#[test]
fn oversized_message_is_refused() {
    let bytes = vec![geranium_spread::PROTOCOL_VERSION; MESSAGE_BYTES_MAX + 1];
    let error = ControlEnvelope::decode(&bytes).unwrap_err();
    insta::assert_snapshot!(error, @"65537 bytes; at most 65536 are taken");
}
