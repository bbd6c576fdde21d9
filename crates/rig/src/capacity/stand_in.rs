//! Stand-in members: many loopback addresses, each with a listener of its own, served by one thread, so that a thousand of
//! them cost little. Each answers every request without a body at once.

use dewrun_testkit::{free_addresses, ok};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};

/// Bytes of an answer's body.
const BODY: usize = 100;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Addresses in one network of 127.1.n.0.
const NETWORK: usize = 250;

/// Starts so many members, for as long as this process lives.
pub fn stand_ins(count: usize) -> Vec<SocketAddr> {
    let port = free_addresses(1)[0].port();
    let address = |n: usize| {
        let ip = Ipv4Addr::new(127, 1, (n / NETWORK) as u8, (n % NETWORK + 1) as u8);
        SocketAddr::new(IpAddr::V4(ip), port)
    };
    let listeners: Vec<TcpListener> = (0..count)
        .map(|n| TcpListener::bind(address(n)).expect("a loopback address with a free port"))
        .collect();
    thread::spawn(move || serve(listeners));
    (0..count).map(address).collect()
}

fn serve(listeners: Vec<TcpListener>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
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
        std::future::pending::<()>().await;
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
        while let Some(at) = read.windows(HEAD_END.len()).position(|window| window == HEAD_END) {
            read.drain(..at + HEAD_END.len());
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }
}
