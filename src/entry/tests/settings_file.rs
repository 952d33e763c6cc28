//! Tests of changes to the settings file of a running host.

use std::{fs, path::PathBuf};

use assert_matches::assert_matches;

use crate::{
    entry::{SettingsChange, SettingsFile, reload_event},
    event_log::{Event, ReloadEnd},
    prelude::*,
};

struct TempFile(PathBuf);

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// The file changes without a signal, then becomes invalid, is removed and is restored. Each change
/// must be reported once, and errors must leave the current settings in force.
#[test]
fn each_change_of_the_file_is_reported_once() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/entry/host.yaml");
    let text = fs::read_to_string(example).expect("the example is there");
    let name = format!("lavenderplank-settings-{}.yaml", std::process::id());
    let path = TempFile(std::env::temp_dir().join(name));
    fs::write(&path.0, &text).expect("a temporary file");
    let (mut file, before) = SettingsFile::open(&path.0).expect("the example is read");
    assert_matches!(file.check(), SettingsChange::Unchanged);

    let changed = text.replace("max_shift: 0.15", "max_shift: 0.25");
    assert_ne!(changed, text, "the example names the bound");
    fs::write(&path.0, &changed).expect("a temporary file");
    let after = assert_matches!(file.check(), SettingsChange::Changed(settings) => settings);
    assert_eq!((before.bounds.max_shift, after.bounds.max_shift), (0.15, 0.25));
    assert!(after.fixed_changes(&before).is_empty());
    assert_matches!(file.check(), SettingsChange::Unchanged);

    fs::write(&path.0, "host: [").expect("a temporary file");
    assert_matches!(file.check(), SettingsChange::Unreadable(_));
    assert_matches!(file.check(), SettingsChange::Unchanged);
    fs::remove_file(&path.0).expect("the file is there");
    assert_matches!(file.check(), SettingsChange::Unreadable(_));
    assert_matches!(file.check(), SettingsChange::Unchanged);
    fs::write(&path.0, &changed).expect("a temporary file");
    assert_matches!(file.check(), SettingsChange::Changed(_));
}

/// Guards against a log line that does not name the changes that take effect only at the next
/// start.
#[test]
fn changes_that_need_a_restart_are_named() {
    let event = reload_event(ReloadEnd::InForce, &["listen", "zone"]);
    let detail = assert_matches!(event, Event::Reloaded { detail, .. } => detail);
    assert_eq!(detail, Arc::from("at the next start: listen, zone"));
}
