//! HTTP calls to discovery: a snapshot or a watch.

use super::endpoint_list::{EndpointList, ListError};
use crate::net::io::{Io, TrackedSocket};
use bytes::Bytes;
use dewrun_discovery::{ObjectStream, StreamError, StreamItem};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{header::HOST, Request, StatusCode};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout of [`fetch_snapshot`].
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The path of the endpoint list. A watch adds a query.
const LIST_PATH: &str = "/discovery/hosts";

/// An error that failed a call to discovery or ended a watch. The known endpoints stay in use, and
/// discovery is called again.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection can't be established.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection failed, or the peer does not speak HTTP/1.1.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The address does not form a valid request.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is too large or incomplete.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The stream of a watch has malformed content.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// A received list was rejected.
    #[error(transparent)]
    List(#[from] ListError),
    /// The snapshot that a watch starts from can't be fetched.
    #[error("cannot fetch a snapshot")]
    NoSnapshot(#[source] Box<CallError>),
    /// Discovery closed the watch.
    #[error("discovery closed the watch")]
    Closed,
    /// Discovery sent no complete list or heartbeat in time.
    #[error("timed out")]
    Timeout,
}

/// An event of a watch.
pub(super) enum WatchEvent {
    Connected,
    Heartbeat,
    List(EndpointList),
}

/// A response in progress, and the connection that must be polled to receive it.
struct OpenCall<C> {
    body: hyper::body::Incoming,
    connection: C,
}

/// Sends a GET request and waits for the head of the response, which must have status 200.
async fn open_call(
    address: SocketAddr,
    path: &str,
) -> Result<OpenCall<impl Future<Output = hyper::Result<()>>>, CallError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(Io(TrackedSocket::new(stream))).await?;
    let request = Request::get(path)
        .header(HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let mut connection = Box::pin(connection);
    let response = sender.send_request(request);
    tokio::pin!(response);
    let response = tokio::select! {
        biased;
        result = &mut response => result,
        _ = &mut connection => response.await,
    }?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    Ok(OpenCall {
        body: response.into_body(),
        // The connection ends when its sender is dropped.
        connection: async move {
            let _sender = sender;
            connection.await
        },
    })
}

/// Opens a watch from `held_version` on, and returns the error that ended it. Without a held
/// version a snapshot is fetched first, as versions are valid only at the discovery service that
/// assigned them.
pub(super) async fn watch_once(
    address: SocketAddr,
    held_version: &mut Option<u64>,
    mut on_event: impl FnMut(WatchEvent),
) -> CallError {
    let version = match *held_version {
        Some(version) => version,
        None => match snapshot(address).await {
            Ok(list) => {
                let version = *held_version.insert(list.index);
                on_event(WatchEvent::List(list));
                version
            }
            Err(e) => return CallError::NoSnapshot(Box::new(e)),
        },
    };
    let path = format!("{LIST_PATH}?stream=1&index={version}");
    let call = match open_call(address, &path).await {
        Ok(call) => call,
        Err(e) => return e,
    };
    on_event(WatchEvent::Connected);
    match read_watch(call, held_version, on_event).await {
        Ok(()) => CallError::Closed,
        Err(e) => e,
    }
}

/// Reads a watch until it ends.
async fn read_watch(
    call: OpenCall<impl Future<Output = hyper::Result<()>>>,
    held_version: &mut Option<u64>,
    mut on_event: impl FnMut(WatchEvent),
) -> Result<(), CallError> {
    let OpenCall {
        mut body,
        connection,
    } = call;
    tokio::pin!(connection);
    let mut is_connection_open = true;
    let mut objects = ObjectStream::new(MAX_LIST_BYTES);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            _ = &mut connection, if is_connection_open => {
                is_connection_open = false;
                continue;
            }
        };
        let Some(frame) = frame else {
            return Ok(objects.finish()?);
        };
        let data = frame?.into_data().unwrap_or_default();
        feed_watch(&mut objects, &data, held_version, &mut on_event)?;
    }
}

/// Passes the lists and heartbeats that `data` completes to `on_event`, up to the first rejected
/// list.
///
/// # Errors
///
/// If a list is rejected, or the stream is malformed.
fn feed_watch(
    objects: &mut ObjectStream,
    data: &[u8],
    held_version: &mut Option<u64>,
    on_event: &mut impl FnMut(WatchEvent),
) -> Result<(), CallError> {
    let mut rejected = None;
    let fed = objects.push(data, |item| match item {
        StreamItem::EmptyLine => on_event(WatchEvent::Heartbeat),
        StreamItem::Object(_) if rejected.is_some() => {}
        StreamItem::Object(json) => match EndpointList::parse(&json, *held_version) {
            Ok(list) => {
                *held_version = Some(list.index);
                on_event(WatchEvent::List(list));
            }
            Err(e) => {
                // Later deltas depend on the rejected list, so that a snapshot is needed.
                *held_version = None;
                rejected = Some(e);
            }
        },
    });
    match rejected {
        Some(e) => Err(e.into()),
        None => Ok(fed?),
    }
}

/// Fetches a snapshot without a timeout.
async fn snapshot(address: SocketAddr) -> Result<EndpointList, CallError> {
    let OpenCall { body, connection } = open_call(address, LIST_PATH).await?;
    tokio::pin!(connection);
    let collected = Limited::new(body, MAX_LIST_BYTES).collect();
    tokio::pin!(collected);
    let collected = tokio::select! {
        biased;
        collected = &mut collected => collected,
        _ = &mut connection => collected.await,
    };
    let json = collected.map_err(CallError::Body)?.to_bytes();
    let list = EndpointList::parse(&json, None)?;
    Ok(EndpointList {
        snapshot: true,
        ..list
    })
}

/// Fetches a snapshot within [`SNAPSHOT_TIMEOUT`].
///
/// # Errors
///
/// See [`CallError`].
pub async fn fetch_snapshot(address: SocketAddr) -> Result<EndpointList, CallError> {
    timeout(SNAPSHOT_TIMEOUT, snapshot(address))
        .await
        .unwrap_or(Err(CallError::Timeout))
}

#[cfg(test)]
mod tests;
