//! A stand-in for a server: one thread a connection, and a function that says what is done with each
//! request.

use crate::http::{Message, Reader};
use crate::Case;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a server does with a request.
pub enum Reply {
    /// Writes these bytes and keeps the connection.
    Send(Vec<u8>),
    /// Works for this time, then writes these bytes.
    After(Duration, Vec<u8>),
    /// Ends the connection with no answer.
    Close,
    /// Answers nothing and keeps the connection.
    Hang,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Instant,
    pub server: String,
    pub message: Message,
}

/// All whole requests that reached any server of the case, in their order.
pub type Log = Arc<Mutex<Vec<Received>>>;

/// Starts a server at a free port. Each whole request is logged, then `reply` is asked what to do.
pub fn start(
    case: &Case,
    name: &str,
    log: &Log,
    reply: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    case.log(format!("server {name} at {address}"));
    let reply = Arc::new(reply);
    let (case, name, log) = (case.clone(), name.to_string(), log.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (case, name, log, reply) = (case.clone(), name.clone(), log.clone(), reply.clone());
            thread::spawn(move || serve(&case, &name, &log, stream, &*reply));
        }
    });
    address
}

fn serve(
    case: &Case,
    name: &str,
    log: &Log,
    mut stream: TcpStream,
    reply: &dyn Fn(&Message) -> Reply,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream.try_clone().expect("a second handle"));
    while let Some(message) = reader.message() {
        if !message.is_whole {
            case.log(format!("{name} got a part of a request: {}", message.start));
            return;
        }
        let received = Received {
            at: Instant::now(),
            server: name.into(),
            message: message.clone(),
        };
        log.lock().unwrap().push(received);
        case.log(format!(
            "{name} got {} ({} bytes)",
            message.start,
            message.body.len()
        ));
        let bytes = match reply(&message) {
            Reply::Send(bytes) => bytes,
            Reply::After(work, bytes) => {
                thread::sleep(work);
                bytes
            }
            Reply::Close => {
                case.log(format!(
                    "{name} ends the connection under {}",
                    message.start
                ));
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            Reply::Hang => {
                thread::sleep(Duration::from_secs(600));
                return;
            }
        };
        if stream.write_all(&bytes).is_err() {
            return;
        }
    }
}
