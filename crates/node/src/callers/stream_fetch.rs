//! Fetches long bodies part by part and checks them against their digest.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use geranium_model::MemberRow;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use super::{
    attempt,
    front_state::FrontState,
    part_body::{BodyBroken, PartBody},
};
use crate::wire::{AnswerHead, BodyPart, PeerAnswer, PeerQuestion};

/// Parts held here for a caller that reads slowly: one being written to it,
/// one on its way. With the guarding node's buffer this bounds the memory of
/// a body of any length.
const PARTS_MAX: usize = 1;
/// Wait for one part; the guarding node gives a stalled stream up earlier.
const PART_TIMEOUT: Duration = Duration::from_secs(60);
/// Name of the header with the digest of a body.
const DIGEST_HEADER: &str = "content-digest";

/// Makes the body of an answer whose first part is `part`.
///
/// Returns `None` when the answer is known to be broken while its status can
/// still be chosen.
pub fn body(
    state: &Rc<FrontState>,
    target: &MemberRow,
    head: &AnswerHead,
    part: BodyPart,
) -> Option<PartBody> {
    let mut check = DigestCheck::new(head);
    match part {
        BodyPart::Broken => None,
        BodyPart::Last(bytes) => {
            check.update(&bytes);
            check.is_good().then(|| PartBody::whole(bytes))
        }
        BodyPart::More { stream, bytes } => {
            check.update(&bytes);
            let (sender, receiver) = mpsc::channel(PARTS_MAX);
            let fetch = StreamFetch {
                state: Rc::clone(state),
                target: target.clone(),
                stream,
                offset: bytes.len() as u64,
                check,
            };
            tokio::task::spawn_local(fetch.run(bytes, sender));
            Some(PartBody::Parts(receiver, head.length))
        }
    }
}

struct StreamFetch {
    state: Rc<FrontState>,
    target: MemberRow,
    stream: u64,
    offset: u64,
    check: DigestCheck,
}

type PartSender = mpsc::Sender<Result<Bytes, BodyBroken>>;

impl StreamFetch {
    async fn run(mut self, first: Vec<u8>, sender: PartSender) {
        if sender.send(Ok(first.into())).await.is_err() {
            return;
        }
        loop {
            let part = self.next_part().await;
            let sent = match part {
                Some(BodyPart::More { bytes, .. }) => sender.send(Ok(bytes.into())).await,
                // The last part is held back until the digest of all of it
                // fits: a caller that got every byte takes the body for good.
                Some(BodyPart::Last(bytes)) if self.check.is_good() => {
                    let _ = sender.send(Ok(bytes.into())).await;
                    return;
                }
                _ => {
                    let _ = sender.send(Err(BodyBroken)).await;
                    return;
                }
            };
            if sent.is_err() {
                return;
            }
        }
    }

    async fn next_part(&mut self) -> Option<BodyPart> {
        let question = PeerQuestion::NextPart {
            stream: self.stream,
            offset: self.offset,
        };
        let deadline = Instant::now() + PART_TIMEOUT;
        let answer = attempt::ask(&self.state, &self.target, question, deadline).await;
        let Ok(PeerAnswer::Part(part)) = answer else {
            return None;
        };
        if let BodyPart::More { bytes, .. } | BodyPart::Last(bytes) = &part {
            self.offset += bytes.len() as u64;
            self.check.update(bytes);
        }
        Some(part)
    }
}

/// Digest of a body so far, against the one that the backend server named.
struct DigestCheck {
    expected: Option<[u8; 32]>,
    hasher: Sha256,
}

impl DigestCheck {
    fn new(head: &AnswerHead) -> Self {
        let value = head.headers.iter().find(|pair| pair.name == DIGEST_HEADER);
        let expected = value.and_then(|pair| sha256_of(&pair.value));
        Self {
            expected,
            hasher: Sha256::new(),
        }
    }

    fn update(&mut self, bytes: &[u8]) {
        if self.expected.is_some() {
            self.hasher.update(bytes);
        }
    }

    fn is_good(&self) -> bool {
        let found = || <[u8; 32]>::from(self.hasher.clone().finalize());
        self.expected.is_none_or(|expected| expected == found())
    }
}

/// Reads `sha-256=:BASE64:` out of a header's value.
fn sha256_of(value: &[u8]) -> Option<[u8; 32]> {
    let text = std::str::from_utf8(value).ok()?;
    let item = text
        .split(',')
        .find_map(|item| item.trim().strip_prefix("sha-256=:"))?;
    let raw = base64::Engine::decode(
        &base64::engine::general_purpose::STANDARD,
        item.strip_suffix(':')?,
    );
    raw.ok()?.try_into().ok()
}
