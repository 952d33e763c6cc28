//! Metrics as statsd datagrams over UDP.

use std::{
    io,
    net::{Ipv4Addr, Ipv6Addr, UdpSocket},
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricBuilder, QueuingMetricSink, StatsdClient, Timed,
};

use super::{Metric, Metrics, NoMetrics};
use crate::prelude::*;

/// Prefix of all metric names.
const PREFIX: &str = "lavenderplank";

/// Maximum number of metrics that wait for the sender thread; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4_096;

/// Result of opening metrics.
pub type Result<T> = std::result::Result<T, MetricsError>;

/// Metrics could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    #[error(
        "cannot open a UDP socket for metrics to {address}: {source}; correct `metrics` in the \
         settings"
    )]
    Socket { address: SocketAddr, source: io::Error },
    #[error("cannot send metrics to {address}: {detail}; correct `metrics` in the settings")]
    Sink { address: SocketAddr, detail: String },
}

/// Tags of every datagram of a host.
#[derive(Clone, Debug)]
pub struct Tags {
    pub host: HostId,
    pub member: MemberId,
    pub zone: ZoneId,
}

/// Returns a client that sends metrics to `address`, or discards them if it is `None`.
pub fn open(address: Option<SocketAddr>, tags: &Tags) -> Result<Arc<dyn Metrics>> {
    let Some(address) = address else {
        return Ok(Arc::new(NoMetrics));
    };
    let bind_address: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(bind_address)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|source| MetricsError::Socket { address, source })?;
    let sink = BufferedUdpMetricSink::from(address, socket)
        .map_err(|error| MetricsError::Sink { address, detail: error.to_string() })?;
    let client =
        StatsdClient::builder(PREFIX, QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS))
            .with_tag("member", &tags.member)
            .with_tag("zone", &tags.zone)
            .with_tag("host", &tags.host)
            .with_error_handler(|error| log::debug!("sending a metric failed: {error}"))
            .build();
    Ok(Arc::new(Statsd { client }))
}

struct Statsd {
    client: StatsdClient,
}

impl Metrics for Statsd {
    fn count(&self, metric: Metric, by: u64, label: Option<&str>) {
        send(self.client.count_with_tags(metric.name(), by), label);
    }

    fn gauge(&self, metric: Metric, value: f64, label: Option<&str>) {
        send(self.client.gauge_with_tags(metric.name(), value), label);
    }

    fn time(&self, metric: Metric, taken: Duration, label: Option<&str>) {
        send(self.client.time_with_tags(metric.name(), taken), label);
    }

    fn flush(&self) {
        if let Err(error) = self.client.flush() {
            log::debug!("flushing metrics failed: {error}");
        }
    }
}

fn send<'m, 'c, T>(builder: MetricBuilder<'m, 'c, T>, label: Option<&'m str>)
where
    T: cadence::Metric + From<String>,
{
    match label {
        Some(label) => builder.with_tag("label", label).send(),
        None => builder.send(),
    }
}
