//! The little JSON, base64 and percent-encoding that the stand-ins need.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(u64),
    Text(String),
    Rows(Vec<Json>),
    Fields(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Fields(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn rows(&self) -> &[Json] {
        match self {
            Json::Rows(rows) => rows,
            _ => &[],
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }
}

/// Parses a JSON text. What cannot be read becomes [`Json::Null`].
pub fn parse(bytes: &[u8]) -> Json {
    let mut position = 0;
    value(bytes, &mut position).unwrap_or(Json::Null)
}

fn skip(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip(bytes, position);
    match bytes.get(*position)? {
        b'{' => {
            *position += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, position);
                match bytes.get(*position)? {
                    b'}' => {
                        *position += 1;
                        return Some(Json::Fields(fields));
                    }
                    b',' => *position += 1,
                    _ => {
                        let name = string(bytes, position)?;
                        skip(bytes, position);
                        *position += 1;
                        fields.push((name, value(bytes, position)?));
                    }
                }
            }
        }
        b'[' => {
            *position += 1;
            let mut rows = Vec::new();
            loop {
                skip(bytes, position);
                match bytes.get(*position)? {
                    b']' => {
                        *position += 1;
                        return Some(Json::Rows(rows));
                    }
                    b',' => *position += 1,
                    _ => rows.push(value(bytes, position)?),
                }
            }
        }
        b'"' => string(bytes, position).map(Json::Text),
        b't' => literal(position, 4),
        b'f' => literal(position, 5),
        b'n' => literal(position, 4),
        _ => {
            let start = *position;
            while bytes
                .get(*position)
                .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
            {
                *position += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*position]).ok()?;
            let number: f64 = text.parse().ok()?;
            Some(Json::Number(text.parse().unwrap_or(number as u64)))
        }
    }
}

/// Skips `true`, `false` or `null`, which no call here needs.
fn literal(position: &mut usize, length: usize) -> Option<Json> {
    *position += length;
    Some(Json::Null)
}

fn string(bytes: &[u8], position: &mut usize) -> Option<String> {
    *position += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*position)?;
        *position += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*position)?;
                *position += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits =
                            std::str::from_utf8(bytes.get(*position..*position + 4)?).ok()?;
                        *position += 4;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut utf8 = [0; 4];
                        text.extend(char::from_u32(code)?.encode_utf8(&mut utf8).bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

/// Returns a text as a JSON string. The keys here need no escapes but these two.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(ALPHABET[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|digit| *digit == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let bits = chunk
            .iter()
            .enumerate()
            .fold(0, |bits, (index, digit)| bits | digit << (18 - 6 * index));
        let group = bits.to_be_bytes();
        bytes.extend_from_slice(&group[1..chunk.len()]);
    }
    bytes
}

pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let digits = text.get(index + 1..index + 3);
        match (
            bytes[index],
            digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
