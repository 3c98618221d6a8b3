//! A small JSON reader, enough for the calls of the platform's store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses one value; returns `None` if the text is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => object(bytes, at),
        b'[' => list(bytes, at),
        b'"' => string(bytes, at).map(Json::Text),
        b'n' => word(bytes, at, "null").map(|()| Json::Null),
        b't' => word(bytes, at, "true").map(|()| Json::Bool),
        b'f' => word(bytes, at, "false").map(|()| Json::Bool),
        _ => number(bytes, at),
    }
}

fn word(bytes: &[u8], at: &mut usize, text: &str) -> Option<()> {
    bytes[*at..].starts_with(text.as_bytes()).then(|| *at += text.len())
}

fn number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let start = *at;
    while bytes.get(*at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
        *at += 1;
    }
    std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(text).ok();
            }
            b'\\' => {
                text.push(*bytes.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                text.push(byte);
                *at += 1;
            }
        }
    }
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(value(bytes, at)?),
        }
    }
}

fn object(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = BTreeMap::new();
    loop {
        skip_space(bytes, at);
        match *bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Object(fields));
            }
            b',' => *at += 1,
            _ => {
                let name = string(bytes, at)?;
                skip_space(bytes, at);
                *at += 1;
                fields.insert(name, value(bytes, at)?);
            }
        }
    }
}
