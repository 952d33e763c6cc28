//! `lavenderplank why`: the story of one request, from the hosts' logs.

use std::path::PathBuf;

use crate::{
    cmd::{Exit, Result, output},
    why::{RequestHistory, Verdict, find_request, render_text},
};

/// Tells from the hosts' logs what became of a request, and why.
///
/// Example: lavenderplank why 9c41d07be2a35f68 --logs edge-1.log edge-2.log
#[derive(Debug, clap::Args)]
pub struct Args {
    /// The caller's id of the request.
    id: String,
    /// Prints the story as JSON.
    #[arg(long)]
    json: bool,
    /// Files with the hosts' standard output, one or more.
    #[arg(long, num_args = 1.., required = true, value_name = "FILE")]
    logs: Vec<PathBuf>,
}

/// Prints the story; ends with 1 where the logs do not name the request.
pub fn run(args: Args) -> Result {
    let found = match find_request(&args.id, &args.logs) {
        Ok(found) => found,
        Err(problem) => {
            output::complaint(problem)?;
            return Ok(Exit::BadInput);
        }
    };
    let history = RequestHistory::new(&args.id, &found);
    match args.json {
        true => output::json(&history)?,
        false => output::line(render_text(&history).trim_end())?,
    }
    if found.total_lines == found.unparsed && 0 < found.total_lines {
        output::complaint("none of the lines is an event; name the hosts' standard output")?;
        return Ok(Exit::BadInput);
    }
    Ok(if history.cause.verdict == Verdict::NotFound { Exit::Failed } else { Exit::Done })
}
