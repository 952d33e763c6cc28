//! Records whether a connection was established for a request.
//!
//! An error before the connection is established proves that the request did not run; after an
//! error later on, it may have run. The client library distinguishes the two only by its error
//! values, and not at all when a timeout drops its future. So a layer around the connector sets a
//! flag that belongs to the request. Without such a flag in the task-local scope the connector
//! fails, so that no connection is established without being recorded.

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

/// Runs a request and returns its output and whether a connection was established for it.
pub(super) async fn track_connect<T>(request: impl Future<Output = T>) -> (T, bool) {
    let connected = Arc::new(AtomicBool::new(false));
    let output = CONNECTED.scope(connected.clone(), request).await;
    (output, connected.load(Ordering::Acquire))
}

/// Wraps a connector in a [`ConnectTracker`].
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectTrackingLayer;

impl<S> Layer<S> for ConnectTrackingLayer {
    type Service = ConnectTracker<S>;

    fn layer(&self, inner: S) -> Self::Service {
        ConnectTracker { inner }
    }
}

/// A connector that sets the flag of its request once it is connected.
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
            return Box::pin(async {
                Err("connection requested outside of `track_connect`".into())
            });
        };
        let connecting = self.inner.call(req);
        Box::pin(async move {
            let conn = connecting.await?;
            connected.store(true, Ordering::Release);
            Ok(conn)
        })
    }
}
