//! Clients that send requests one after the other, and what they got.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::http::{self, Call};

/// An answer as a client got it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub id: String,
    pub sent: Instant,
    pub took: Duration,
    /// Status of a whole answer; 0 for none.
    pub status: u16,
}

/// What each client sends.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub method: &'static str,
    pub prefix: &'static str,
    pub deadline: Duration,
    /// Pause after each answer.
    pub pause: Duration,
}

/// Clients that send until they are stopped.
pub struct Clients {
    ended: Arc<AtomicBool>,
    answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts a client for each address.
    pub fn start(addrs: impl IntoIterator<Item = SocketAddr>, load: Load) -> Self {
        let (ended, answers) = (Arc::<AtomicBool>::default(), Arc::default());
        let threads = addrs.into_iter().enumerate().map(|(client, addr)| {
            let (ended, answers) = (Arc::clone(&ended), Arc::clone(&answers));
            thread::spawn(move || send(client, addr, load, &ended, &answers))
        });
        let threads = threads.collect();
        Self {
            ended,
            answers,
            threads,
        }
    }

    /// Stops the clients and returns what they got.
    pub fn stop(self) -> Vec<Answer> {
        self.ended.store(true, Ordering::Relaxed);
        for thread in self.threads {
            drop(thread.join());
        }
        let mut answers = self.answers.lock().unwrap().clone();
        answers.sort_by_key(|answer| answer.sent);
        answers
    }
}

fn send(
    client: usize,
    addr: SocketAddr,
    load: Load,
    ended: &AtomicBool,
    answers: &Mutex<Vec<Answer>>,
) {
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("c{client}-{number}");
        let body = if load.method == "POST" { "order" } else { "" };
        let call = Call::new(load.method, &format!("{}{id}", load.prefix))
            .with("X-Geraniumspring-Request-Id", &id)
            .with("X-Geraniumspring-Deadline-Ms", load.deadline.as_millis())
            .with_body(body);
        let sent = Instant::now();
        let limit = load.deadline + Duration::from_millis(100);
        let status = http::call(addr, &call, limit).map_or(0, |reply| reply.status);
        let took = sent.elapsed();
        answers.lock().unwrap().push(Answer {
            id,
            sent,
            took,
            status,
        });
        thread::sleep(load.pause);
    }
}
