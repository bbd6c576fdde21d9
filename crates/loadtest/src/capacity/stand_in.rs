//! Stand-in members: many loopback addresses, each with a listener of its own, served by one
//! thread, so that a thousand of them cost little. Each answers every request without a body at
//! once.

use dewrun_test_support::{free_addresses, ok};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};

/// Bytes of an answer's body.
const BODY: usize = 100;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Addresses in one network of 127.1.n.0.
const NETWORK: usize = 250;

/// Members that listen until this is dropped.
pub struct StandIns {
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
    _stop: oneshot::Sender<()>,
}

impl StandIns {
    /// Starts so many.
    pub fn start(count: usize) -> StandIns {
        let port = free_addresses(1)[0].port();
        let address = |n: usize| {
            let ip = Ipv4Addr::new(127, 1, (n / NETWORK) as u8, (n % NETWORK + 1) as u8);
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

/// Serves until the other end of the channel is gone.
fn serve(listeners: Vec<TcpListener>, stopped: oneshot::Receiver<()>) {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let answer = Rc::new(ok(&"x".repeat(BODY)).into_bytes());
    LocalSet::new().block_on(&runtime, async move {
        for listener in listeners {
            listener.set_nonblocking(true).expect("a mode");
            let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
            let answer = answer.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(answer_all(stream, answer.clone()));
                }
            });
        }
        let _ = stopped.await;
    });
}

async fn answer_all(mut stream: TcpStream, answer: Rc<Vec<u8>>) {
    let _ = stream.set_nodelay(true);
    let mut read = Vec::new();
    loop {
        match stream.read_buf(&mut read).await {
            Ok(1..) => {}
            _ => return,
        }
        while let Some(at) = read
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END)
        {
            read.drain(..at + HEAD_END.len());
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }
}
