//! Writes log lines as JSON to standard output without blocking requests.
//!
//! Lines go through a bounded queue to a thread that writes them in batches. Lines of level info
//! and below are dropped once a batch has [`BATCH_LINES`] lines, and lines of every level while the
//! queue is full. A separate log line and a counter state how many lines were dropped.

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

/// The most lines that wait to be written: about 1 MB at some 300 bytes a line.
const QUEUE_LINES: usize = 4_096;

/// Lines per batch above which lines below level warn are dropped.
const BATCH_LINES: u64 = 100;

/// Pause between two writes. A write of any length costs a system call and a wake-up.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// How long the process waits at its end until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A message to the writer thread.
enum Message {
    /// A line to write, with its newline.
    Line(Vec<u8>),
    /// A request to write the lines queued before it and then to confirm on the channel.
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

/// Runs the writer thread: writes queued lines in batches until the process ends.
fn write_lines(queue: &'static Queue, messages: &Receiver<Message>) {
    while let Ok(first) = messages.recv() {
        if matches!(first, Message::Line(_)) {
            std::thread::park_timeout(BATCH_INTERVAL);
        }
        let mut batch = Vec::new();
        let mut flush_done = None;
        for message in std::iter::once(first).chain(messages.try_iter()) {
            match message {
                Message::Line(line) => batch.extend_from_slice(&line),
                Message::Flush(done) => flush_done = Some(done),
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
        // Ignores errors: if standard output is closed, there is nowhere to report them.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
        if let Some(done) = flush_done {
            // Fails only if `Flush::flush` has timed out and dropped the receiver.
            let _ = done.try_send(());
        }
    }
}

struct SharedQueue(&'static Queue);

impl LogWriter for SharedQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
        self.0.write(now, record)
    }

    fn flush(&self) -> std::io::Result<()> {
        self.0.flush()
    }
}

/// Flushes the queue before the process ends.
pub struct Flush {
    queue: &'static Queue,
    thread: std::thread::Thread,
}

impl Flush {
    /// Waits until the queued lines are written, for at most [`FLUSH_TIMEOUT`], and returns at once
    /// if the queue is full. Lines that are not written by then are lost.
    pub fn flush(self) {
        let (done, done_receiver) = sync_channel(1);
        if self.queue.messages.try_send(Message::Flush(done)).is_ok() {
            self.thread.unpark();
            // Ignores a timeout: the lines are lost, and there is nowhere to report that.
            let _ = done_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts the writer thread and installs the process-wide logger, with the levels of a
/// `flexi_logger` specification.
///
/// # Errors
///
/// Returns an error if the specification is invalid, a logger is already installed, or the thread
/// cannot be started.
pub fn start(specification: &str) -> Result<(LoggerHandle, Flush), FlexiLoggerError> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let queue: &'static Queue = Box::leak(Box::new(Queue {
        messages: sender,
        in_batch: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    }));
    let handle = Logger::try_with_str(specification)?
        .log_to_writer(Box::new(SharedQueue(queue)))
        .start()?;
    let writer = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(queue, &receiver))?;
    let thread = writer.thread().clone();
    Ok((handle, Flush { queue, thread }))
}
