//! Typed messages between nodes on the data path, coded by `postcard`.
//!
//! Each exchange is one [`PeerQuestion`] and one [`PeerAnswer`]. A long body
//! is fetched chunk by chunk: the asker sends the next question when it has
//! room, which is the flow control.

mod peer_answer;
mod peer_question;
mod peer_request;
mod wire_codec;

pub use peer_answer::{AnswerHead, BodyPart, PeerAnswer, Refusal};
pub use peer_question::{MintQuestion, PeerQuestion};
pub use peer_request::{HeaderPair, PeerRequest};
pub use wire_codec::{WireError, decode, encode};
