//! Faults found in a text, each with its place.

use std::fmt;

use miette::Diagnostic;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;
use thiserror::Error;

/// One fault in a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Where it is, as a path of field names.
    pub path: String,
    /// Line of the place, from 1.
    pub line: usize,
    /// Column of the place, from 1, in characters.
    pub column: usize,
    /// Offset of the place, in bytes.
    pub offset_bytes: usize,
    /// Length of the place, in bytes.
    pub length_bytes: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            line,
            column,
            message,
            ..
        } = self;
        write!(f, "{line}:{column}: {path}: {message}")
    }
}

/// All faults of one text.
#[derive(Debug, Error)]
#[error("{} finding(s) in {}", self.list.len(), self.text.name())]
pub struct Findings {
    text: NamedSource<String>,
    list: Vec<Finding>,
}

impl Findings {
    pub(crate) fn new(name: &str, text: &str, list: Vec<Finding>) -> Self {
        Self {
            text: NamedSource::new(name, text.to_owned()),
            list,
        }
    }

    /// Returns the findings, in the order of the text.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }
}

impl Diagnostic for Findings {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.text)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let labels = self.list.iter().map(|finding| {
            let text = format!("{}: {}", finding.path, finding.message);
            LabeledSpan::new(Some(text), finding.offset_bytes, finding.length_bytes)
        });
        Some(Box::new(labels))
    }
}
