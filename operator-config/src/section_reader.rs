//! Reads a table of the file by removing known keys; the remaining keys are unknown.

use crate::{ConfigurationError, ErrorKind};
use serde::Deserialize;
use std::cell::RefCell;
use std::rc::Rc;
use toml::de::{DeTable, DeValue, ValueDeserializer};
use toml::Spanned;

/// Shorter known keys are compared as if they had this length.
const MIN_COMPARED_LENGTH: usize = 6;
/// An unknown key counts as a misspelling of a known key if it has at most one edit per this many letters.
const LETTERS_PER_EDIT: usize = 3;

/// Collects errors, with their line numbers.
struct ErrorCollector {
    /// The offset of the start of each line.
    line_starts: Vec<usize>,
    errors: RefCell<Vec<ConfigurationError>>,
}

impl ErrorCollector {
    fn new(text: &str) -> Self {
        let bytes = text.bytes().enumerate();
        let line_starts = bytes
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(offset, _)| offset + 1);
        ErrorCollector {
            line_starts: [0].into_iter().chain(line_starts).collect(),
            errors: RefCell::default(),
        }
    }

    fn add(&self, offset: usize, key: String, kind: ErrorKind) {
        let lines_started = self.line_starts.partition_point(|start| *start <= offset);
        let line = lines_started.max(1);
        let mut errors = self.errors.borrow_mut();
        errors.push(ConfigurationError { line, key, kind });
    }

    /// Removes all errors, sorted by line and then in the order in which they were added.
    fn take_sorted(&self) -> Vec<ConfigurationError> {
        let mut errors = self.errors.take();
        errors.sort_by_key(|error| error.line);
        errors
    }
}

/// A value and its offset in the text.
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) offset: usize,
}

/// A section of the file, or the whole file.
pub(crate) struct Section<'i> {
    collector: Rc<ErrorCollector>,
    /// Empty for the whole file.
    name: &'static str,
    offset: usize,
    table: DeTable<'i>,
    known: Vec<&'static str>,
    /// Deprecated keys: suggested for misspelled keys, but not listed as known.
    deprecated: Vec<&'static str>,
}

/// Parses a file; `read` reads its top-level keys. On failure returns all errors, sorted by line.
pub(crate) fn parse<T>(
    text: &str,
    read: impl FnOnce(&mut Section) -> Option<T>,
) -> Result<T, Vec<ConfigurationError>> {
    let collector = Rc::new(ErrorCollector::new(text));
    let (table, syntax_errors) = DeTable::parse_recoverable(text);
    for error in &syntax_errors {
        let offset = error.span().map_or(0, |span| span.start);
        let message = error.message().to_string();
        collector.add(offset, String::new(), ErrorKind::Syntax { message });
    }
    let document = Section::new(Rc::clone(&collector), "", 0, table.into_inner());
    let value = document.read_all_keys(read);
    let errors = collector.take_sorted();
    match value {
        Some(value) if errors.is_empty() => Ok(value),
        _ => Err(errors),
    }
}

impl<'i> Section<'i> {
    fn new(
        collector: Rc<ErrorCollector>,
        name: &'static str,
        offset: usize,
        table: DeTable<'i>,
    ) -> Self {
        Section {
            collector,
            name,
            offset,
            table,
            known: Vec::new(),
            deprecated: Vec::new(),
        }
    }

    /// The section's name as written in the file.
    pub(crate) fn name(&self) -> &'static str {
        self.name
    }

    /// Reads the keys with `read`, and reports the remaining ones as unknown.
    pub(crate) fn read_all_keys<T>(
        mut self,
        read: impl FnOnce(&mut Self) -> Option<T>,
    ) -> Option<T> {
        let value = read(&mut self);
        for key in self.table.keys() {
            let name = key.get_ref();
            self.error(key.span().start, name, self.unknown_key(name));
        }
        value
    }

    fn unknown_key(&self, name: &str) -> ErrorKind {
        let distance = |known: &str| strsim::damerau_levenshtein(known, name);
        let is_near = |known: &&&'static str| {
            distance(known) * LETTERS_PER_EDIT <= known.len().max(MIN_COMPARED_LENGTH)
        };
        let candidates = self.known.iter().chain(&self.deprecated).filter(is_near);
        match candidates.min_by_key(|known| distance(known)) {
            Some(nearest) => ErrorKind::MisspelledKey { nearest },
            None => ErrorKind::UnknownKey {
                known: self.known.clone(),
            },
        }
    }

    /// Reports an error in a key at an offset of the text.
    pub(crate) fn error(&self, offset: usize, key: &str, kind: ErrorKind) {
        let path = if self.name.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.name)
        };
        self.collector.add(offset, path, kind);
    }

    fn take(&mut self, key: &'static str) -> Option<Spanned<DeValue<'i>>> {
        self.known.push(key);
        self.table.remove(key)
    }

    /// The value of a key; `None` if it is missing or invalid. Reports an invalid value.
    pub(crate) fn optional<T>(&mut self, key: &'static str) -> Option<Located<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        let value = self.take(key)?;
        let offset = value.span().start;
        match T::deserialize(ValueDeserializer::from(value)) {
            Ok(value) => Some(Located { value, offset }),
            Err(error) => {
                let offset = error.span().map_or(offset, |span| span.start);
                let message = error.message().to_string();
                self.error(offset, key, ErrorKind::InvalidValue { message });
                None
            }
        }
    }

    /// The value of a key; `None` if it is missing or invalid. Reports both.
    pub(crate) fn required<T>(&mut self, key: &'static str) -> Option<Located<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        if !self.table.contains_key(key) {
            self.error(self.offset, key, ErrorKind::Missing);
        }
        self.optional(key)
    }

    /// A top-level section under its name or its deprecated name; `None` if it is missing.
    pub(crate) fn renamed_section(
        &mut self,
        name: &'static str,
        deprecated_name: &'static str,
    ) -> Option<Section<'i>> {
        let has_name = self.table.contains_key(name);
        if let Some((key, _)) = self.table.get_key_value(deprecated_name) {
            if !has_name {
                return self.section(deprecated_name);
            }
            let offset = key.span().start;
            self.table.remove(deprecated_name);
            self.error(offset, deprecated_name, ErrorKind::BothNames { name });
        }
        if !has_name {
            self.deprecated.push(deprecated_name);
        }
        self.section(name)
    }

    fn section(&mut self, name: &'static str) -> Option<Section<'i>> {
        let value = self.take(name)?;
        let offset = value.span().start;
        match value.into_inner() {
            DeValue::Table(table) => Some(Section::new(
                Rc::clone(&self.collector),
                name,
                offset,
                table,
            )),
            other => {
                let found = other.type_str();
                self.error(offset, name, ErrorKind::NotASection { found });
                None
            }
        }
    }
}
