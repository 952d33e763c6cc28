//! Samples of the text in which hosts serve their metrics.

use crate::prelude::*;

/// One line of the text.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Sample<'a> {
    pub labels: BTreeMap<&'a str, Arc<str>>,
    pub name: &'a str,
    pub value: f64,
}

impl Sample<'_> {
    /// The value of a label.
    pub fn label(&self, name: &str) -> Option<Arc<str>> {
        self.labels.get(name).cloned()
    }
}

/// Parses a line; `None` for comments, empty lines and what is not a sample.
pub(super) fn parse_line(line: &str) -> Option<Sample<'_>> {
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return None;
    }
    let end = line.find(['{', ' ', '\t'])?;
    let (name, rest) = line.split_at(end);
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (BTreeMap::new(), rest),
    };
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some(Sample { labels, name, value })
}

/// Parses labels up to the closing brace, and returns what follows it.
fn parse_labels(mut rest: &str) -> Option<(BTreeMap<&str, Arc<str>>, &str)> {
    let mut labels = BTreeMap::new();
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(rest) = rest.strip_prefix('}') {
            return Some((labels, rest));
        }
        let (name, after) = rest.split_once("=\"")?;
        let (value, after) = parse_value(after)?;
        labels.insert(name.trim(), value);
        rest = after;
    }
}

/// Parses the value of a label up to its closing quote, and returns what follows it.
fn parse_value(text: &str) -> Option<(Arc<str>, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, char)) = chars.next() {
        match char {
            '"' => return Some((value.into(), &text[at + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            char => value.push(char),
        }
    }
    None
}
