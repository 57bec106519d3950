//! Reads and writes the control record and the file bodies in the key-value service.

use std::sync::Arc;

use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::StoreFailure;
use camphorhold::coordination::control::StoreRequestId;
use camphorhold::coordination::proposal::StoreRevision;
use camphorhold::coordination::proposal::StoredRecord;
use camphorhold::coordination::proposal::SwapOutcome;
use camphorhold::state::compression;
use camphorhold::state::record::FileRef;
use camphorhold::state::record::Record;
use camphorhold::transport::store::CallError;
use camphorhold::transport::store::Client;
use camphorhold::transport::store::Swap;
use camphorhold::transport::store::Versioned;

/// The largest record or file body, in bytes, before compression.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A client of the key-value service for the keys of this system.
#[derive(Clone)]
pub struct Store {
    client: Client,
    prefix: Box<str>,
}

impl Store {
    /// Creates a client for the keys that start with `prefix`.
    pub fn new(client: Client, prefix: Box<str>) -> Self {
        Self { client, prefix }
    }

    fn record_key(&self) -> String {
        format!("{}record", self.prefix)
    }

    fn file_key(&self, file: FileRef) -> String {
        format!("{}file/{}-{:016x}", self.prefix, file.revision, file.digest)
    }

    /// Reads the record. Returns `None` if no record was written after `newer_than`.
    pub async fn read(
        &self,
        newer_than: StoreRevision,
    ) -> Result<Option<StoredRecord>, StoreFailure> {
        count_call("read");
        let read = self
            .client
            .read(&self.record_key(), newer_than.0.saturating_add(1))
            .await;
        let versioned = read.map_err(|error| log_failure("read the record", &error))?;
        versioned.as_ref().map(decode_record).transpose()
    }

    pub async fn read_record(&self, request: StoreRequestId, newer_than: StoreRevision) -> Input {
        let result = self.read(newer_than).await;
        Input::StoreRead { request, result }
    }

    pub async fn read_file(&self, request: StoreRequestId, file: FileRef) -> Input {
        count_call("read");
        let read = self.client.read(&self.file_key(file), 0).await;
        let result = match read {
            Ok(versioned) => versioned.map(decode_text).transpose(),
            Err(error) => Err(log_failure("read a file", &error)),
        };
        Input::FileRead { request, result }
    }

    pub async fn write_file(
        &self,
        request: StoreRequestId,
        file: FileRef,
        text: Arc<str>,
    ) -> Input {
        count_call("write");
        let written = self
            .client
            .write(
                &self.file_key(file),
                compression::pack(text.as_bytes().to_vec()),
            )
            .await;
        let result = written.map_err(|error| log_failure("write a file", &error));
        Input::FileWritten { request, result }
    }

    pub async fn compare_and_swap(
        &self,
        request: StoreRequestId,
        expected: StoreRevision,
        record: Arc<Record>,
    ) -> Input {
        count_call("write");
        let swapped = match serde_json::to_vec(&*record) {
            // Compressed, it could still be written, but no instance could read it back.
            Ok(value) if value.len() > MAX_VALUE_BYTES => {
                log::error!(
                    "not writing a record of {} bytes, which is too large to be read back",
                    value.len()
                );
                SwapOutcome::NotSent
            }
            Ok(value) => self.swap(expected, compression::pack(value)).await,
            Err(error) => {
                log::error!("not writing a record that cannot be encoded: {error}");
                SwapOutcome::NotSent
            }
        };
        Input::StoreWritten { request, swapped }
    }

    async fn swap(&self, expected: StoreRevision, value: Vec<u8>) -> SwapOutcome {
        let key = self.record_key();
        match self.client.compare_and_swap(&key, expected.0, value).await {
            Ok(Swap::Written { mod_revision }) => SwapOutcome::Written(StoreRevision(mod_revision)),
            Ok(Swap::Conflict { .. }) => SwapOutcome::Conflict,
            Err(error) if error.no_effect() => SwapOutcome::NotSent,
            Err(error) => {
                log::warn!("a write to the key-value service may have taken effect: {error}");
                SwapOutcome::Unknown
            }
        }
    }
}

fn count_call(operation: &'static str) {
    metrics::counter!("camphorhold_store_calls_total", "operation" => operation).increment(1);
}

fn log_failure(what: &str, error: &CallError) -> StoreFailure {
    log::debug!("cannot {what}: {error}");
    metrics::counter!("camphorhold_store_failures_total").increment(1);
    StoreFailure
}

fn decode_record(versioned: &Versioned) -> Result<StoredRecord, StoreFailure> {
    let value = unpack(versioned.value.clone())?;
    match serde_json::from_slice(&value) {
        Ok(record) => Ok(StoredRecord {
            record: Arc::new(record),
            revision: StoreRevision(versioned.mod_revision),
        }),
        Err(error) => {
            log::error!("cannot decode the record in the key-value service: {error}");
            Err(StoreFailure)
        }
    }
}

fn decode_text(versioned: Versioned) -> Result<Arc<str>, StoreFailure> {
    let value = unpack(versioned.value)?;
    String::from_utf8(value).map(Arc::from).map_err(|error| {
        log::error!("cannot decode a file in the key-value service: {error}");
        StoreFailure
    })
}

fn unpack(value: Vec<u8>) -> Result<Vec<u8>, StoreFailure> {
    compression::unpack(value, MAX_VALUE_BYTES).map_err(|error| {
        log::error!("cannot decompress a value in the key-value service: {error}");
        StoreFailure
    })
}
