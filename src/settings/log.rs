//! What is logged, and how.

use serde::{Deserialize, Serialize};

/// Shape of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    Json,
    #[default]
    Text,
}

/// Least severity that is logged.
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
    /// The level as the log library's specification has it.
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

/// Logs go to stderr, since hosts have no disk.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    pub format: LogFormat,
    pub level: LogLevel,
}
