//! The pages against the code that they describe.
//!
//! `UPDATE_PAGES=1 cargo test --test pages` writes the tables anew.

use std::{
    collections::BTreeSet,
    fmt::Write,
    fs,
    path::PathBuf,
    sync::{Mutex, PoisonError},
};

use clap::Parser;
use lavenderplank::{
    base::ErrorKind,
    cmd::Cli,
    event_log::EventKind as EntryEvent,
    metrics::{EntryMetrics, Metric, MetricKind},
    timeline::EventKind,
};
use strum::IntoEnumIterator;

/// Two tests must not write one page at the same time.
static WRITING: Mutex<()> = Mutex::new(());

fn page(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs").join(name)
}

fn kebab(kind: ErrorKind) -> String {
    serde_json::to_string(&kind).expect("a kind is text").trim_matches('"').to_owned()
}

/// Holds the part between the markers against `table`, or writes it.
fn check(file: &str, marker: &str, table: &str) {
    let _guard = WRITING.lock().unwrap_or_else(PoisonError::into_inner);
    let path = page(file);
    let text = fs::read_to_string(&path).expect("the page is there");
    let (begin, end) = (format!("<!-- {marker}: begin -->\n"), format!("<!-- {marker}: end -->"));
    let (head, rest) = text.split_once(&begin).unwrap_or_else(|| panic!("{file} lacks {begin}"));
    let (found, tail) = rest.split_once(&end).unwrap_or_else(|| panic!("{file} lacks {end}"));
    if std::env::var_os("UPDATE_PAGES").is_some() {
        let text = format!("{head}{begin}{table}{end}{tail}");
        return fs::write(&path, text).expect("the page can be written");
    }
    assert_eq!(found, table, "{file}: run `UPDATE_PAGES=1 cargo test --test pages`");
}

#[test]
fn every_refusal_stands_in_the_page() {
    let mut table = String::from(
        "\n| Kind | Status | Ran | Resend | Retry-After, s | Meaning |\n\
         | --- | ---: | --- | --- | ---: | --- |\n",
    );
    for kind in ErrorKind::ALL {
        let row = kind.response();
        let after = row.retry_after.map_or("-".to_owned(), |after| after.as_secs().to_string());
        let (status, ran, resend) = (row.status, row.ran, row.resend.as_str());
        let name = kebab(kind);
        writeln!(table, "| `{name}` | {status} | {ran} | {resend} | {after} | {kind} |").unwrap();
    }
    check("OPERATIONS.md", "refusals", &(table + "\n"));
}

#[test]
fn every_metric_stands_in_the_page() {
    let mut table = String::from("\n| Name | Shape | Meaning |\n| --- | --- | --- |\n");
    for metric in Metric::ALL {
        let shape = match metric.kind() {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
            MetricKind::Timing => "timing, ms",
        };
        writeln!(table, "| `{}` | {shape} | {} |", metric.name(), metric.doc()).unwrap();
    }
    check("OPERATIONS.md", "metrics", &(table + "\n"));
}

#[test]
fn every_kind_of_event_stands_in_the_page() {
    let names = EventKind::NAMES.map(|name| format!("`{name}`")).join(", ");
    check("OPERATIONS.md", "events", &format!("\n{names}.\n\n"));
}

#[test]
fn every_kind_of_entry_event_stands_in_the_page() {
    let mut table = String::from("\n| Event | Meaning |\n| --- | --- |\n");
    for kind in EntryEvent::iter() {
        writeln!(table, "| `{}` | {} |", kind.name(), kind.doc()).unwrap();
    }
    check("OPERATIONS.md", "entry-events", &(table + "\n"));
}

/// Every metric that a host serves stands in the page, and the page names no other.
#[test]
fn every_metric_of_an_entry_host_stands_in_the_page() {
    let metrics = EntryMetrics::default();
    let served: BTreeSet<String> = metrics.names().iter().map(|name| (*name).to_owned()).collect();
    let page = fs::read_to_string(page("OPERATIONS.md")).unwrap();
    let (_, rest) = page.split_once("## Metrics of an entry host").unwrap();
    let (section, _) = rest.split_once("\n## ").unwrap();
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    let names = rows.filter_map(|row| row.split('|').nth(1));
    let named = names.flat_map(|cell| cell.split('`').skip(1).step_by(2));
    let named: BTreeSet<String> =
        named.map(|name| name.trim_end_matches("_total").to_owned()).collect();
    assert_eq!(served, named);
}

// An operator copies a line from the page in the middle of an incident; it must at least be one
// that this release understands.
#[test]
fn commands_of_the_page_are_understood() {
    let text = fs::read_to_string(page("OPERATIONS.md")).unwrap();
    let blocks = text.split("```sh\n").skip(1).filter_map(|rest| rest.split("```").next());
    let lines = blocks.flat_map(str::lines).filter(|line| line.starts_with("lavenderplank "));
    let mut count = 0;
    for line in lines {
        let command = line.split(" #").next().unwrap_or_default();
        let key = ["--manifest-key", &"0".repeat(64)].map(str::to_owned);
        let more = if command.contains(" apply ") { &key[..] } else { &[] };
        let words = command.split_whitespace().map(str::to_owned).chain(more.iter().cloned());
        let parsed = Cli::try_parse_from(words);
        assert!(parsed.is_ok(), "{line}: {}", parsed.unwrap_err());
        count += 1;
    }
    assert!(5 <= count, "only {count} commands were found");
}

// An alarm that names a metric, an event or a refusal which no longer exists sends an operator
// looking for a sign that never comes.
#[test]
fn alarms_name_what_exists() {
    let text = fs::read_to_string(page("OPERATIONS.md")).unwrap();
    let (_, rest) = text.split_once("## Alarms").unwrap();
    let (alarms, _) = rest.split_once("\n## ").unwrap();
    let known = |name: &str| {
        Metric::ALL.iter().any(|metric| metric.name() == name)
            || EventKind::NAMES.contains(&name)
            || ErrorKind::ALL.iter().any(|kind| kebab(*kind) == name)
    };
    let signs = alarms.lines().filter_map(|line| line.split('|').nth(2));
    let names = signs.flat_map(|sign| sign.split('`').skip(1).step_by(2));
    let plain = ["done", "lost"];
    for name in names.filter(|name| !plain.contains(name)) {
        assert!(known(name), "the page names `{name}`");
    }
}
