//! Lines on which the fields of a JSON text stand.

use std::collections::HashMap;

/// Line of each field and list entry, by path such as `services[2].queue`.
#[derive(Debug, Default)]
pub struct FieldLines(HashMap<String, usize>);

impl FieldLines {
    /// Scans `text`, which was parsed without an error before.
    pub fn scan(text: &[u8]) -> Self {
        let mut scanner = Scanner {
            text,
            position: 0,
            line: 1,
            lines: HashMap::new(),
        };
        scanner.value("");
        Self(scanner.lines)
    }

    /// Returns the line of `path`, or of the nearest enclosing field.
    pub fn line(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(line) = self.0.get(path) {
                return Some(*line);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }
}

struct Scanner<'a> {
    text: &'a [u8],
    position: usize,
    line: usize,
    lines: HashMap<String, usize>,
}

impl Scanner<'_> {
    fn peek(&self) -> Option<u8> {
        self.text.get(self.position).copied()
    }

    fn bump(&mut self) {
        self.line += usize::from(self.peek() == Some(b'\n'));
        self.position += 1;
    }

    /// Skips white space and the separators between values.
    fn skip_separators(&mut self) {
        while self
            .peek()
            .is_some_and(|byte| byte.is_ascii_whitespace() || b",:".contains(&byte))
        {
            self.bump();
        }
    }

    fn value(&mut self, path: &str) {
        self.skip_separators();
        self.lines.insert(path.to_owned(), self.line);
        match self.peek() {
            Some(b'{') => self.object(path),
            Some(b'[') => self.list(path),
            Some(b'"') => drop(self.string()),
            _ => self.scalar(),
        }
    }

    fn object(&mut self, path: &str) {
        self.bump();
        loop {
            self.skip_separators();
            if self.peek() != Some(b'"') {
                return self.bump();
            }
            let key = self.string();
            let child = if path.is_empty() {
                key
            } else {
                format!("{path}.{key}")
            };
            self.value(&child);
        }
    }

    fn list(&mut self, path: &str) {
        self.bump();
        for index in 0.. {
            self.skip_separators();
            if matches!(self.peek(), Some(b']') | None) {
                return self.bump();
            }
            self.value(&format!("{path}[{index}]"));
        }
    }

    fn string(&mut self) -> String {
        self.bump();
        let start = self.position;
        while let Some(byte) = self.peek().filter(|byte| *byte != b'"') {
            if byte == b'\\' {
                self.bump();
            }
            self.bump();
        }
        let end = self.position.min(self.text.len());
        self.bump();
        String::from_utf8_lossy(&self.text[start..end]).into_owned()
    }

    fn scalar(&mut self) {
        while self
            .peek()
            .is_some_and(|byte| !b",]}".contains(&byte) && !byte.is_ascii_whitespace())
        {
            self.bump();
        }
    }
}
