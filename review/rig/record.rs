//! The record of a run: what was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record {
            started: Instant::now(),
            file,
        })
    }

    /// Returns the time since the start, in seconds.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line, preceded by the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {text}", self.now());
    }

    /// Writes a line of the verdict, also to the standard output.
    pub fn verdict(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
