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

/// Prefix of every name.
const PREFIX: &str = "lavenderplank";

/// Datagrams that wait for the sending thread; past it new ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 4_096;

/// Result of opening metrics.
pub type Result<T> = std::result::Result<T, MetricsError>;

/// Metrics could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    #[error("no UDP socket for metrics to {address}: {source}; correct `metrics` in the settings")]
    Socket { address: SocketAddr, source: io::Error },
    #[error("metrics to {address}: {detail}; correct `metrics` in the settings")]
    Sink { address: SocketAddr, detail: String },
}

/// What every datagram of a host carries.
#[derive(Clone, Debug)]
pub struct Tags {
    pub host: HostId,
    pub member: MemberId,
    pub zone: ZoneId,
}

/// Sends to `address`, or drops everything where there is none.
pub fn open(address: Option<SocketAddr>, tags: &Tags) -> Result<Arc<dyn Metrics>> {
    let Some(address) = address else {
        return Ok(Arc::new(NoMetrics));
    };
    let any: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|source| MetricsError::Socket { address, source })?;
    let sink = BufferedUdpMetricSink::from(address, socket)
        .map_err(|error| MetricsError::Sink { address, detail: error.to_string() })?;
    let client =
        StatsdClient::builder(PREFIX, QueuingMetricSink::with_capacity(sink, MAX_QUEUED_DATAGRAMS))
            .with_tag("member", &tags.member)
            .with_tag("zone", &tags.zone)
            .with_tag("host", &tags.host)
            .with_error_handler(|error| log::debug!("metric dropped: {error}"))
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
            log::debug!("metrics not flushed: {error}");
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
