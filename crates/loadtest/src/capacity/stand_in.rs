//! Stand-in members: listeners on many loopback addresses, all served by one thread, so that a
//! thousand of them cost little. Each responds at once to every request. Requests must have no body.

use dewrun_test_support::{free_addresses, ok};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// Bytes of the body of a response.
const BODY_LEN: usize = 100;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Addresses in each network 127.1.n.0/24.
const ADDRESSES_PER_NETWORK: usize = 250;

/// Members that listen until this value is dropped.
pub struct StandIns {
    /// Addresses of the members.
    pub addresses: Vec<SocketAddr>,
    _stop: oneshot::Sender<()>,
}

impl StandIns {
    /// Starts this number of members.
    pub fn start(count: usize) -> StandIns {
        let port = free_addresses(1)[0].port();
        let address = |n: usize| {
            let ip = Ipv4Addr::new(
                127,
                1,
                (n / ADDRESSES_PER_NETWORK) as u8,
                (n % ADDRESSES_PER_NETWORK + 1) as u8,
            );
            SocketAddr::new(IpAddr::V4(ip), port)
        };
        let listeners: Vec<TcpListener> = (0..count)
            .map(|n| TcpListener::bind(address(n)).expect("a loopback address with a free port"))
            .collect();
        let (stop, stopped) = oneshot::channel();
        thread::spawn(move || serve(listeners, stopped));
        StandIns {
            addresses: (0..count).map(address).collect(),
            _stop: stop,
        }
    }
}

/// Serves until the sender of the channel is dropped.
fn serve(listeners: Vec<TcpListener>, stopped: oneshot::Receiver<()>) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let response = Rc::new(ok(&"x".repeat(BODY_LEN)).into_bytes());
    LocalSet::new().block_on(&runtime, async move {
        for listener in listeners {
            listener.set_nonblocking(true).expect("non-blocking mode");
            let listener = tokio::net::TcpListener::from_std(listener).expect("a tokio listener");
            let response = response.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(serve_connection(stream, response.clone()));
                }
            });
        }
        let _ = stopped.await;
    });
}

async fn serve_connection(mut stream: TcpStream, response: Rc<Vec<u8>>) {
    let _ = stream.set_nodelay(true);
    let mut received = Vec::new();
    loop {
        match stream.read_buf(&mut received).await {
            Ok(1..) => {}
            _ => return,
        }
        while let Some(head_len) = received
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)
        {
            received.drain(..head_len + HEAD_END.len());
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }
}
