//! Notes whether a connection was made for the exchange at hand.
//!
//! An error that comes after the connection stands leaves it open whether the request ran; one
//! that comes before is proof that it did not. The client library tells the two apart only by its
//! error values, and not at all when a timeout drops its future. So a layer around the connector
//! sets a flag that belongs to the exchange. It refuses to connect where no flag is in reach: a
//! connection that nobody knows of is never made.

use std::{
    pin::Pin,
    sync::atomic::{AtomicBool, Ordering},
    task::{Context, Poll},
};

use tower::{BoxError, Layer, Service};

use crate::prelude::*;

tokio::task_local! {
    static CONNECTED: Arc<AtomicBool>;
}

/// Runs `exchange` and gives its output together with whether a connection was made in it.
pub(super) async fn track_connect<T>(exchange: impl Future<Output = T>) -> (T, bool) {
    let connected = Arc::new(AtomicBool::new(false));
    let output = CONNECTED.scope(connected.clone(), exchange).await;
    (output, connected.load(Ordering::Acquire))
}

/// Adds the note to a connector.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectTrackingLayer;

impl<S> Layer<S> for ConnectTrackingLayer {
    type Service = ConnectTracker<S>;

    fn layer(&self, inner: S) -> Self::Service {
        ConnectTracker { inner }
    }
}

/// A connector that sets the flag of its exchange.
#[derive(Clone, Debug)]
pub(super) struct ConnectTracker<S> {
    inner: S,
}

impl<S, Req> Service<Req> for ConnectTracker<S>
where
    S: Service<Req, Error = BoxError>,
    S::Future: Send + 'static,
    S::Response: 'static,
{
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, BoxError>> + Send>>;
    type Response = S::Response;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: Req) -> Self::Future {
        let Ok(connected) = CONNECTED.try_with(Arc::clone) else {
            return Box::pin(async { Err("no exchange asked for this connection".into()) });
        };
        let connecting = self.inner.call(req);
        Box::pin(async move {
            let conn = connecting.await?;
            connected.store(true, Ordering::Release);
            Ok(conn)
        })
    }
}
