//! What an error of a library comes from.

use std::{error::Error, sync::Arc};

/// The innermost cause of an error: the outer ones say little.
pub fn root_cause(error: &dyn Error) -> Arc<str> {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string().into()
}

/// The error with its innermost cause, such as `connection error: connection reset`.
pub fn with_root_cause(error: &dyn Error) -> Arc<str> {
    let (outer, cause) = (error.to_string(), root_cause(error));
    if outer == *cause { cause } else { format!("{outer}: {cause}").into() }
}
