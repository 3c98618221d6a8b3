//! The value of the store key `intent/base/<revision>`: the whole document, compressed.
//!
//! A document of 1,900 services and 17,000 keepers is 2.1 MB of JSON, and the store limits
//! a value to 1 MB. The document is JSON so that later versions of the node can still read it.

use std::{
    io::{Read, Write},
    sync::Arc,
};

use base64::{Engine, prelude::BASE64_STANDARD};
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use oleandertiller_model::{Intent, Revision};
use serde::{Deserialize, Serialize};

use super::head::HeadError;

/// Limit of the decompressed document, in bytes; bounds the memory that a corrupt value can take.
const MAX_DOCUMENT_BYTES: u64 = 64 << 20;

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
/// Panics when the intent cannot be serialized as JSON, which is a bug.
pub fn write_base(intent: &Intent) -> String {
    let json = serde_json::to_vec(intent).expect("an intent serializes as JSON");
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).expect("writing to a vector cannot fail");
    let bytes = encoder.finish().expect("writing to a vector cannot fail");
    let document = BASE64_STANDARD.encode(bytes);
    let base = Base { revision: intent.revision, encoding: Encoding::ZlibBase64, document };
    serde_json::to_string(&base).expect("a base document serializes as JSON")
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
    let mut decoder = ZlibDecoder::new(&bytes[..]).take(MAX_DOCUMENT_BYTES);
    decoder.read_to_end(&mut json).map_err(|_| HeadError::Malformed)?;
    let doc: Intent = serde_json::from_slice(&json).map_err(|_| HeadError::Malformed)?;
    if base.revision == revision && doc.revision == revision {
        Ok(Arc::new(doc))
    } else {
        Err(HeadError::Inconsistent)
    }
}
