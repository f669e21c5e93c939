//! The thread that tells the backend server which requests to stop.

use std::thread::{self, JoinHandle};

use crossbeam::channel::{Sender, bounded};

use super::BackendClient;

/// Cancellations that may wait. Beyond it they are dropped: the backend server
/// then finishes a request that nobody waits for, which costs a slot but harms
/// nobody.
const RING_LENGTH: usize = 256;

/// One request to stop.
#[derive(Debug)]
pub struct CancelOrder {
    /// The backend server that runs it.
    pub client: BackendClient,
    /// Identifier of the request.
    pub request_id: String,
}

/// Starts the thread.
///
/// # Errors
///
/// When the thread can't be started.
pub fn start() -> std::io::Result<(Sender<CancelOrder>, JoinHandle<()>)> {
    let (sender, receiver) = bounded::<CancelOrder>(RING_LENGTH);
    let handle = thread::Builder::new()
        .name("canceller".to_owned())
        .spawn(move || {
            for order in receiver {
                order.client.cancel(&order.request_id);
            }
        })?;
    Ok((sender, handle))
}
