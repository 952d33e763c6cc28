//! From the pipeline's YAML to a checked manifest.

use super::{ClientBlock, Manifest, Problem, check};
use crate::yaml::{self, Finding};

impl Manifest {
    /// Decodes and checks a manifest; every problem is returned, at least one.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Problem>> {
        let manifest: Self = yaml::decode(text, file).map_err(|problem| vec![problem])?;
        let findings = check::check(&manifest);
        if findings.is_empty() {
            return Ok(manifest);
        }
        Err(yaml::locate_findings(&findings, text, file))
    }

    /// Every problem of a manifest that did not come from a text; without lines.
    pub fn check(&self) -> Vec<Problem> {
        unplaced(check::check(self))
    }

    /// As `check`, with `blocks` in place of the listed ones.
    pub(super) fn check_with(&self, blocks: &[ClientBlock]) -> Vec<Problem> {
        unplaced(check::check_with(self, blocks))
    }
}

fn unplaced(findings: Vec<Finding>) -> Vec<Problem> {
    findings.into_iter().map(|finding| finding.to_problem("manifest")).collect()
}
