//! The part of a page that a measurement writes.

/// Line before the part of the page that the command writes.
const BEGIN: &str = "<!-- measured: begin -->";

/// Line after it.
const END: &str = "<!-- measured: end -->";

/// The page can't take the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the page lacks the lines `{BEGIN}` and `{END}`; put them where the tables belong")]
pub struct PageError;

/// The page with the part between the markers replaced.
pub fn splice(page: &str, markdown: &str) -> Result<String, PageError> {
    let (head, rest) = page.split_once(BEGIN).ok_or(PageError)?;
    let (_, tail) = rest.split_once(END).ok_or(PageError)?;
    Ok(format!("{head}{BEGIN}\n\n{markdown}\n{END}{tail}"))
}
