//! Detects changes of the settings file while a host runs, with or without a signal.

use std::path::{Path, PathBuf};

use super::EntrySettings;
use crate::{
    event_log::{Event, ReloadEnd},
    yaml::{self, MAX_FILE_BYTES, Result},
};

/// The settings file and its last text.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Error of the last attempt to read the file.
    last_error: Option<String>,
    text: String,
}

/// Result of checking the file.
#[derive(Debug)]
pub enum SettingsChange {
    /// The file contains new, valid settings.
    Changed(Box<EntrySettings>),
    /// The file cannot be read or decoded, with the error; the current settings stay in force.
    Unreadable(String),
    Unchanged,
}

impl SettingsFile {
    /// Reads and validates the initial settings.
    pub fn open(path: &Path) -> Result<(Self, EntrySettings)> {
        let text = yaml::read_file(path, MAX_FILE_BYTES)?;
        let settings = yaml::decode(&text, &path.display().to_string())?;
        Ok((Self { path: path.to_owned(), last_error: None, text }, settings))
    }

    /// Checks whether the text has changed. Each error is reported only once.
    pub fn check(&mut self) -> SettingsChange {
        let text = match yaml::read_file(&self.path, MAX_FILE_BYTES) {
            Ok(text) => text,
            Err(error) => return self.report_read_error(error.to_string()),
        };
        self.last_error = None;
        if text == self.text {
            return SettingsChange::Unchanged;
        }
        self.text = text;
        match yaml::decode(&self.text, &self.path.display().to_string()) {
            Ok(settings) => SettingsChange::Changed(Box::new(settings)),
            Err(error) => SettingsChange::Unreadable(error.to_string()),
        }
    }

    fn report_read_error(&mut self, error: String) -> SettingsChange {
        if self.last_error.as_ref() == Some(&error) {
            return SettingsChange::Unchanged;
        }
        self.last_error = Some(error.clone());
        SettingsChange::Unreadable(error)
    }
}

/// The log event of reloaded settings. `at_next_start` names the changed fields that take effect
/// only at the next start.
pub fn reload_event(end: ReloadEnd, at_next_start: &[&str]) -> Event {
    let detail = match at_next_start {
        [] => String::new(),
        fields => format!("at the next start: {}", fields.join(", ")),
    };
    Event::Reloaded { end, detail: detail.into() }
}
