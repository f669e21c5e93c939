//! Requests to terminate: `SIGTERM`, and `SIGINT` from a terminal.

use std::sync::atomic::{AtomicBool, Ordering};

/// Numbers of the signals on every Linux architecture.
const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

static REQUESTED: AtomicBool = AtomicBool::new(false);

unsafe extern "C" {
    fn signal(number: i32, handler: extern "C" fn(i32)) -> usize;
}

extern "C" fn on_signal(_number: i32) {
    REQUESTED.store(true, Ordering::SeqCst);
}

/// Starts to catch both signals, and reports whether one has come since.
///
/// # Examples
///
/// ```
/// assert!(!geranium_standins::backend::termination_requested());
/// ```
pub fn termination_requested() -> bool {
    // SAFETY: the handler only stores to an atomic, which is safe in a signal
    // handler, and has the C signature that `signal` asks for. Setting the
    // same handler again changes nothing.
    unsafe {
        signal(SIGINT, on_signal);
        signal(SIGTERM, on_signal);
    }
    REQUESTED.load(Ordering::SeqCst)
}
