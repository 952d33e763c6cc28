//! Forwards messages of the `log` macros, from this crate and from libraries, to the event log.

use std::sync::Arc;

use flexi_logger::{DeferredNow, Logger, LoggerHandle, writers::LogWriter};
use log::Record;

use super::{Event, EventSink};
use crate::logging::{LogError, Result};

/// Forwards messages of the `log` macros to `events` until the handle is dropped.
pub fn start_bridge(level: &str, events: Arc<dyn EventSink>) -> Result<LoggerHandle> {
    let fail = |detail: String| LogError { detail, level: level.to_owned() };
    Logger::try_with_str(level)
        .map_err(|error| fail(error.to_string()))?
        .log_to_writer(Box::new(Bridge { events }))
        .start()
        .map_err(|error| fail(error.to_string()))
}

struct Bridge {
    events: Arc<dyn EventSink>,
}

impl LogWriter for Bridge {
    fn write(&self, _: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let event = Event::Note {
            level: record.level().as_str().into(),
            module: record.module_path().unwrap_or_default().into(),
            text: record.args().to_string().into(),
        };
        self.events.record(None, event);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}
