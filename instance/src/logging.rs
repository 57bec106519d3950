//! Structured log lines on standard output that never block a request.
//!
//! Lines go through a bounded queue to a thread that writes them in batches. When the queue or the
//! rate per second is full, lines of level info and below are dropped first; what was dropped is
//! counted in a line of its own.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Record;

/// Lines that wait to be written. At some 300 bytes a line this bounds the queue to about 1 MB.
const QUEUE_LINES: usize = 4_096;

/// Lines per batch interval; beyond it, lines below the level warn are dropped.
const BATCH_LINES: u64 = 100;

/// Pause between two writes. A write costs a system call and a wake-up, whatever its length.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time that the end of a process waits for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// What the writing thread gets.
enum Message {
    /// A line to write.
    Line(Vec<u8>),
    /// A request to write what is queued before it, and to say so.
    Flush(SyncSender<()>),
}

struct Queue {
    messages: SyncSender<Message>,
    in_batch: AtomicU64,
    dropped: AtomicU64,
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        let used = self.in_batch.fetch_add(1, Ordering::Relaxed);
        if used >= BATCH_LINES && record.level() > log::Level::Warn {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = Vec::with_capacity(256);
        flexi_logger::json_format(&mut line, now, record)?;
        line.push(b'\n');
        if self.messages.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes lines until the process ends.
fn write_lines(queue: &'static Queue, messages: &Receiver<Message>) {
    while let Ok(first) = messages.recv() {
        if matches!(first, Message::Line(_)) {
            std::thread::park_timeout(BATCH_INTERVAL);
        }
        let mut batch = Vec::new();
        let mut flushed = None;
        for message in std::iter::once(first).chain(messages.try_iter()) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flushed = Some(done),
            }
        }
        queue.in_batch.store(0, Ordering::Relaxed);
        let dropped = queue.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            metrics::counter!("camphorhold_log_lines_dropped_total").increment(dropped);
            let note = format!(
                "{{\"level\":\"WARN\",\"text\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            );
            batch.extend_from_slice(note.as_bytes());
        }
        let mut output = std::io::stdout().lock();
        // Without a reader there is nobody to tell.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        if let Some(done) = flushed {
            // Nobody waits any more if this fails.
            let _ = done.try_send(());
        }
    }
}

struct Shared(&'static Queue);

impl LogWriter for Shared {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        self.0.write(now, record)
    }

    fn flush(&self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Writes out the last lines before the process ends.
pub struct Flush {
    queue: &'static Queue,
    thread: std::thread::Thread,
}

impl Flush {
    /// Writes what is queued. Without a reader, waits for [`FLUSH_LIMIT`].
    pub fn flush(self) {
        let (done, is_done) = sync_channel(1);
        if self.queue.messages.try_send(Message::Flush(done)).is_ok() {
            self.thread.unpark();
            // After the limit the lines are lost, and there is no place left to say so.
            let _ = is_done.recv_timeout(FLUSH_LIMIT);
        }
    }
}

/// Starts logging at the levels of a `flexi_logger` specification.
///
/// # Errors
///
/// Returns an error for a specification that cannot be read.
pub fn start(specification: &str) -> Result<(LoggerHandle, Flush), FlexiLoggerError> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let queue: &'static Queue = Box::leak(Box::new(Queue {
        messages: sender,
        in_batch: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    }));
    let handle = Logger::try_with_str(specification)?
        .log_to_writer(Box::new(Shared(queue)))
        .start()?;
    let writer = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(queue, &receiver))?;
    let thread = writer.thread().clone();
    Ok((handle, Flush { queue, thread }))
}
