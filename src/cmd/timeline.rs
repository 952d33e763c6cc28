//! `timeline`: the events of all hosts in one causal order.

use std::{
    fs::File,
    io::{self, BufReader, Write},
    path::{Path, PathBuf},
};

use eyre::WrapErr;

use super::{
    Exit, Result,
    connect::{block_on, operator_token},
    output,
};
use crate::{
    peer::PeerClient,
    prelude::*,
    timeline::{Event, EventKind, Filter, Format, Gatherer, merge, read_lines, write},
};

/// Gathers the events of hosts, or reads recorded ones, and shows them in causal order.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example: lavenderplank timeline --member agency --host 10.2.0.1:7000 \
                  --request r-17 --format html --out r-17.html")]
pub struct Args {
    /// Read events that were written with `--format jsonl`.
    #[arg(long, value_name = "FILE", required_unless_present = "host")]
    file: Vec<PathBuf>,
    /// Go on with new events until interrupted.
    #[arg(long, requires = "host")]
    follow: bool,
    /// How to write them.
    #[arg(long, value_enum, default_value_t)]
    format: Format,
    /// RPC addresses of hosts; those that they know are asked too.
    #[arg(long, value_name = "ADDR", conflicts_with = "file", requires = "member")]
    #[arg(value_delimiter = ',')]
    host: Vec<SocketAddr>,
    /// Ask only the given hosts.
    #[arg(long, requires = "host")]
    only: bool,
    /// Write to this file instead of standard output.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// File with the operators' token, unless LAVENDERPLANK_OPERATOR_TOKEN has it.
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
    #[command(flatten)]
    wanted: Wanted,
}

/// Which events are wanted.
#[derive(Debug, clap::Args)]
struct Wanted {
    /// Only events of the last so many seconds.
    #[arg(long, value_name = "SECONDS")]
    last: Option<u64>,
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
            from: self.last.map(crate::timeline::ago),
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
    if args.follow && !args.format.is_streaming() {
        output::complaint("error: --follow needs `--format text` or `--format jsonl`")?;
        return Ok(Exit::BadInput);
    }
    if args.host.is_empty() {
        return from_files(&args);
    }
    let token = match operator_token(args.token_file.as_deref()) {
        Ok(token) => token,
        Err(report) => {
            output::complaint(format!("error: {report:#}"))?;
            return Ok(Exit::BadInput);
        }
    };
    let member = args.wanted.member.clone().unwrap_or_default();
    let client = PeerClient::new(token, member);
    block_on(from_hosts(&args, client))
}

fn from_files(args: &Args) -> Result {
    let filter = args.wanted.filter();
    let mut lists = Vec::new();
    for path in &args.file {
        match read(path) {
            Ok(events) => lists.push(events),
            Err(report) => {
                output::complaint(format!("error: {report:#}"))?;
                return Ok(Exit::BadInput);
            }
        }
    }
    let mut events = merge(lists);
    events.retain(|event| filter.accepts(event));
    let mut out = open_output(args.out.as_deref())?;
    write(args.format, &events, &mut out)?;
    out.flush()?;
    Ok(Exit::Done)
}

/// Hosts that don't answer are named; the events of the others are shown all the same.
async fn from_hosts(args: &Args, client: PeerClient) -> Result {
    let mut out = open_output(args.out.as_deref())?;
    let mut gatherer = Gatherer::new(&args.host, args.wanted.filter());
    if !args.only {
        gatherer.discover(&client).await;
    }
    loop {
        let gathered = gatherer.gather(&client).await;
        for (host, error) in &gathered.silent {
            output::complaint(format!("warning: {host} did not answer: {error}"))?;
        }
        write(args.format, &gathered.events, &mut out)?;
        out.flush()?;
        if !args.follow {
            let answered = gathered.silent.len() < gatherer.hosts();
            return Ok(if answered { Exit::Done } else { Exit::Failed });
        }
        tokio::select! {
            () = tokio::time::sleep(Gatherer::PAUSE) => {}
            _ = tokio::signal::ctrl_c() => return Ok(Exit::Done),
        }
    }
}

fn read(path: &Path) -> Result<Vec<Event>> {
    let name = path.display();
    let file = File::open(path).wrap_err_with(|| format!("{name} can't be opened"))?;
    read_lines(BufReader::new(file)).wrap_err_with(|| format!("{name} can't be used"))
}

fn open_output(path: Option<&Path>) -> Result<Box<dyn Write>> {
    let Some(path) = path else {
        return Ok(Box::new(io::stdout().lock()));
    };
    let file = File::create(path).wrap_err_with(|| format!("{} can't be made", path.display()))?;
    Ok(Box::new(io::BufWriter::new(file)))
}

fn kind(text: &str) -> Result<Arc<str>, String> {
    if EventKind::NAMES.contains(&text) {
        return Ok(text.into());
    }
    Err(format!("no such kind; one of {}", EventKind::NAMES.join(", ")))
}
