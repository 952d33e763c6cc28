//! Accepts callers' connections within their bounds.

use std::convert::Infallible;

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};
use tower::Service;
use warp::reply::Response;

use super::IngressLimits;
use crate::{
    metrics::{Metric, Metrics},
    prelude::*,
};

/// Pause after a connection could not be accepted, for want of descriptors most likely.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Who is at the other end of a connection; an extension of each of its requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemoteAddr(pub SocketAddr);

/// Serves the connections of a listener until it is dropped.
///
/// One beyond the limit is closed at once. Left in the backlog, its caller would wait for its own
/// timeout; closed, it goes on to the next host of its look-up.
pub async fn serve<S>(
    listener: TcpListener,
    app: S,
    limits: IngressLimits,
    metrics: Arc<dyn Metrics>,
) where
    S: Service<http::Request<Incoming>, Response = Response, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
{
    let room = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok((stream, remote)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            metrics.count(Metric::ConnectionsRefused, 1, None);
            continue;
        };
        let connection = Connection { _permit: permit, remote, stream };
        tokio::spawn(connection.run(app.clone(), limits));
    }
}

struct Connection {
    _permit: OwnedSemaphorePermit,
    remote: SocketAddr,
    stream: TcpStream,
}

impl Connection {
    async fn run<S>(self, app: S, limits: IngressLimits)
    where
        S: Service<http::Request<Incoming>, Response = Response, Error = Infallible>,
        S: Clone + Send + 'static,
        S::Future: Send,
    {
        // A caller waits for each answer: held back to fill a packet, it would only come late.
        let _ = self.stream.set_nodelay(true);
        let remote = RemoteAddr(self.remote);
        let service = service_fn(move |mut req: http::Request<Incoming>| {
            req.extensions_mut().insert(remote);
            app.clone().call(req)
        });
        // The time for a head counts from the last answer on, so it also ends idle connections.
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout())
            .serve_connection(TokioIo::new(self.stream), service);
        if let Err(error) = served.await {
            log::debug!("connection of {}: {error}", self.remote);
        }
    }
}
