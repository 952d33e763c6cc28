//! Gzip compression of requests to hosts that accept it.

use std::{
    io::Write,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use flate2::{Compression, write::GzEncoder};
use http::{
    HeaderValue,
    header::{CONTENT_ENCODING, CONTENT_LENGTH},
};
use http_body_util::BodyExt;
use jsonrpsee::http_client::{HttpBody, HttpRequest, HttpResponse};
use tower::{Layer, Service};

use super::MIN_COMPRESSED_BYTES;

const GZIP: HeaderValue = HeaderValue::from_static("gzip");

/// Compresses requests to one host once it has sent a compressed response. A host of the previous
/// release sends none and cannot decode compressed requests. If a host is downgraded to that
/// release, it refuses the request, and the next one is sent uncompressed.
#[derive(Clone, Debug, Default)]
pub(super) struct GzipRequestLayer {
    /// Whether the host accepts compressed requests.
    pub accepts_gzip: Arc<AtomicBool>,
}

/// Service built by `GzipRequestLayer`.
#[derive(Clone, Debug)]
pub(super) struct GzipRequestService<S> {
    inner: S,
    accepts_gzip: Arc<AtomicBool>,
}

impl<S> Layer<S> for GzipRequestLayer {
    type Service = GzipRequestService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        GzipRequestService { inner, accepts_gzip: self.accepts_gzip.clone() }
    }
}

impl<S, B> Service<HttpRequest> for GzipRequestService<S>
where
    S: Service<HttpRequest, Response = HttpResponse<B>> + Clone + Send + 'static,
    S::Future: Send,
{
    type Error = S::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;
    type Response = HttpResponse<B>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest) -> Self::Future {
        let clone = self.inner.clone();
        // Readiness belongs to the polled instance, so that one is called and the clone is kept.
        let mut inner = std::mem::replace(&mut self.inner, clone);
        let accepts_gzip = self.accepts_gzip.clone();
        Box::pin(async move {
            let req = if accepts_gzip.load(Ordering::Relaxed) { compress(req).await } else { req };
            let res = inner.call(req).await?;
            if !res.status().is_success() {
                accepts_gzip.store(false, Ordering::Relaxed);
            } else if res.headers().get(CONTENT_ENCODING) == Some(&GZIP) {
                accepts_gzip.store(true, Ordering::Relaxed);
            }
            Ok(res)
        })
    }
}

/// Compresses the body, unless it is too small to gain from it.
async fn compress(req: HttpRequest) -> HttpRequest {
    let (mut head, body) = req.into_parts();
    // The body is in memory, so collecting it cannot fail.
    let plain = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    if plain.len() < usize::from(MIN_COMPRESSED_BYTES) {
        return HttpRequest::from_parts(head, HttpBody::from(plain.to_vec()));
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let Ok(compressed) = encoder.write_all(&plain).and_then(|()| encoder.finish()) else {
        return HttpRequest::from_parts(head, HttpBody::from(plain.to_vec()));
    };
    head.headers.remove(CONTENT_LENGTH);
    head.headers.insert(CONTENT_ENCODING, GZIP);
    HttpRequest::from_parts(head, HttpBody::from(compressed))
}
