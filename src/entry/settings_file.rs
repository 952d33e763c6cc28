//! The settings file while a host runs: it may change with or without a signal.

use std::path::{Path, PathBuf};

use super::EntrySettings;
use crate::{
    event_log::{Event, ReloadEnd},
    yaml::{self, MAX_FILE, Result},
};

/// The file and the text that is in force.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Why the file could not be read last time.
    last_error: Option<String>,
    text: String,
}

/// What a look at the file has found.
#[derive(Debug)]
pub enum SettingsChange {
    /// New settings that can be read.
    Changed(Box<EntrySettings>),
    /// It can't be read, and why; the settings in force stand.
    Unreadable(String),
    Unchanged,
}

impl SettingsFile {
    /// Reads and checks the settings to start with.
    pub fn open(path: &Path) -> Result<(Self, EntrySettings)> {
        let text = yaml::read_file(path, MAX_FILE)?;
        let settings = yaml::decode(&text, &path.display().to_string())?;
        Ok((Self { path: path.to_owned(), last_error: None, text }, settings))
    }

    /// Looks whether the text has changed. What is wrong is told once.
    pub fn check(&mut self) -> SettingsChange {
        let text = match yaml::read_file(&self.path, MAX_FILE) {
            Ok(text) => text,
            Err(problem) => return self.report_read_error(problem.to_string()),
        };
        self.last_error = None;
        if text == self.text {
            return SettingsChange::Unchanged;
        }
        self.text = text;
        match yaml::decode(&self.text, &self.path.display().to_string()) {
            Ok(settings) => SettingsChange::Changed(Box::new(settings)),
            Err(problem) => SettingsChange::Unreadable(problem.to_string()),
        }
    }

    fn report_read_error(&mut self, problem: String) -> SettingsChange {
        if self.last_error.as_ref() == Some(&problem) {
            return SettingsChange::Unchanged;
        }
        self.last_error = Some(problem.clone());
        SettingsChange::Unreadable(problem)
    }
}

/// The event of settings that were read again. `at_next_start` names fields that have changed and
/// stay as they were until the next start.
pub fn reload_event(end: ReloadEnd, at_next_start: &[&str]) -> Event {
    let detail = match at_next_start {
        [] => String::new(),
        fields => format!("at the next start: {}", fields.join(", ")),
    };
    Event::Reloaded { end, detail: detail.into() }
}
