//! Transfer of file bodies between instances, compressed and in parts.

use std::sync::Arc;
use std::sync::OnceLock;

use crate::coordination::control::BodyPart;
use crate::coordination::control::BodyRequest;
use crate::state::compression;
use crate::state::record::FileRef;
use crate::state::record::Record;

/// The largest file body, equal to the store's largest value. Limits both the compressed and the
/// decompressed size.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A complete body.
#[derive(Debug)]
struct CompleteBody {
    file: FileRef,
    text: Arc<str>,
    /// The compressed body: computed when a peer first requests it, or kept as received.
    compressed: OnceLock<Vec<u8>>,
}

impl CompleteBody {
    fn new(file: FileRef, text: Arc<str>) -> Self {
        let compressed = OnceLock::new();
        Self {
            file,
            text,
            compressed,
        }
    }

    fn compressed(&self) -> &[u8] {
        self.compressed
            .get_or_init(|| compression::compress(self.text.as_bytes()))
    }
}

/// A body that has not been received completely.
#[derive(Debug)]
struct PartialBody {
    file: FileRef,
    total: u64,
    bytes: Vec<u8>,
}

/// File bodies: the last complete one, the one that this instance proposes, and the one being
/// received.
#[derive(Debug, Default)]
pub(super) struct Body {
    current: Option<CompleteBody>,
    proposed: Option<CompleteBody>,
    partial: Option<PartialBody>,
    /// The last file whose body did not parse. Prevents repeated events for the same file.
    pub(super) rejected: Option<FileRef>,
}

impl Body {
    /// Stores the body of a file that this instance proposes.
    pub(super) fn propose(&mut self, file: FileRef, text: Arc<str>) {
        self.proposed = Some(CompleteBody::new(file, text));
    }

    /// Stores the body of the current file. A body that does not match its reference is ignored.
    pub(super) fn store(&mut self, file: FileRef, text: Arc<str>) {
        if self.current.as_ref().is_some_and(|body| body.file == file) || !file.matches(&text) {
            return;
        }
        let proposed = self.proposed.take_if(|body| body.file == file);
        self.current = Some(proposed.unwrap_or_else(|| CompleteBody::new(file, text)));
        self.partial = None;
    }

    fn find(&self, file: FileRef) -> Option<&CompleteBody> {
        let bodies = [self.current.as_ref(), self.proposed.as_ref()];
        let mut bodies = bodies.into_iter().flatten();
        bodies.find(|body| body.file == file)
    }

    /// Returns the body if this instance has all of it.
    pub(super) fn get(&self, file: FileRef) -> Option<&Arc<str>> {
        self.find(file).map(|body| &body.text)
    }

    pub(super) fn request(&self, record: &Record) -> Option<BodyRequest> {
        let file = record.file.filter(|file| self.find(*file).is_none())?;
        let parts = self.partial.as_ref().filter(|parts| parts.file == file);
        let offset = parts.map_or(0, |parts| parts.bytes.len() as u64);
        Some(BodyRequest { file, offset })
    }

    pub(super) fn part(&self, request: BodyRequest, budget: usize) -> Option<BodyPart> {
        let bytes = self.find(request.file)?.compressed();
        let start = usize::try_from(request.offset).ok()?;
        let end = start.saturating_add(budget).min(bytes.len());
        Some(BodyPart {
            file: request.file,
            offset: request.offset,
            total: bytes.len() as u64,
            bytes: bytes.get(start..end)?.to_vec(),
        })
    }

    /// Adds a received part. Returns whether it was valid and the next missing one.
    pub(super) fn on_part(&mut self, part: BodyPart, record: &Record) -> bool {
        let wanted = self.request(record);
        let expected =
            wanted.is_some_and(|wanted| wanted.file == part.file && wanted.offset == part.offset);
        if !expected || part.bytes.is_empty() || part.total > MAX_BODY_BYTES as u64 {
            return false;
        }
        let mut parts = self
            .partial
            .take()
            .filter(|parts| parts.file == part.file)
            .unwrap_or(PartialBody {
                file: part.file,
                total: part.total,
                bytes: Vec::new(),
            });
        // Peers that run different releases may produce different compressed bytes, so their parts
        // cannot be combined. The parts received so far are dropped too.
        if parts.total != part.total {
            return false;
        }
        parts.bytes.extend(part.bytes);
        if parts.bytes.len() as u64 >= parts.total {
            self.assemble(parts);
        } else {
            self.partial = Some(parts);
        }
        true
    }

    /// Decompresses and stores a body after its last part has arrived. A body that cannot be
    /// decompressed or does not match its reference is dropped and requested again.
    fn assemble(&mut self, parts: PartialBody) {
        let Ok(bytes) = compression::decompress(&parts.bytes, MAX_BODY_BYTES) else {
            return;
        };
        let Ok(text) = String::from_utf8(bytes) else {
            return;
        };
        if parts.file.matches(&text) {
            self.current = Some(CompleteBody {
                file: parts.file,
                text: text.into(),
                compressed: parts.bytes.into(),
            });
        }
    }
}
