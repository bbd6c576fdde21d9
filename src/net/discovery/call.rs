//! One HTTP call to discovery: for a snapshot, or for a watch.

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

/// How long [`fetch_snapshot`] may take.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// The path of a snapshot, and of a watch with parameters.
const LIST_PATH: &str = "/discovery/hosts";

/// Why a call to discovery brought nothing (more). The endpoints that are known stay in use, and
/// discovery is called again.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The connection failed, or the peer does not speak HTTP/1.1.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The address cannot be put into a request.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// Another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// A body that is too large, or that was broken off.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The stream of a watch is not made of lists.
    #[error(transparent)]
    Stream(#[from] StreamError),
    /// A list was rejected.
    #[error(transparent)]
    List(#[from] ListError),
    /// No snapshot was had ahead of the watch.
    #[error("no whole list")]
    NoSnapshot(#[source] Box<CallError>),
    /// Discovery closed the watch.
    #[error("it ended")]
    Closed,
    /// Discovery sent nothing complete in time.
    #[error("no word in time")]
    Timeout,
}

/// What a watch brings.
pub(super) enum WatchEvent {
    Connected,
    Heartbeat,
    List(EndpointList),
}

/// An open response and the connection that drives it.
struct OpenCall<C> {
    body: hyper::body::Incoming,
    connection: C,
}

/// Sends a GET request, and waits for the head of a 200 response.
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
    let answer = sender.send_request(request);
    tokio::pin!(answer);
    let response = tokio::select! {
        biased;
        response = &mut answer => response,
        _ = &mut connection => answer.await,
    }?;
    if response.status() != StatusCode::OK {
        return Err(CallError::Status(response.status()));
    }
    Ok(OpenCall {
        body: response.into_body(),
        // The connection would end without its sender.
        connection: async move {
            let _sender = sender;
            connection.await
        },
    })
}

/// Calls discovery, and watches from `held_version` on until the watch ends; returns why. Without a
/// held version a snapshot is fetched first: versions of one discovery service mean nothing to
/// another.
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

/// Reads a watch until its end.
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

/// Passes on the lists and heartbeats that some bytes complete, up to the first list that is
/// rejected.
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
                // Later deltas build on the rejected list: only a snapshot helps.
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

/// Fetches a snapshot, without a timeout of its own.
async fn snapshot(address: SocketAddr) -> Result<EndpointList, CallError> {
    let OpenCall { body, connection } = open_call(address, LIST_PATH).await?;
    tokio::pin!(connection);
    let whole = Limited::new(body, MAX_LIST_BYTES).collect();
    tokio::pin!(whole);
    let whole = tokio::select! {
        biased;
        whole = &mut whole => whole,
        _ = &mut connection => whole.await,
    };
    let json = whole.map_err(CallError::Body)?.to_bytes();
    let list = EndpointList::parse(&json, None)?;
    Ok(EndpointList {
        snapshot: true,
        ..list
    })
}

/// Fetches a snapshot within 2.5 s.
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
