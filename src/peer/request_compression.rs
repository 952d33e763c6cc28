//! Compressed questions to hosts that read them.

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

/// Compresses questions to one host once it has given a compressed answer. A host of the release
/// before gives none and would not read them; one that is taken back to that release refuses, and
/// the next question is plain again.
#[derive(Clone, Debug, Default)]
pub(super) struct GzipRequestLayer {
    /// Whether the host reads compressed questions.
    pub reads: Arc<AtomicBool>,
}

/// The service that `GzipRequestLayer` makes.
#[derive(Clone, Debug)]
pub(super) struct GzipRequestService<S> {
    inner: S,
    reads: Arc<AtomicBool>,
}

impl<S> Layer<S> for GzipRequestLayer {
    type Service = GzipRequestService<S>;

    fn layer(&self, inner: S) -> Self::Service {
        GzipRequestService { inner, reads: self.reads.clone() }
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
        // The one that said it is ready is the one to call.
        let mut inner = std::mem::replace(&mut self.inner, clone);
        let reads = self.reads.clone();
        Box::pin(async move {
            let req = if reads.load(Ordering::Relaxed) { compressed(req).await } else { req };
            let res = inner.call(req).await?;
            if !res.status().is_success() {
                reads.store(false, Ordering::Relaxed);
            } else if res.headers().get(CONTENT_ENCODING) == Some(&GZIP) {
                reads.store(true, Ordering::Relaxed);
            }
            Ok(res)
        })
    }
}

async fn compressed(req: HttpRequest) -> HttpRequest {
    let (mut head, body) = req.into_parts();
    // The body is a text in memory: reading it cannot fail.
    let plain = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    if plain.len() < usize::from(MIN_COMPRESSED_BYTES) {
        return HttpRequest::from_parts(head, HttpBody::from(plain.to_vec()));
    }
    let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
    let Ok(packed) = encoder.write_all(&plain).and_then(|()| encoder.finish()) else {
        return HttpRequest::from_parts(head, HttpBody::from(plain.to_vec()));
    };
    head.headers.remove(CONTENT_LENGTH);
    head.headers.insert(CONTENT_ENCODING, GZIP);
    HttpRequest::from_parts(head, HttpBody::from(packed))
}
