//! What was sent, answered and run, in the order in which it was seen.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// Run of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub began: Instant,
}

/// The file `record.txt`, which is written line by line, and the runs in it.
#[derive(Debug)]
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    /// Starts an empty record at `path`.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begun: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}");
        println!("{line}");
        let written = writeln!(self.file.lock().unwrap(), "{line}");
        written.expect("record.txt can be written");
    }

    pub fn run(&self, run: Run) {
        let (id, instance) = (&run.id, &run.instance);
        self.note(&format!("run      {id} at {instance}"));
        self.runs.lock().unwrap().push(run);
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|run| run.id == id).collect()
    }
}
