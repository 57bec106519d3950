//! Compression of file bodies, records and large messages, with a bound on the decompressed size.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::bufread::ZlibDecoder;
use flate2::write::ZlibEncoder;
use thiserror::Error;

/// Values of the key-value service below this size, in bytes, are written as they are, so that
/// they stay readable with the service's own tools.
const PACK_FROM: usize = 16 * 1024;

/// How compressed values begin at the default level. No UTF-8 text begins with these bytes.
const MAGIC: [u8; 2] = [0x78, 0x9c];

/// Is returned for bytes that cannot be decompressed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes are damaged, cut short or no compressed value at all.
    #[error("the compressed bytes are malformed")]
    Malformed,
    /// More bytes follow after the end of the compressed value.
    #[error("{0} bytes follow after the end of the compressed value")]
    Trailing(usize),
    /// The decompressed value would be longer than permitted.
    #[error("the decompressed value has more than {0} bytes")]
    TooLarge(usize),
}

/// Compresses in zlib's format.
///
/// # Panics
///
/// Panics only if memory runs out, because the encoder writes to a vector.
#[must_use]
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.expect("writing to a vector does not fail")
}

/// Decompresses to at most `limit` bytes. Never holds much more than that, whatever the bytes say.
///
/// # Errors
///
/// Returns an error when the bytes are malformed or the value is longer than `limit`.
pub fn decompress(bytes: &[u8], limit: usize) -> Result<Vec<u8>, Error> {
    let mut decoder = ZlibDecoder::new(bytes);
    let mut value = Vec::new();
    let most = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    let read = decoder.by_ref().take(most).read_to_end(&mut value);
    if value.len() > limit {
        return Err(Error::TooLarge(limit));
    }
    read.map_err(|_| Error::Malformed)?;
    match decoder.into_inner().len() {
        0 => Ok(value),
        trailing => Err(Error::Trailing(trailing)),
    }
}

/// Compresses a text for the key-value service if it is large.
#[must_use]
pub fn pack(text: Vec<u8>) -> Vec<u8> {
    if text.len() < PACK_FROM {
        return text;
    }
    compress(&text)
}

/// Reverses [`pack`].
///
/// # Errors
///
/// Returns an error when the value is malformed or longer than `limit`.
pub fn unpack(value: Vec<u8>, limit: usize) -> Result<Vec<u8>, Error> {
    if value.starts_with(&MAGIC) {
        return decompress(&value, limit);
    }
    if value.len() > limit {
        return Err(Error::TooLarge(limit));
    }
    Ok(value)
}
