//! Root causes of library errors.

use std::{error::Error, sync::Arc};

/// Returns the text of the innermost source of an error. The outer errors of libraries are often
/// too general to be of use.
pub fn root_cause(error: &dyn Error) -> Arc<str> {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string().into()
}

/// Formats an error together with its root cause, such as `connection error: connection reset`.
pub fn with_root_cause(error: &dyn Error) -> Arc<str> {
    let (outer, cause) = (error.to_string(), root_cause(error));
    if outer == *cause { cause } else { format!("{outer}: {cause}").into() }
}
