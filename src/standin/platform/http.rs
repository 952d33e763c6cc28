//! The HTTP side of a door.

use std::{convert::Infallible, io};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, header};
use tokio::net::TcpListener;
use warp::{Filter, Reply, filters::BoxedFilter};

use super::{Faults, door::DoorCore};
use crate::{
    prelude::*,
    store::{Expect, MAX_VALUE_BYTES, PlatformError, Version, VersionedObject, wire},
};

/// Room for headers and encoding past the largest value.
const MAX_REQUEST: u64 = MAX_VALUE_BYTES as u64 + 4096;

type Reply_ = warp::reply::Response;

#[derive(Deserialize)]
struct List {
    #[serde(default)]
    prefix: String,
    #[serde(default = "yes")]
    values: bool,
}

#[derive(Deserialize)]
struct Watch {
    from: Version,
    #[serde(default)]
    prefix: String,
    wait_ms: u64,
}

/// Serves until its task is aborted.
pub(super) async fn serve(listener: TcpListener, core: Arc<DoorCore>) {
    let routes =
        objects(core.clone()).or(list(core.clone())).or(watch(core.clone())).or(faults(core));
    warp::serve(routes).incoming(listener).run().await;
}

fn with(
    core: Arc<DoorCore>,
) -> impl Filter<Extract = (Arc<DoorCore>,), Error = Infallible> + Clone {
    warp::any().map(move || core.clone())
}

fn objects(core: Arc<DoorCore>) -> BoxedFilter<(Reply_,)> {
    warp::path!("v1" / "objects" / ..)
        .and(warp::path::tail())
        .and(warp::method())
        .and(warp::header::headers_cloned())
        .and(warp::body::content_length_limit(MAX_REQUEST).or(warp::any()).unify())
        .and(warp::body::bytes())
        .and(with(core))
        .then(|key: warp::path::Tail, method, headers, body, core: Arc<DoorCore>| async move {
            object(key.as_str(), method, &headers, body, &core).await
        })
        .boxed()
}

async fn object(
    key: &str,
    method: Method,
    headers: &HeaderMap,
    body: Bytes,
    core: &DoorCore,
) -> Reply_ {
    if method == Method::GET {
        return match core.get(key).await {
            Ok(Some(object)) => value(object),
            Ok(None) => plain(StatusCode::NOT_FOUND),
            Err(err) => failure(&err),
        };
    }
    let Some(expect) = expectation(headers) else {
        return plain(StatusCode::PRECONDITION_REQUIRED);
    };
    let operation = headers.get(wire::OPERATION_HEADER).and_then(|value| value.to_str().ok());
    let Some(operation) = operation else { return plain(StatusCode::BAD_REQUEST) };
    let written = match method {
        Method::DELETE => core.delete(key, expect).await,
        Method::PUT => core.put(key, expect, body, operation.into()).await,
        _ => return plain(StatusCode::METHOD_NOT_ALLOWED),
    };
    match written {
        Ok(version) => json(StatusCode::OK, &wire::WriteResponse { version }),
        Err(err) => failure(&err),
    }
}

fn list(core: Arc<DoorCore>) -> BoxedFilter<(Reply_,)> {
    warp::path!("v1" / "list")
        .and(warp::query::<List>())
        .and(with(core))
        .then(|query: List, core: Arc<DoorCore>| async move {
            match core.list(&query.prefix).await {
                Ok(listing) => {
                    let mut objects = wire::ObjectsResponse::from(listing);
                    if !query.values {
                        objects.objects.iter_mut().for_each(|object| object.value = None);
                    }
                    json(StatusCode::OK, &objects)
                }
                Err(err) => failure(&err),
            }
        })
        .boxed()
}

fn watch(core: Arc<DoorCore>) -> BoxedFilter<(Reply_,)> {
    warp::path!("v1" / "watch")
        .and(warp::query::<Watch>())
        .and(with(core))
        .then(|query: Watch, core: Arc<DoorCore>| async move {
            let wait = Duration::from_millis(query.wait_ms);
            match core.watch(&query.prefix, query.from, wait).await {
                Ok(changes) => json(StatusCode::OK, &wire::ObjectsResponse::from(changes)),
                Err(err) => failure(&err),
            }
        })
        .boxed()
}

fn faults(core: Arc<DoorCore>) -> BoxedFilter<(Reply_,)> {
    warp::path!("v1" / "faults")
        .and(warp::put())
        .and(warp::body::json::<Faults>())
        .and(with(core))
        .map(|faults: Faults, core: Arc<DoorCore>| {
            core.set_faults(faults);
            plain(StatusCode::OK)
        })
        .boxed()
}

fn expectation(headers: &HeaderMap) -> Option<Expect> {
    if headers.get(header::IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Some(Expect::Absent);
    }
    let tag = headers.get(header::IF_MATCH)?.to_str().ok()?;
    let version = tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()?;
    Some(Expect::Version(version))
}

fn failure(err: &PlatformError) -> Reply_ {
    match err {
        PlatformError::Conflict { current } => {
            json(StatusCode::PRECONDITION_FAILED, &wire::ConflictResponse { version: *current })
        }
        PlatformError::RateLimited { retry_after } => warp::reply::with_header(
            StatusCode::TOO_MANY_REQUESTS,
            header::RETRY_AFTER,
            retry_after.as_secs().max(1),
        )
        .into_response(),
        PlatformError::NoNextPage | PlatformError::Refused { .. } => plain(StatusCode::BAD_REQUEST),
        PlatformError::TooLarge => plain(StatusCode::PAYLOAD_TOO_LARGE),
        PlatformError::TooOld { oldest } => {
            json(StatusCode::GONE, &wire::TooOldResponse { oldest: *oldest })
        }
        // The body breaks off before its first byte, which closes the connection.
        PlatformError::Unavailable { may_have_applied: true, .. } => {
            let cut: [Result<Bytes, io::Error>; 1] = [Err(io::ErrorKind::ConnectionReset.into())];
            warp::reply::stream(futures::stream::iter(cut)).into_response()
        }
        PlatformError::Unavailable { .. } => plain(StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn json<T: Serialize>(status: StatusCode, data: &T) -> Reply_ {
    warp::reply::with_status(warp::reply::json(data), status).into_response()
}

fn plain(status: StatusCode) -> Reply_ {
    status.into_response()
}

fn yes() -> bool {
    true
}

fn value(object: VersionedObject) -> Reply_ {
    let response = Response::builder()
        .header(wire::OPERATION_HEADER, &*object.operation)
        .header(wire::VERSION_HEADER, object.version)
        .body(object.value);
    match response {
        Ok(response) => response.into_response(),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
