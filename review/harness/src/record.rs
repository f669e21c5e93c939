//! What was sent, answered and run, in the order in which it was seen.

use std::{fmt::Write, path::Path, sync::Mutex, time::Instant};

/// Run of a request at a backend server.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub instance: String,
    pub began: Instant,
}

/// Lines of `record.txt`, and the runs behind them.
#[derive(Debug)]
pub struct Record {
    begun: Instant,
    lines: Mutex<Vec<String>>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}");
        println!("{line}");
        self.lines.lock().unwrap().push(line);
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

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for line in self.lines.lock().unwrap().iter() {
            let _infallible = writeln!(text, "{line}");
        }
        std::fs::write(path, text).expect("record.txt can be written");
    }
}
