use super::*;
use crate::net::limits::Limits;
use tokio::net::{TcpListener, TcpSocket};

/// Returns a listener whose queue is full: the next connection is established only when the system
/// retransmits its first packet, after a second.
async fn full_listener() -> (TcpListener, SocketAddr, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    loop {
        let connecting =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(address));
        match connecting.await {
            Ok(connected) => queued.push(connected.expect("it connects")),
            Err(_) => return (listener, address, queued),
        }
    }
}

async fn open_connection(
    address: SocketAddr,
    limits: &Limits,
) -> Result<(TcpStream, ResourceReservation), ConnectError> {
    let first = limits.upstream.try_reserve(1).expect("room");
    let timeout = Duration::from_millis(600);
    open(
        address,
        (first, || limits.upstream.try_reserve(1)),
        (Instant::now() + timeout, timeout),
    )
    .await
}

#[tokio::test]
async fn a_slow_connection_is_raced_by_another() {
    let limits = Limits::new(64, 1 << 20, 1 << 10);
    let (listener, address, _queued) = full_listener().await;
    let accepting = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut accepted = Vec::new();
        while let Ok(connection) = listener.accept().await {
            accepted.push(connection);
        }
    });
    let (_stream, reservation) = open_connection(address, &limits)
        .await
        .expect("a second connection is established");
    accepting.abort();
    assert_eq!(
        reservation.amount(),
        1,
        "the reservations of the other connections are released"
    );
}

#[tokio::test]
async fn a_connection_that_is_never_established_times_out() {
    let limits = Limits::new(64, 1 << 20, 1 << 10);
    let (_listener, address, _queued) = full_listener().await;
    let started = Instant::now();
    assert!(matches!(
        open_connection(address, &limits).await,
        Err(ConnectError::TimedOut)
    ));
    assert!(started.elapsed() >= Duration::from_millis(600));
    let all: Vec<ResourceReservation> =
        std::iter::from_fn(|| limits.upstream.try_reserve(1)).collect();
    assert_eq!(
        all.len(),
        limits.upstream.max(),
        "all reservations are released"
    );
}

#[tokio::test]
async fn a_refused_connection_fails_at_once() {
    let limits = Limits::new(64, 1 << 20, 1 << 10);
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let started = Instant::now();
    assert!(matches!(
        open_connection(address, &limits).await,
        Err(ConnectError::Failed(_))
    ));
    assert!(started.elapsed() < Duration::from_millis(100));
}
