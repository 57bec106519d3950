//! Merges the records of the parts of a query. A part is the answer of a leaf, or the merged answer
//! of an instance to which shards were handed over.

use bytes::Bytes;
use camphorhold::coordination::merge::Coverage;
use camphorhold_platform::header;
use camphorhold_platform::header::RECORD_LEN;
use http_body_util::Full;
use hyper::Response;
use hyper::header::HeaderValue;

/// Returns the answer with the `top` greatest records of the parts, greatest first. Its headers
/// hold the signatures of the parts and the number of shards that are missing.
pub fn respond(parts: &[Response<Bytes>], coverage: Coverage, top: usize) -> Response<Full<Bytes>> {
    let mut records: Vec<&[u8]> = parts
        .iter()
        .flat_map(|part| part.body().chunks_exact(RECORD_LEN))
        .collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    let mut response = Response::new(Full::new(Bytes::from(records.concat())));
    let headers = response.headers_mut();
    let signatures: Vec<&[u8]> = parts
        .iter()
        .filter_map(|part| {
            let headers = part.headers();
            let merged = headers.get(header::PART_SIGNATURES);
            merged.or_else(|| headers.get(header::SIGNATURE))
        })
        .map(HeaderValue::as_bytes)
        .collect();
    if let Ok(value) = HeaderValue::from_bytes(&signatures.join(&b","[..])) {
        headers.insert(header::PART_SIGNATURES, value);
    }
    let missing = coverage.in_scope.saturating_sub(coverage.answered);
    headers.insert(header::MISSING_PARTS, HeaderValue::from(missing));
    response
}
