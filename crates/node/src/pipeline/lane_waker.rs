//! Wakes the task of a connection for one of its lanes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Wake, Waker},
};

/// Wakes the task of a connection and records which lane it was for.
///
/// Without it, each event on one of 16 lanes would poll them all.
#[derive(Debug)]
pub(super) struct LaneWaker {
    is_woken: AtomicBool,
    task: Waker,
}

impl LaneWaker {
    /// Creates the waker of a lane in the connection with the given task.
    pub fn new(task: &Waker) -> Arc<Self> {
        Arc::new(Self {
            is_woken: AtomicBool::new(false),
            task: task.clone(),
        })
    }

    /// Returns whether the lane was woken, and forgets it.
    pub fn take_woken(&self) -> bool {
        self.is_woken.swap(false, Ordering::AcqRel)
    }

    /// Returns whether the lane belongs to this task.
    pub fn is_for(&self, task: &Waker) -> bool {
        self.task.will_wake(task)
    }
}

impl Wake for LaneWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.is_woken.store(true, Ordering::Release);
        self.task.wake_by_ref();
    }
}
