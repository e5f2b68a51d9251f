//! Just enough JSON for the bodies of the store's calls.

pub enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => rows.iter().find(|(key, _)| key == name).map_or(&NULL, |row| &row.1),
            _ => &NULL,
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn rows(&self) -> &[Json] {
        match self {
            Json::List(rows) => rows,
            _ => &[],
        }
    }
}

pub fn escape(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"")
}

fn skip(bytes: &[u8], at: &mut usize) -> Option<u8> {
    while bytes.get(*at)?.is_ascii_whitespace() || matches!(bytes[*at], b',' | b':') {
        *at += 1;
    }
    bytes.get(*at).copied()
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    match skip(bytes, at)? {
        b'"' => text(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut rows = Vec::new();
            while skip(bytes, at)? != b']' {
                rows.push(value(bytes, at)?);
            }
            *at += 1;
            Some(Json::List(rows))
        }
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            while skip(bytes, at)? != b'}' {
                let key = text(bytes, at)?;
                rows.push((key, value(bytes, at)?));
            }
            *at += 1;
            Some(Json::Table(rows))
        }
        _ => {
            let from = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]}".contains(byte)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[from..*at]).ok()?.trim();
            Some(word.parse().map_or(Json::Null, Json::Number))
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                out.push(*bytes.get(*at)?);
            }
            byte => out.push(byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(out).ok()
}
