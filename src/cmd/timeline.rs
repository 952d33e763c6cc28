//! `timeline`: the events of all hosts in one causal order.

use std::{
    fs::File,
    io::{self, BufReader, Write},
    path::{Path, PathBuf},
};

use eyre::WrapErr;

use super::{Exit, Result};
use crate::{
    prelude::*,
    timeline::{Event, Filter, Format, merge, read_lines, write},
};

/// Gathers the events of hosts, or reads recorded ones, and shows them in causal order.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank timeline --file events.jsonl --kind refused")]
pub struct Args {
    /// Read events that were written with `--format jsonl`.
    #[arg(long, value_name = "FILE", required = true)]
    file: Vec<PathBuf>,
    /// How to write them.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
    /// Write to this file instead of standard output.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    #[command(flatten)]
    wanted: Wanted,
}

/// Which events are wanted.
#[derive(Debug, clap::Args)]
struct Wanted {
    /// Only this kind of event.
    #[arg(long, value_parser = kind)]
    kind: Option<Arc<str>>,
    /// Only events of this member.
    #[arg(long)]
    member: Option<MemberId>,
    /// Only events of this request.
    #[arg(long)]
    request: Option<RequestId>,
    /// Only events about this target.
    #[arg(long)]
    target: Option<TargetId>,
}

impl Wanted {
    fn filter(&self) -> Filter {
        Filter {
            kind: self.kind.clone(),
            member: self.member.clone(),
            request: self.request.clone(),
            target: self.target.clone(),
            ..Filter::default()
        }
    }
}

/// Shows the events.
pub fn run(args: Args) -> Result {
    let filter = args.wanted.filter();
    let mut lists = Vec::new();
    for path in &args.file {
        match read(path) {
            Ok(events) => lists.push(events),
            Err(report) => {
                eprintln!("error: {report:#}");
                return Ok(Exit::BadInput);
            }
        }
    }
    let mut events = merge(lists);
    events.retain(|event| filter.accepts(event));
    let mut out = output(args.out.as_deref())?;
    write(args.format, &events, &mut out)?;
    out.flush()?;
    Ok(Exit::Done)
}

fn read(path: &Path) -> Result<Vec<Event>> {
    let name = path.display();
    let file = File::open(path).wrap_err_with(|| format!("{name} can't be opened"))?;
    read_lines(BufReader::new(file)).wrap_err_with(|| format!("{name} can't be used"))
}

fn output(path: Option<&Path>) -> Result<Box<dyn Write>> {
    let Some(path) = path else {
        return Ok(Box::new(io::stdout().lock()));
    };
    let file = File::create(path).wrap_err_with(|| format!("{} can't be made", path.display()))?;
    Ok(Box::new(io::BufWriter::new(file)))
}

fn kind(text: &str) -> Result<Arc<str>, String> {
    use crate::timeline::EventKind;
    if EventKind::NAMES.contains(&text) {
        return Ok(text.into());
    }
    Err(format!("no such kind; one of {}", EventKind::NAMES.join(", ")))
}
