//! Accepts and serves connections of callers, up to a limit.

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

/// Delay after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Remote address of a connection, attached to each of its requests as an extension.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RemoteAddr(pub SocketAddr);

/// Serves the connections of a listener until the future is dropped.
///
/// A connection beyond the limit is closed at once, so that its caller tries the next host of its
/// look-up. Left in the backlog, the caller would wait until its own timeout.
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
    let permits = Arc::new(Semaphore::new(limits.connections));
    loop {
        let Ok((stream, remote)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
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
        // Callers wait for each response, so Nagle's algorithm would only add latency.
        let _ = self.stream.set_nodelay(true);
        let remote = RemoteAddr(self.remote);
        let service = service_fn(move |mut req: http::Request<Incoming>| {
            req.extensions_mut().insert(remote);
            app.clone().call(req)
        });
        // The timeout for a request head starts at the end of the last response, so it also closes
        // idle connections.
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout())
            .serve_connection(TokioIo::new(self.stream), service);
        if let Err(error) = served.await {
            log::debug!("connection from {} failed: {error}", self.remote);
        }
    }
}
