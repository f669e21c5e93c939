//! Long bodies keep their order, their length and their bounds.

use std::{
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use geranium_node::{
    guard::{ReplySink, StreamPart, StreamTable},
    wire::{BodyPart, PeerAnswer},
};

const STALL: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(30);

fn take(table: &StreamTable, stream: u64, offset: u64) -> mpsc::Receiver<PeerAnswer> {
    let (sender, receiver) = mpsc::channel();
    let sink = ReplySink::new(move |answer| {
        let _ = sender.send(answer);
    });
    table.take(stream, offset, sink);
    receiver
}

fn part(receiver: &mpsc::Receiver<PeerAnswer>) -> BodyPart {
    match receiver.recv_timeout(PATIENCE).expect("an answer") {
        PeerAnswer::Part(part) => part,
        other => panic!("{other:?} isn't a part"),
    }
}

#[test]
fn parts_arrive_in_order_and_the_stream_ends() {
    let table = Arc::new(StreamTable::default());
    table.open(1, 10);
    let writer = Arc::clone(&table);
    let writing = thread::spawn(move || {
        for byte in 0..20_u8 {
            assert!(writer.put(1, StreamPart::More(vec![byte; 5]), PATIENCE));
        }
        writer.put(1, StreamPart::Last(vec![99]), PATIENCE)
    });
    let mut offset = 10;
    for byte in 0..20_u8 {
        let receiver = take(&table, 1, offset);
        assert_eq!(
            part(&receiver),
            BodyPart::More {
                stream: 1,
                bytes: vec![byte; 5]
            }
        );
        offset += 5;
    }
    assert_eq!(part(&take(&table, 1, offset)), BodyPart::Last(vec![99]));
    assert!(writing.join().expect("the writer ends"));
    assert!(table.is_empty());
}

/// An asker's part was lost on the way and it asks again with an old offset. A
/// body put together from that would be wrong, so the stream ends as broken.
#[test]
fn an_offset_that_does_not_fit_breaks_the_stream() {
    let table = StreamTable::default();
    table.open(1, 10);
    assert!(table.put(1, StreamPart::More(vec![1; 5]), PATIENCE));
    assert!(matches!(part(&take(&table, 1, 10)), BodyPart::More { .. }));
    assert_eq!(part(&take(&table, 1, 10)), BodyPart::Broken);
    assert!(!table.put(1, StreamPart::More(vec![2; 5]), PATIENCE));
}

/// A caller stops reading. The worker that holds a slot of the backend server
/// must get free after the stall timeout.
#[test]
fn a_writer_whose_asker_stalls_gets_free() {
    let table = StreamTable::default();
    table.open(1, 0);
    let mut taken = true;
    for _ in 0..5 {
        taken = table.put(1, StreamPart::More(vec![1]), STALL);
    }
    assert!(!taken, "the buffer has fewer places than that");
    assert!(table.is_empty());
}

/// The asker vanishes after the worker has put its last part. Nobody waits for
/// that stream any more; the sweep must forget it.
#[test]
fn a_stream_nobody_asks_for_is_swept() {
    let table = StreamTable::default();
    table.open(1, 0);
    assert!(table.put(1, StreamPart::Last(vec![1]), PATIENCE));
    table.sweep(PATIENCE);
    assert_eq!(table.len(), 1, "it has not been idle for long");
    table.sweep(Duration::ZERO);
    assert!(table.is_empty());
}

/// A part of the program loses a request. Its asker must hear that it may have
/// run, and must not wait for its deadline.
#[test]
fn a_sink_dropped_without_an_answer_says_maybe_run() {
    let (sender, receiver) = mpsc::channel();
    drop(ReplySink::new(move |answer| {
        let _ = sender.send(answer);
    }));
    let answer = receiver.recv_timeout(PATIENCE).expect("an answer");
    let PeerAnswer::Refused(refusal) = answer else {
        panic!("{answer:?}")
    };
    assert_eq!(refusal.outcome, geranium_model::Outcome::MaybeRun);
}
