//! Request bodies that know whether they were sent.

use std::{
    io::{Result, Write},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use attohttpc::body::{Body, BodyKind};

/// A body that records whether any byte of it was handed to a connection.
///
/// The guard behind "not written": a write that failed before its body was
/// touched can't have reached the platform whole, whatever the error was.
#[derive(Debug)]
pub struct TrackedBody {
    bytes: Vec<u8>,
    touched: Arc<AtomicBool>,
}

impl TrackedBody {
    /// Wraps a JSON text; the flag turns true when sending begins.
    pub fn new(bytes: Vec<u8>) -> (Self, Arc<AtomicBool>) {
        let touched = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&touched);
        (Self { bytes, touched }, flag)
    }
}

impl Body for TrackedBody {
    fn kind(&mut self) -> Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> Result<()> {
        self.touched.store(true, Ordering::Release);
        writer.write_all(&self.bytes)
    }

    fn content_type(&mut self) -> Result<Option<String>> {
        Ok(Some("application/json".to_owned()))
    }
}
