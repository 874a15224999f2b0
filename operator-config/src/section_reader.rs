//! A table of the file, whose keys are taken out one by one: what is left was not known.

use crate::ConfigurationError;
use serde::Deserialize;
use std::cell::RefCell;
use std::rc::Rc;
use toml::de::{DeTable, DeValue, ValueDeserializer};
use toml::Spanned;

/// Where each line begins, and what was found wrong so far.
struct Found {
    lines: Vec<usize>,
    faults: RefCell<Vec<ConfigurationError>>,
}

impl Found {
    fn line(&self, at: usize) -> usize {
        self.lines.partition_point(|begins| *begins <= at).max(1)
    }

    fn add(&self, at: usize, key: String, what: String) {
        let line = self.line(at);
        self.faults
            .borrow_mut()
            .push(ConfigurationError { line, key, what });
    }
}

pub struct Section<'i> {
    found: Rc<Found>,
    /// Its name and a dot; nothing for the whole file.
    path: String,
    at: usize,
    table: DeTable<'i>,
    known: Vec<&'static str>,
}

/// Reads a whole text by what takes its keys. Errors: all faults, by line.
pub fn read<T>(
    text: &str,
    by: impl FnOnce(&mut Section) -> Option<T>,
) -> Result<T, Vec<ConfigurationError>> {
    let begins = text
        .bytes()
        .enumerate()
        .filter(|(_, byte)| *byte == b'\n')
        .map(|(at, _)| at + 1);
    let found = Rc::new(Found {
        lines: [0].into_iter().chain(begins).collect(),
        faults: RefCell::default(),
    });
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        found.add(
            error.span().map_or(0, |span| span.start),
            String::new(),
            error.message().to_string(),
        );
    }
    let table = table.into_inner();
    let whole = Section {
        found: Rc::clone(&found),
        path: String::new(),
        at: 0,
        table,
        known: Vec::new(),
    };
    let read = whole.all(by);
    let mut faults = found.faults.take();
    faults.sort_by_key(|fault| fault.line);
    match read {
        Some(read) if faults.is_empty() => Ok(read),
        _ => Err(faults),
    }
}

impl<'i> Section<'i> {
    /// Has its keys taken; those left are faults.
    pub fn all<T>(mut self, by: impl FnOnce(&mut Self) -> Option<T>) -> Option<T> {
        let read = by(&mut self);
        for key in self.table.keys() {
            // As far off as a slip of the hand: a third of its letters.
            let near = |known: &&&str| {
                strsim::damerau_levenshtein(known, key.get_ref()) * 3 <= known.len().max(6)
            };
            let nearest = self.known.iter().filter(near);
            let nearest =
                nearest.min_by_key(|known| strsim::damerau_levenshtein(known, key.get_ref()));
            let what = nearest.map_or_else(
                || format!("is not known here; known are {}", self.known.join(", ")),
                |known| format!("is not known; {known} is meant?"),
            );
            self.found.add(
                key.span().start,
                format!("{}{}", self.path, key.get_ref()),
                what,
            );
        }
        read
    }

    fn out(&mut self, key: &'static str) -> Option<Spanned<DeValue<'i>>> {
        self.known.push(key);
        self.table.remove(key)
    }

    /// What a key says; none where it is absent, or is a fault, which is noted.
    pub fn may<T: for<'de> Deserialize<'de>>(&mut self, key: &'static str) -> Option<T> {
        let value = self.out(key)?;
        let at = value.span().start;
        T::deserialize(ValueDeserializer::from(value))
            .map_err(|e| {
                let at = e.span().map_or(at, |span| span.start);
                self.found
                    .add(at, format!("{}{key}", self.path), e.message().to_string());
            })
            .ok()
    }

    /// The same with its place, for a check that a type does not make.
    pub fn may_at<T: for<'de> Deserialize<'de>>(
        &mut self,
        key: &'static str,
    ) -> Option<(T, usize)> {
        let at = self
            .table
            .get(key)
            .map_or(self.at, |value| value.span().start);
        Some((self.may(key)?, at))
    }

    /// The same of a key that must be there.
    pub fn must<T: for<'de> Deserialize<'de>>(&mut self, key: &'static str) -> Option<(T, usize)> {
        if !self.table.contains_key(key) {
            self.found
                .add(self.at, format!("{}{key}", self.path), "is missing".into());
        }
        self.may_at(key)
    }

    /// Notes a fault of a key at a place.
    pub fn fault(&self, at: usize, key: &str, what: impl Into<String>) {
        self.found
            .add(at, format!("{}{key}", self.path), what.into());
    }

    /// A table in it, if it is there.
    pub fn section(&mut self, key: &'static str) -> Option<Section<'i>> {
        let value = self.out(key)?;
        let at = value.span().start;
        match value.into_inner() {
            DeValue::Table(table) => Some(Section {
                found: Rc::clone(&self.found),
                path: format!("{}{key}.", self.path),
                at,
                table,
                known: Vec::new(),
            }),
            other => {
                self.fault(at, key, format!("is a section, not {}", other.type_str()));
                None
            }
        }
    }
}
