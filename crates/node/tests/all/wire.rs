//! Messages on the data path survive coding, and bad bytes are refused.

use geranium_node::wire::{BodyPart, PeerAnswer, PeerQuestion, decode, encode};
use proptest::prelude::*;

proptest! {
    /// Anything may arrive on the data port: another protocol version, half a
    /// message, noise. It is refused; the node must not panic.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = decode::<PeerQuestion>(&bytes);
        let _ = decode::<PeerAnswer>(&bytes);
        let mut versioned = vec![1];
        versioned.extend(&bytes);
        let _ = decode::<PeerQuestion>(&versioned);
        let _ = decode::<PeerAnswer>(&versioned);
    }

    #[test]
    fn a_message_cut_short_is_refused(
        body in proptest::collection::vec(any::<u8>(), 1..200),
        cut in 1_usize..20,
    ) {
        let whole = encode(&PeerAnswer::Part(BodyPart::Last(body.clone())));
        let read: PeerAnswer = decode(&whole).expect("a whole message");
        prop_assert!(matches!(read, PeerAnswer::Part(BodyPart::Last(found)) if found == body));
        let short = &whole[..whole.len() - cut.min(body.len())];
        prop_assert!(decode::<PeerAnswer>(short).is_err());
    }
}
