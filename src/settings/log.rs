//! Settings of the log.

use serde::{Deserialize, Serialize};

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    Json,
    #[default]
    Text,
}

/// Minimum severity of logged messages.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    Debug,
    Error,
    #[default]
    Info,
    Trace,
    Warn,
}

impl LogLevel {
    /// Returns the level as spelled in the specification of the log library.
    pub fn as_str(self) -> &'static str {
        match self {
            LogLevel::Debug => "debug",
            LogLevel::Error => "error",
            LogLevel::Info => "info",
            LogLevel::Trace => "trace",
            LogLevel::Warn => "warn",
        }
    }
}

/// Settings of the log, which is written to standard error because hosts have no disk.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    pub format: LogFormat,
    pub level: LogLevel,
}
