//! Logging to standard error, because hosts have no disk.

use flexi_logger::{Logger, LoggerHandle};

use crate::settings::{LogFormat, LogSettings};

/// Result of starting the logger.
pub type Result<T> = std::result::Result<T, LogError>;

/// The logger could not be started.
#[derive(Debug, thiserror::Error)]
#[error("invalid log level `{level}`: {detail}; use error, warn, info, debug or trace")]
pub struct LogError {
    pub detail: String,
    pub level: String,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineFormat {
    /// One JSON object per line, for programs.
    Json,
    /// Aligned text, for human readers.
    Text,
}

/// Starts the logger as configured in the settings of a host.
pub fn start_with_settings(settings: &LogSettings) -> Result<LoggerHandle> {
    let format = match settings.format {
        LogFormat::Json => LineFormat::Json,
        LogFormat::Text => LineFormat::Text,
    };
    start(settings.level.as_str(), format)
}

/// Starts the logger; it stops when the handle is dropped. `level` may also set the levels of
/// single modules, as in `info, lavenderplank::ledger=debug`.
pub fn start(level: &str, format: LineFormat) -> Result<LoggerHandle> {
    let fail = |detail: String| LogError { detail, level: level.to_owned() };
    let line = match format {
        LineFormat::Json => flexi_logger::json_format,
        LineFormat::Text => flexi_logger::opt_format,
    };
    Logger::try_with_str(level)
        .map_err(|error| fail(error.to_string()))?
        .log_to_stderr()
        .format(line)
        .start()
        .map_err(|error| fail(error.to_string()))
}
