//! Cases of the second independent review. `review-2 CASE RECORD DIRECTORY` plays one; `TROUBLE=0`
//! leaves the disruption out.

mod cases;
mod clients;
mod endpoint;
mod fleet;
mod http;

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::{Path, PathBuf},
    process::exit,
    sync::{Arc, Mutex},
    time::Instant,
};

use clients::Answer;
use endpoint::Endpoint;

/// What a case writes down, and where its nodes keep settings and logs.
pub struct Case {
    pub directory: PathBuf,
    /// Whether the disruption is left in.
    pub trouble: bool,
    begun: Instant,
    record: Mutex<BufWriter<File>>,
}

impl Case {
    /// Writes a line to the record and to standard output, with the time since the start.
    pub fn note(&self, text: &str) {
        let line = self.write(self.begun.elapsed().as_secs_f64(), text);
        print!("{line}");
    }

    fn write(&self, at_s: f64, text: &str) -> String {
        let line = format!("{at_s:8.3} {text}\n");
        let written = self.record.lock().unwrap().write_all(line.as_bytes());
        drop(written);
        line
    }

    /// Writes down what clients sent and got, and where it ran.
    pub fn list(&self, answers: &[Answer], endpoints: &[Arc<Endpoint>]) {
        let at = |time: Instant| time.saturating_duration_since(self.begun).as_secs_f64();
        for answer in answers {
            let text = format!(
                "sent {}, answered {} after {:.3} s",
                answer.id,
                answer.status,
                answer.took.as_secs_f64()
            );
            self.write(at(answer.sent), &text);
        }
        for endpoint in endpoints {
            for run in &*endpoint.runs.lock().unwrap() {
                self.write(at(run.at), &format!("run {} at {}", run.id, endpoint.id));
            }
        }
    }
}

/// Ends the program because the case can't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    exit(2)
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, record, directory] = &arguments[..] else {
        cannot_run("usage: review-2 CASE RECORD DIRECTORY");
    };
    let record = File::create(Path::new(record))
        .unwrap_or_else(|error| cannot_run(&format!("{record}: {error}")));
    let case = Case {
        directory: PathBuf::from(directory),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        begun: Instant::now(),
        record: Mutex::new(BufWriter::new(record)),
    };
    let is_broken = cases::play(name, &case);
    case.note(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    drop(case.record.lock().unwrap().flush());
    exit(i32::from(is_broken));
}
