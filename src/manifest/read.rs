//! Parses and checks a manifest's YAML.

use super::{ClientBlock, Manifest, Problem, check};
use crate::yaml::{self, Finding};

impl Manifest {
    /// Decodes and checks a manifest. On error, returns every problem found, at least one.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Problem>> {
        let manifest: Self = yaml::decode(text, file).map_err(|problem| vec![problem])?;
        let findings = check::check(&manifest);
        if findings.is_empty() {
            return Ok(manifest);
        }
        Err(yaml::locate_findings(&findings, text, file))
    }

    /// Checks a manifest whose text is not at hand; the problems have no line numbers.
    pub fn check(&self) -> Vec<Problem> {
        without_lines(check::check(self))
    }

    /// Like `check`, but checks `blocks` in place of the blocks in the manifest's text.
    pub(super) fn check_with(&self, blocks: &[ClientBlock]) -> Vec<Problem> {
        without_lines(check::check_with(self, blocks))
    }
}

fn without_lines(findings: Vec<Finding>) -> Vec<Problem> {
    findings.into_iter().map(|finding| finding.to_problem("manifest")).collect()
}
