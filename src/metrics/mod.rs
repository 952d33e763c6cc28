//! Counters, gauges and timings, sent as statsd datagrams to an address from the settings.

mod entry;
mod metered_sink;
mod metric;
mod statsd;
#[cfg(test)]
mod tests;

pub use self::{
    entry::{ControlGauges, EntryMetrics, MeteredEventSink, TrafficGauges},
    metered_sink::MeteredTimelineSink,
    metric::{Metric, MetricKind},
    statsd::{MetricsError, Result, Tags, open},
};

use std::time::Duration;

/// Takes measurements. Never blocks and never fails: a full queue drops what comes.
pub trait Metrics: Send + Sync {
    /// Adds `by` to a counter; `label` tells its parts from one another, such as an error kind.
    fn count(&self, metric: Metric, by: u64, label: Option<&str>);

    /// Sets a gauge.
    fn gauge(&self, metric: Metric, value: f64, label: Option<&str>);

    /// Adds a duration.
    fn time(&self, metric: Metric, taken: Duration, label: Option<&str>);

    /// Sends what is buffered; to be called about once a second.
    fn flush(&self);
}

/// Takes measurements and drops them.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoMetrics;

impl Metrics for NoMetrics {
    fn count(&self, _metric: Metric, _by: u64, _label: Option<&str>) {}

    fn gauge(&self, _metric: Metric, _value: f64, _label: Option<&str>) {}

    fn time(&self, _metric: Metric, _taken: Duration, _label: Option<&str>) {}

    fn flush(&self) {}
}
