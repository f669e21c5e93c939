//! Child processes of the rig, and signals to them.

use std::{
    fs::OpenOptions,
    path::Path,
    process::{Child, Command, Stdio},
};

use snafu::ResultExt;

use crate::{
    RigError,
    rig_error::{FileSnafu, ProcessSnafu},
};

/// Signals that the rig sends, with their numbers on Linux.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(i32)]
pub enum ProcessSignal {
    /// `SIGHUP`: asks the process to reload its settings.
    Hangup = 1,
    /// `SIGKILL`: ends the process at once, without cleanup.
    Kill = 9,
    /// `SIGTERM`: asks the process to terminate gracefully.
    Terminate = 15,
    /// `SIGCONT`: continues a stopped process.
    Continue = 18,
    /// `SIGSTOP`: stops the process, which can't catch the signal.
    Stop = 19,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program and appends its output to `NAME.log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be opened or the program can't be started.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::{env, process::Command};
    /// use geranium_rig::ChildProcess;
    ///
    /// let mut command = Command::new("sleep");
    /// command.arg("60");
    /// let mut process = ChildProcess::spawn("doc-sleeper", command, &env::temp_dir())?;
    /// assert!(process.is_running());
    /// # std::fs::remove_file(env::temp_dir().join("doc-sleeper.log")).ok();
    /// # Ok::<(), geranium_rig::RigError>(())
    /// ```
    pub fn spawn(name: &str, mut command: Command, log_dir: &Path) -> Result<Self, RigError> {
        let path = log_dir.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(&path);
        let log = log.context(FileSnafu { path: &path })?;
        let errors = log.try_clone().context(FileSnafu { path })?;
        let child = command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        Ok(Self {
            child: child.context(ProcessSnafu { name })?,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; does nothing if the process has exited.
    pub fn signal(&mut self, signal: ProcessSignal) {
        if self.is_running() {
            // SAFETY: the call reads two integers. The id is the child's own: the child was
            // running a moment ago, and its id isn't reused before this process waits for it.
            unsafe {
                kill(self.child.id().cast_signed(), signal as i32);
            }
        }
    }

    /// Returns whether the process hasn't exited.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
