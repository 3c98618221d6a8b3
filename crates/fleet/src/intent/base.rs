//! The value of a store key `intent/base/<revision>`: the whole document, compressed.
//!
//! A document of 1,900 services and 17,000 keepers is 2.1 MB of JSON, and a value of the store
//! holds at most 1 MB. JSON inside keeps the document readable for later versions of the node.

use std::{
    io::{Read, Write},
    sync::Arc,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use oleandertiller_model::{Intent, Revision};
use serde::{Deserialize, Serialize};

use super::head::HeadError;

/// Largest document after decompression, in bytes; bounds the memory that a broken value can take.
const DOCUMENT_MAX_BYTES: u64 = 64 << 20;

/// How the document is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Encoding {
    /// JSON, compressed by zlib, in base64.
    ZlibBase64,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Base {
    revision: Revision,
    encoding: Encoding,
    document: String,
}

/// Returns the key of a base document.
pub fn base_key(revision: Revision) -> String {
    format!("intent/base/{}", revision.0)
}

/// Returns the value of a base document.
///
/// # Panics
///
/// Panics when the intent cannot be written as JSON, which is a fault of the program.
pub fn write_base(intent: &Intent) -> String {
    let json = serde_json::to_vec(intent).expect("an intent can be written as JSON");
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).expect("a vector takes all bytes");
    let bytes = encoder.finish().expect("a vector takes all bytes");
    let document = BASE64_STANDARD.encode(bytes);
    let base = Base { revision: intent.revision, encoding: Encoding::ZlibBase64, document };
    serde_json::to_string(&base).expect("a base document can be written as JSON")
}

/// Parses a base document and checks that it is the one asked for.
///
/// # Errors
///
/// Returns [`HeadError`] when `value` is not the document of `revision`.
pub fn parse_base(value: &str, revision: Revision) -> Result<Arc<Intent>, HeadError> {
    let base: Base = serde_json::from_str(value).map_err(|_| HeadError::Malformed)?;
    let bytes = BASE64_STANDARD.decode(base.document).map_err(|_| HeadError::Malformed)?;
    let mut json = Vec::new();
    let mut decoder = ZlibDecoder::new(&bytes[..]).take(DOCUMENT_MAX_BYTES);
    decoder.read_to_end(&mut json).map_err(|_| HeadError::Malformed)?;
    let doc: Intent = serde_json::from_slice(&json).map_err(|_| HeadError::Malformed)?;
    if base.revision == revision && doc.revision == revision {
        Ok(Arc::new(doc))
    } else {
        Err(HeadError::Inconsistent)
    }
}
