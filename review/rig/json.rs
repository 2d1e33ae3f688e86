//! A small JSON reader for the lines that schedulers send, and a writer of JSON text.

use std::collections::BTreeMap;

/// A JSON value. Numbers keep their text.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Returns the member `key` of an object, or null.
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    /// Returns the text of a string or number, or an empty text.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }
}

/// Returns `text` as a JSON string.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' | '\\' => quoted.extend(['\\', letter]),
            letter if letter < ' ' => quoted.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => quoted.push(letter),
        }
    }
    quoted + "\""
}

/// Parses a JSON text; returns `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == text.len()).then_some(value)
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: &str) -> Option<()> {
        let end = self.at + expected.len();
        (self.text.get(self.at..end)? == expected.as_bytes()).then(|| self.at = end)
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.text.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.string()?)),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .text
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.at]).ok()?;
        text.parse::<f64>().ok()?;
        Some(Json::Number(text.to_owned()))
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            self.at += 4;
                            bytes.extend(letter.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut items = Vec::new();
        self.space();
        if self.take("]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            self.space();
            if self.take("]").is_some() {
                return Some(Json::List(items));
            }
            self.take(",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut members = BTreeMap::new();
        self.space();
        if self.take("}").is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.space();
            let key = self.string()?;
            self.space();
            self.take(":")?;
            members.insert(key, self.value()?);
            self.space();
            if self.take("}").is_some() {
                return Some(Json::Object(members));
            }
            self.take(",")?;
        }
    }
}
