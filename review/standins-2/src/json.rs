//! A small JSON reader and writer, so that the stand-ins need no dependency.

use std::collections::BTreeMap;
use std::fmt;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// The field of an object; null if there is none.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(items) => items,
            _ => &[],
        }
    }

    pub fn is_null(&self) -> bool {
        *self == Value::Null
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Self {
        Value::Text(text.to_owned())
    }
}

impl From<String> for Value {
    fn from(text: String) -> Self {
        Value::Text(text)
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Self {
        Value::Number(number as f64)
    }
}

impl From<bool> for Value {
    fn from(flag: bool) -> Self {
        Value::Bool(flag)
    }
}

impl From<Vec<Value>> for Value {
    fn from(items: Vec<Value>) -> Self {
        Value::List(items)
    }
}

/// An object with these fields.
pub fn object(fields: &[(&str, Value)]) -> Value {
    Value::Object(fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect())
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(flag) => write!(f, "{flag}"),
            Value::Number(number) if number.fract() == 0.0 => write!(f, "{}", *number as i64),
            Value::Number(number) => write!(f, "{number}"),
            Value::Text(text) => write_text(f, text),
            Value::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Value::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a JSON text; none if it is not valid.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser { bytes: text.as_bytes(), position: 0 };
    let value = parser.value()?;
    parser.skip_spaces();
    (parser.position == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_spaces(&mut self) {
        while self.bytes.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_spaces();
        (self.bytes.get(self.position) == Some(&expected)).then(|| self.position += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let is_here = self.bytes[self.position..].starts_with(word.as_bytes());
        is_here.then(|| {
            self.position += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_spaces();
        match self.bytes.get(self.position)? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.text().map(Value::Text),
            b'[' => {
                self.take(b'[')?;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Value::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Value::List(items));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.take(b'{')?;
                let mut fields = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Value::Object(fields));
                }
                loop {
                    self.skip_spaces();
                    let name = self.text()?;
                    self.take(b':')?;
                    fields.insert(name, self.value()?);
                    if self.take(b'}').is_some() {
                        return Some(Value::Object(fields));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let start = self.position;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.position).is_some_and(is_part) {
                    self.position += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.position)?;
                    self.position += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let mut buffer = [0; 4];
                            let character = char::from_u32(code)?;
                            bytes.extend(character.encode_utf8(&mut buffer).bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
