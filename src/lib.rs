//! Traffic routing for the members of a consortium that share one platform.
//!
//! The code has two separate layers: state machines that make all decisions, without I/O or a
//! clock, and the I/O layer (sockets, timers, actors) that feeds them with events and carries out
//! their actions. `docs/DESIGN.md` has the module map.

pub mod admission;
pub mod base;
pub mod cmd;
pub mod daemon;
pub mod demo;
pub mod drain;
pub mod entry;
pub mod event_log;
pub mod fleet;
pub mod forward;
pub mod headroom;
pub mod ingress;
pub mod ledger;
pub mod logging;
pub mod lookup;
pub mod manifest;
pub mod measure;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod prelude;
pub mod quarantine;
pub mod quota;
pub mod reservation;
mod response_framing;
pub mod routing;
pub mod selection;
pub mod settings;
pub mod shift;
pub mod soak;
pub mod standin;
pub mod store;
pub mod tenure;
pub mod timeline;
pub mod timer;
pub mod trace;
pub mod view;
pub mod why;
pub mod yaml;

/// Parses the command line, runs the subcommand and returns its exit code.
pub fn run() -> std::process::ExitCode {
    let cli = match <cmd::Cli as clap::Parser>::try_parse() {
        Ok(cli) => cli,
        Err(error) => error.exit(),
    };
    match cli.run() {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("error: {report:#}");
            cmd::Exit::Failed.into()
        }
    }
}
