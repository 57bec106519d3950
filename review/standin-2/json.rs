//! JSON values: as much as the store's interface and the leafs' entries need.

use std::fmt::Write as _;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Quotes a text.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => {
                let _ = write!(quoted, "\\u{:04x}", c as u32);
            }
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

/// Parses a document; `None` if it is not JSON.
pub fn parse(text: &str) -> Option<Json> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    skip(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn eat(bytes: &[u8], at: &mut usize, expected: u8) -> Option<()> {
    skip(bytes, at);
    (bytes.get(*at) == Some(&expected)).then(|| *at += 1)
}

fn word(bytes: &[u8], at: &mut usize, word: &str, result: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        result
    })
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            skip(bytes, at);
            if bytes.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Table(fields));
            }
            loop {
                skip(bytes, at);
                let key = string(bytes, at)?;
                eat(bytes, at, b':')?;
                fields.push((key, value(bytes, at)?));
                skip(bytes, at);
                match bytes.get(*at)? {
                    b',' => *at += 1,
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            skip(bytes, at);
            if bytes.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::List(items));
            }
            loop {
                items.push(value(bytes, at)?);
                skip(bytes, at);
                match bytes.get(*at)? {
                    b',' => *at += 1,
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    _ => return None,
                }
            }
        }
        b'"' => string(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    eat(bytes, at, b'"')?;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'b' => text.push(8),
                    b'f' => text.push(12),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        let mut buffer = [0; 4];
                        text.extend_from_slice(c.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => text.push(other),
                }
            }
            byte => text.push(byte),
        }
    }
}
