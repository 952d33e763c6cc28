//! Why a request would go where it goes.

use crate::prelude::*;

/// The steps of one decision, in order, and its end.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// Where it would go; `None` if it would be refused.
    #[serde(default)]
    pub target: Option<TargetId>,
    pub steps: Vec<Step>,
}

/// One step of a decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// What was decided, in one line.
    pub finding: Arc<str>,
    /// What was asked, such as `home`, `hosts`, `targets`, `cap`.
    pub name: Arc<str>,
}

impl Explanation {
    /// Adds a step.
    pub fn step(&mut self, name: &str, finding: impl Into<Arc<str>>) {
        self.steps.push(Step { finding: finding.into(), name: name.into() });
    }
}
