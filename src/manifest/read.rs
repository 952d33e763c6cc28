//! From the pipeline's YAML to a checked manifest.

use super::{Manifest, Problem, check};
use crate::yaml::{self, Finding};

impl Manifest {
    /// Decodes and checks a manifest; every problem is returned, at least one.
    pub fn parse(text: &str, file: &str) -> Result<Self, Vec<Problem>> {
        let manifest: Self = yaml::decode(text, file).map_err(|problem| vec![problem])?;
        let findings = check::check(&manifest);
        if findings.is_empty() {
            return Ok(manifest);
        }
        Err(yaml::located(&findings, text, file))
    }

    /// Every problem of a manifest that did not come from a text; without lines.
    pub fn check(&self) -> Vec<Problem> {
        let unplaced = |finding: Finding| finding.unplaced("manifest");
        check::check(self).into_iter().map(unplaced).collect()
    }
}
