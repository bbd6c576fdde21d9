//! What a path costs without dewrun: bytes passed on as they are, and the same libraries without
//! decisions.

use bytes::Bytes;
use dewrun_test_support::listen;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::RefCell;
use std::io::{self, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::thread;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};

/// Starts a relay of bytes, two threads a connection: the limit of what a proxy could do.
pub fn relay(to: SocketAddr) -> SocketAddr {
    let (listener, address) = listen();
    thread::spawn(move || {
        for caller in listener.incoming().map_while(Result::ok) {
            let Ok(backend) = std::net::TcpStream::connect(to) else {
                continue;
            };
            let _ = (caller.set_nodelay(true), backend.set_nodelay(true));
            let ends = [
                (caller.try_clone(), backend.try_clone()),
                (Ok(backend), Ok(caller)),
            ];
            for (from, to) in ends {
                let (Ok(mut from), Ok(mut to)) = (from, to) else {
                    continue;
                };
                thread::spawn(move || {
                    let _ = io::copy(&mut from, &mut to);
                    let _ = to.shutdown(std::net::Shutdown::Both);
                });
            }
        }
    });
    address
}

/// hyper's view of a tokio stream, as thin as it can be.
struct Io(TcpStream);

impl Read for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let mut room = [0; 8 * 1024];
        let most = buf.remaining().min(room.len());
        let mut read = ReadBuf::new(&mut room[..most]);
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

type Pool = Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>;

/// Starts a forwarder on one thread: hyper on both sides and a pool, nothing checked and nothing
/// chosen.
pub fn forwarder(to: SocketAddr) -> SocketAddr {
    let (listener, address) = listen();
    listener.set_nonblocking(true).expect("a mode");
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            let pool = Pool::default();
            while let Ok((caller, _)) = listener.accept().await {
                let _ = caller.set_nodelay(true);
                let pool = pool.clone();
                let service = service_fn(move |request| forward(pool.clone(), to, request));
                spawn_local(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(Io(caller), service),
                );
            }
        });
    });
    address
}

async fn forward(
    pool: Pool,
    to: SocketAddr,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    let idle = pool.borrow_mut().pop();
    let mut sender = match idle {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(to).await?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) = hyper::client::conn::http1::handshake(Io(stream)).await?;
            spawn_local(connection);
            sender
        }
    };
    let (head, body) = request.into_parts();
    let body = Full::new(body.collect().await?.to_bytes());
    sender.ready().await?;
    let (head, body) = sender
        .send_request(Request::from_parts(head, body))
        .await?
        .into_parts();
    let body = body.collect().await?.to_bytes();
    pool.borrow_mut().push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}
