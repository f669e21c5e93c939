//! Journal of every run.

use std::{
    collections::BTreeMap,
    fs::{self, File, OpenOptions},
    io::Write,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
};

use snafu::ResultExt;

use super::{
    JournalError, RunEnd, RunRecord,
    announcement::epoch_ms,
    call_head::CallHead,
    journal_error::{MalformedSnafu, UnusableSnafu},
};

/// Records of all runs, in memory and, if asked for, in a file.
///
/// The file takes one JSON line when a run starts and one when it ends, each
/// written at once. A process that dies under a request leaves the first line
/// behind, so the run is known although nobody was told of it.
#[derive(Debug)]
pub struct RunJournal {
    process: u64,
    entries: Mutex<JournalEntries>,
}

#[derive(Debug)]
struct JournalEntries {
    records: Vec<RunRecord>,
    file: Option<File>,
}

impl RunJournal {
    /// Opens a journal, appending to `INSTANCE.journal` if there is a
    /// directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn open(directory: Option<&Path>, instance: &str) -> Result<Self, JournalError> {
        let file = directory
            .map(|directory| open_file(directory, instance))
            .transpose()?;
        let entries = JournalEntries {
            records: Vec::new(),
            file,
        };
        Ok(Self {
            process: epoch_ms(),
            entries: Mutex::new(entries),
        })
    }

    /// Reads a journal file, with the last record of each run.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or holds something else.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_standins::backend::RunJournal;
    ///
    /// assert!(RunJournal::read_file("no-such.journal").is_err());
    /// ```
    pub fn read_file(path: impl AsRef<Path>) -> Result<Vec<RunRecord>, JournalError> {
        let path = path.as_ref();
        let text = fs::read_to_string(path).context(UnusableSnafu { path })?;
        let mut records = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let parsed = serde_json::from_str(line);
            let record: RunRecord = parsed.context(MalformedSnafu {
                path,
                line: index + 1,
            })?;
            records.insert((record.process, record.run), record);
        }
        Ok(records.into_values().collect())
    }

    /// Returns a copy of all records.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    /// Records that a run starts, and returns its number.
    pub(super) fn start(&self, call: &CallHead, path: &str) -> u64 {
        self.add(call, path, RunEnd::Running)
    }

    /// Records a request that was refused.
    pub(super) fn shed(&self, call: &CallHead, path: &str) {
        self.add(call, path, RunEnd::Shed);
    }

    /// Records how a run ended.
    pub(super) fn end(&self, run: u64, how: RunEnd) {
        let mut entries = self.lock();
        let Some(record) = entries.records.get_mut(run as usize) else {
            return;
        };
        record.ended = Some(epoch_ms());
        record.how = how;
        let record = record.clone();
        entries.append(&record);
    }

    fn add(&self, call: &CallHead, path: &str, how: RunEnd) -> u64 {
        let now = epoch_ms();
        let mut entries = self.lock();
        let record = RunRecord {
            run: entries.records.len() as u64,
            process: self.process,
            request_id: call.request_id.clone(),
            ticket: call.ticket.clone(),
            path: path.to_owned(),
            body_digest: call.body_digest,
            started: now,
            ended: (how != RunEnd::Running).then_some(now),
            how,
        };
        entries.append(&record);
        let run = record.run;
        entries.records.push(record);
        run
    }

    fn lock(&self) -> MutexGuard<'_, JournalEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl JournalEntries {
    /// Writes a record in one call, so that a crash leaves whole lines.
    fn append(&mut self, record: &RunRecord) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut line = serde_json::to_vec(record).expect("a record is plain data");
        line.push(b'\n');
        file.write_all(&line)
            .expect("the journal must take every record");
    }
}

fn open_file(directory: &Path, instance: &str) -> Result<File, JournalError> {
    fs::create_dir_all(directory).context(UnusableSnafu { path: directory })?;
    let path = directory.join(format!("{instance}.journal"));
    let opened = OpenOptions::new().create(true).append(true).open(&path);
    opened.context(UnusableSnafu { path })
}
