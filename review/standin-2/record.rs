//! What was sent, answered and run, with times since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {line}");
        }
    }

    /// Writes a line, and prints it.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}
