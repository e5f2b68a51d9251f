//! A small JSON reader for the calls that the stand-in store receives.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Json {
        let mut reader = Reader { bytes, at: 0 };
        reader.value().unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(field, _)| field == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn rows(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.skip(4, Json::Bool),
            b'f' => self.skip(5, Json::Bool),
            b'n' => self.skip(4, Json::Null),
            _ => self.number(),
        }
    }

    fn skip(&mut self, count: usize, value: Json) -> Option<Json> {
        self.at += count;
        Some(value)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|b| b"+-.eE0123456789".contains(b))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    text.push(*self.bytes.get(self.at + 1)?);
                    self.at += 2;
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut rows = Vec::new();
        loop {
            match self.peek()? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(rows));
                }
                b',' => self.at += 1,
                _ => rows.push(self.value()?),
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut fields = Vec::new();
        loop {
            match self.peek()? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.text()?;
                    self.peek()?;
                    self.at += 1;
                    fields.push((name, self.value()?));
                }
            }
        }
    }
}
