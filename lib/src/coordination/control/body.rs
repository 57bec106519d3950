//! File bodies, which travel compressed and in parts.

use std::sync::Arc;
use std::sync::OnceLock;

use crate::coordination::control::BodyPart;
use crate::coordination::control::BodyRequest;
use crate::state::compression;
use crate::state::record::FileRef;
use crate::state::record::Record;

/// The largest file body, the same as the store's largest value. Holds for the compressed and for
/// the decompressed body.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// A whole body.
#[derive(Debug)]
struct Whole {
    file: FileRef,
    text: Arc<str>,
    /// What is sent: filled when a peer first asks, or with the bytes that were received.
    compressed: OnceLock<Vec<u8>>,
}

impl Whole {
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

/// A body of which parts are missing.
#[derive(Debug)]
struct Partial {
    file: FileRef,
    total: u64,
    bytes: Vec<u8>,
}

/// File bodies: the last one received whole, the one on offer, and the one being received.
#[derive(Debug, Default)]
pub(super) struct Body {
    held: Option<Whole>,
    offered: Option<Whole>,
    parts: Option<Partial>,
    pub(super) rejected: Option<FileRef>,
}

impl Body {
    /// Keeps the body of a file that this instance proposes.
    pub(super) fn offer(&mut self, file: FileRef, text: Arc<str>) {
        self.offered = Some(Whole::new(file, text));
    }

    /// Keeps the body of the file in force, unless it does not match its name.
    pub(super) fn take(&mut self, file: FileRef, text: Arc<str>) {
        if self.held.as_ref().is_some_and(|whole| whole.file == file) || !file.matches(&text) {
            return;
        }
        let offered = self.offered.take_if(|whole| whole.file == file);
        self.held = Some(offered.unwrap_or_else(|| Whole::new(file, text)));
        self.parts = None;
    }

    fn whole(&self, file: FileRef) -> Option<&Whole> {
        let bodies = [self.held.as_ref(), self.offered.as_ref()];
        let mut bodies = bodies.into_iter().flatten();
        bodies.find(|whole| whole.file == file)
    }

    /// Returns the body if it is here.
    pub(super) fn get(&self, file: FileRef) -> Option<&Arc<str>> {
        self.whole(file).map(|whole| &whole.text)
    }

    pub(super) fn request(&self, record: &Record) -> Option<BodyRequest> {
        let file = record.file.filter(|file| self.whole(*file).is_none())?;
        let parts = self.parts.as_ref().filter(|parts| parts.file == file);
        let offset = parts.map_or(0, |parts| parts.bytes.len() as u64);
        Some(BodyRequest { file, offset })
    }

    pub(super) fn part(&self, request: BodyRequest, budget: usize) -> Option<BodyPart> {
        let bytes = self.whole(request.file)?.compressed();
        let start = usize::try_from(request.offset).ok()?;
        let end = start.saturating_add(budget).min(bytes.len());
        Some(BodyPart {
            file: request.file,
            offset: request.offset,
            total: bytes.len() as u64,
            bytes: bytes.get(start..end)?.to_vec(),
        })
    }

    /// Takes a part. Tells whether it was the one that was missing.
    pub(super) fn on_part(&mut self, part: BodyPart, record: &Record) -> bool {
        let wanted = self.request(record);
        let expected =
            wanted.is_some_and(|wanted| wanted.file == part.file && wanted.offset == part.offset);
        if !expected || part.bytes.is_empty() || part.total > MAX_BODY_BYTES as u64 {
            return false;
        }
        let mut parts = self
            .parts
            .take()
            .filter(|parts| parts.file == part.file)
            .unwrap_or(Partial {
                file: part.file,
                total: part.total,
                bytes: Vec::new(),
            });
        // Peers of different releases may compress differently: their parts do not fit together.
        if parts.total != part.total {
            return false;
        }
        parts.bytes.extend(part.bytes);
        if parts.bytes.len() as u64 >= parts.total {
            self.assemble(parts);
        } else {
            self.parts = Some(parts);
        }
        true
    }

    /// Takes a body whose parts are all here. One that cannot be decompressed or does not match its
    /// name is dropped and asked for again.
    fn assemble(&mut self, parts: Partial) {
        let Ok(bytes) = compression::decompress(&parts.bytes, MAX_BODY_BYTES) else {
            return;
        };
        let Ok(text) = String::from_utf8(bytes) else {
            return;
        };
        if parts.file.matches(&text) {
            self.held = Some(Whole {
                file: parts.file,
                text: text.into(),
                compressed: parts.bytes.into(),
            });
        }
    }
}
