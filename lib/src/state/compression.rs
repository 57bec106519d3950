//! Compression of file bodies, records and large messages, with a bound on the decompressed size.

use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::bufread::ZlibDecoder;
use flate2::write::ZlibEncoder;
use thiserror::Error;

/// Values smaller than this, in bytes, are stored uncompressed, so that they stay readable with the
/// tools of the key-value service.
const PACK_THRESHOLD_BYTES: usize = 16 * 1024;

/// The zlib header at the default compression level. No UTF-8 text starts with these bytes.
const ZLIB_HEADER: [u8; 2] = [0x78, 0x9c];

/// The error returned for bytes that cannot be decompressed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Error {
    /// The bytes are corrupt, truncated or not in zlib's format.
    #[error("the compressed bytes are malformed")]
    Malformed,
    /// The given number of bytes follow after the end of the compressed value.
    #[error("{0} bytes follow after the end of the compressed value")]
    Trailing(usize),
    /// The value, decompressed if it was compressed, is longer than the given limit, in bytes.
    #[error("the decompressed value has more than {0} bytes")]
    TooLarge(usize),
}

/// Compresses bytes into zlib's format.
///
/// # Panics
///
/// Does not panic in practice: the encoder writes to a vector, which cannot fail.
#[must_use]
pub fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.expect("writing to a vector does not fail")
}

/// Decompresses to at most `limit` bytes. Memory use stays near `limit` even for malicious input.
///
/// # Errors
///
/// Returns an error when the bytes are malformed, more bytes follow after the compressed value, or
/// the decompressed value is longer than `limit`.
pub fn decompress(bytes: &[u8], limit: usize) -> Result<Vec<u8>, Error> {
    let mut decoder = ZlibDecoder::new(bytes);
    let mut value = Vec::new();
    let read_limit = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    let read = decoder.by_ref().take(read_limit).read_to_end(&mut value);
    if value.len() > limit {
        return Err(Error::TooLarge(limit));
    }
    read.map_err(|_| Error::Malformed)?;
    match decoder.into_inner().len() {
        0 => Ok(value),
        trailing => Err(Error::Trailing(trailing)),
    }
}

/// Prepares a text for the key-value service: compresses it if it is large.
#[must_use]
pub fn pack(text: Vec<u8>) -> Vec<u8> {
    if text.len() < PACK_THRESHOLD_BYTES {
        return text;
    }
    compress(&text)
}

/// Reverses [`pack`].
///
/// # Errors
///
/// Returns an error when the value is malformed or, after decompression, longer than `limit` bytes.
pub fn unpack(value: Vec<u8>, limit: usize) -> Result<Vec<u8>, Error> {
    if value.starts_with(&ZLIB_HEADER) {
        return decompress(&value, limit);
    }
    if value.len() > limit {
        return Err(Error::TooLarge(limit));
    }
    Ok(value)
}
