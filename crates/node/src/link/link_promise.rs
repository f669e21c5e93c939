//! The promise of the link to one long answer.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::time::{Sleep, sleep};

use super::{AnswerCourse, LinkLine, LinkTurn, LoadKey};
use crate::node_clock::NodeClock;

/// The promise of the link to one long answer; taken back when dropped.
#[derive(Debug)]
pub struct LinkPromise {
    line: Rc<LinkLine>,
    clock: NodeClock,
    key: LoadKey,
    course: AnswerCourse,
    timer: Option<Pin<Box<Sleep>>>,
}

impl LinkPromise {
    /// Holds a promise that the schedule made.
    pub(super) fn new(
        line: &Rc<LinkLine>,
        clock: NodeClock,
        key: LoadKey,
        course: AnswerCourse,
    ) -> Self {
        Self {
            line: Rc::clone(line),
            clock,
            key,
            course,
            timer: None,
        }
    }

    /// Takes in that the answer is made, and its bytes if its head told them.
    pub fn made(&mut self, bytes: Option<u64>) {
        self.course.made(self.clock.now(), bytes);
        if let Some(bytes) = bytes {
            self.line.schedule().resize(self.key, bytes);
        }
    }

    /// Ends the promise after the last byte.
    pub fn complete(mut self) {
        self.course.is_whole = true;
    }

    /// Waits for the next turn and returns how many bytes it has.
    pub fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        loop {
            let turn = self.line.schedule().turn(self.clock.now(), self.key);
            match turn {
                LinkTurn::Now => {
                    self.timer = None;
                    self.line.leave(self.key);
                    return Poll::Ready(self.line.schedule().piece());
                }
                LinkTurn::Postponed(key) => {
                    self.line.leave(self.key);
                    self.key = key;
                    self.course.postponed_at = Some(self.clock.now());
                    // Whoever waited behind it may be first now.
                    self.line.wake_next();
                }
                LinkTurn::Later => {
                    self.timer = None;
                    self.line.wait(self.key, cx.waker());
                    return Poll::Pending;
                }
                LinkTurn::After(time) => {
                    self.line.wait(self.key, cx.waker());
                    let timer = self.timer.insert(Box::pin(sleep(time)));
                    if timer.as_mut().poll(cx).is_pending() {
                        return Poll::Pending;
                    }
                }
            }
        }
    }

    /// Notes bytes of the answer that were handed over, and lets the next one
    /// have its turn.
    pub fn sent(&mut self, bytes: u64) {
        let now = self.clock.now();
        self.course.sent(now, bytes);
        self.line.sent_of(now, self.key, bytes);
        self.line.wake_next();
    }
}

impl Drop for LinkPromise {
    fn drop(&mut self) {
        self.line.schedule().withdraw(self.key);
        self.line.leave(self.key);
        self.line.ended(self.clock.now(), &self.course);
        self.line.wake_next();
    }
}
