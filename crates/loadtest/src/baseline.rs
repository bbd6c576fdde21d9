//! Proxies to compare dewrun with: a byte relay, and a forwarder that uses the same libraries but
//! makes no decisions.

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

/// Starts a byte relay with two threads per connection, and returns its address. Its rate is an
/// upper bound for that of a proxy.
pub fn relay(backend_address: SocketAddr) -> SocketAddr {
    let (listener, address) = listen();
    thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(backend) = std::net::TcpStream::connect(backend_address) else {
                continue;
            };
            let _ = (client.set_nodelay(true), backend.set_nodelay(true));
            let directions = [
                (client.try_clone(), backend.try_clone()),
                (Ok(backend), Ok(client)),
            ];
            for (from, to) in directions {
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

/// A minimal adapter from a tokio stream to hyper's I/O traits.
struct HyperStream(TcpStream);

impl Read for HyperStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let mut chunk = [0; 8 * 1024];
        let max_len = buf.remaining().min(chunk.len());
        let mut read = ReadBuf::new(&mut chunk[..max_len]);
        ready!(Pin::new(&mut self.0).poll_read(cx, &mut read))?;
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperStream {
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

/// Starts a forwarder that runs hyper on both sides with a connection pool, on one thread and
/// without checks or load balancing, and returns its address.
pub fn forwarder(backend_address: SocketAddr) -> SocketAddr {
    let (listener, address) = listen();
    listener.set_nonblocking(true).expect("non-blocking mode");
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a tokio listener");
            let pool = Pool::default();
            while let Ok((client, _)) = listener.accept().await {
                let _ = client.set_nodelay(true);
                let pool = pool.clone();
                let service =
                    service_fn(move |request| forward(pool.clone(), backend_address, request));
                spawn_local(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(HyperStream(client), service),
                );
            }
        });
    });
    address
}

async fn forward(
    pool: Pool,
    backend_address: SocketAddr,
    request: Request<Incoming>,
) -> std::result::Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    let idle = pool.borrow_mut().pop();
    let mut sender = match idle {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(backend_address).await?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) =
                hyper::client::conn::http1::handshake(HyperStream(stream)).await?;
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
