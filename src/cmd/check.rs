//! `check`: settings and manifests, before anything uses them.

use std::path::{Path, PathBuf};

use serde::de::IgnoredAny;

use super::{Exit, Result, output};
use crate::{
    entry::{Deployment, EntrySettings, PartSettings, PartState, Parts},
    manifest::Manifest,
    prelude::*,
    settings::Settings,
    yaml::{self, MAX_FILE_BYTES, Problem},
};

/// Checks settings of hosts and manifests; tells which by their fields.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  lavenderplank check examples/himalaya-tara/manifest.yaml")]
pub struct Args {
    /// Settings or manifests in YAML.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Print the problems as JSON.
    #[arg(long)]
    json: bool,
}

/// The fields that tell the kinds of files from each other.
#[derive(Deserialize)]
struct Kind {
    /// Only an entry host's settings have it.
    listen: Option<IgnoredAny>,
    regions: Option<IgnoredAny>,
    sequence: Option<IgnoredAny>,
    services: Option<IgnoredAny>,
}

/// Prints every problem; bad input if there is one.
pub fn run(args: Args) -> Result {
    let mut problems = Vec::new();
    for path in &args.files {
        match check(path) {
            Ok(summary) if !args.json => output::line(summary)?,
            Ok(_) => {}
            Err(found) => problems.extend(found),
        }
    }
    if args.json {
        output::json(&problems)?;
    } else {
        for problem in &problems {
            output::complaint(problem)?;
        }
    }
    Ok(if problems.is_empty() { Exit::Done } else { Exit::BadInput })
}

/// The optional parts, with the reason of each, where `auto` leaves them out and where it does not.
fn describe_parts(settings: &PartSettings) -> String {
    let busy = Deployment { region_hosts: usize::MAX, shortest_objective: Some(Duration::ZERO) };
    let (few, many) = (Parts::new(settings, Deployment::default()), Parts::new(settings, busy));
    let describe = |((name, few), (_, many)): ((&str, PartState), (&str, PartState))| {
        let word = match (few.is_on, many.is_on) {
            (true, true) => "on",
            (false, true) => "on with six hosts or more and an objective of 500 ms or less",
            _ => "off",
        };
        let reason: &str = many.reason.into();
        format!("\n  {name}: {word} ({reason})")
    };
    few.iter().zip(many.iter()).map(describe).collect()
}

fn check(path: &Path) -> std::result::Result<String, Vec<Problem>> {
    let file = path.display().to_string();
    let text = yaml::read_file(path, MAX_FILE_BYTES).map_err(|problem| vec![problem])?;
    if serde_norway::from_str::<Kind>(&text).is_ok_and(|kind| kind.listen.is_some()) {
        let settings: EntrySettings =
            yaml::decode(&text, &file).map_err(|problem| vec![problem])?;
        let parts = describe_parts(&settings.parts);
        return Ok(format!("{file}: settings of entry host {}{parts}", settings.host));
    }
    let is_manifest = serde_norway::from_str::<Kind>(&text).is_ok_and(|kind| {
        kind.regions.is_some() || kind.sequence.is_some() || kind.services.is_some()
    });
    if !is_manifest {
        let settings = Settings::parse_all(&text, &file)?;
        return Ok(format!(
            "{file}: settings of host {}, member {}, zone {}",
            settings.host, settings.member, settings.zone
        ));
    }
    let manifest = Manifest::parse(&text, &file)?;
    let targets: usize = manifest.services.iter().map(|service| service.targets.len()).sum();
    Ok(format!(
        "{file}: manifest {} of member {}, {} services, {targets} targets",
        manifest.sequence,
        manifest.member,
        manifest.services.len()
    ))
}
