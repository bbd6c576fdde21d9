//! End-to-end tests of installations over loopback sockets, with the program started as by an
//! operator.

mod callers;
mod carry_over;
mod command;
mod disconnects;
mod late_answers;
mod lengths;
mod malformed;
mod pools;
mod reload;
mod replaced;
mod response_ends;
mod retries;
mod reuse;
mod shutdown;
mod smuggling;
mod streaming;

use dewrun_test_support::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

pub(crate) const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");

/// A running installation.
pub(crate) struct Installation {
    pub(crate) daemon: Daemon,
    pub(crate) address: SocketAddr,
    pub(crate) folder: Folder,
}

impl Installation {
    /// Starts an installation whose file has a listener on a free port and the given text.
    pub(crate) fn start(text: &str) -> Installation {
        Installation::start_in(Folder::new(), text)
    }

    /// Starts an installation like `start` in a folder that may contain more files.
    pub(crate) fn start_in(folder: Folder, text: &str) -> Installation {
        for _ in 0..10 {
            let address = free_address();
            let file = folder.put("dewrun.toml", &file(address, text));
            let file = file.to_str().expect("a path");
            let mut daemon = Daemon::start(DEWRUN, &["serve", "--config", file], &[]);
            until("the process listens or ends", || {
                !daemon.is_running() || daemon.log().contains("listens at")
            });
            // Another process may have taken the port since it was chosen, so another one is
            // attempted.
            if !daemon.log().contains("in use") {
                daemon.wait_until_listening(address);
                return Installation {
                    daemon,
                    address,
                    folder,
                };
            }
        }
        panic!("no port is free");
    }

    /// Starts an installation with one pool of the given members and a route that matches everything.
    pub(crate) fn with_members(members: &[SocketAddr]) -> Installation {
        Installation::start(&pool(members))
    }

    /// Replaces the file, sends SIGHUP and waits until `times` reloads in total have been logged.
    pub(crate) fn reload(&self, text: &str, times: usize) {
        self.folder.put("dewrun.toml", &file(self.address, text));
        self.daemon.signal("-HUP");
        until("the file is reloaded", || {
            self.daemon.logged("reloaded") >= times
        });
    }

    /// Sends one request on a new connection and returns the response.
    pub(crate) fn call(&self, request: &str) -> Message {
        try_call(self.address, request)
            .unwrap_or_else(|| panic!("no response to {request:?}; {}", self.daemon.log()))
    }

    /// Sends a GET request on a new connection and returns the response.
    pub(crate) fn get(&self, path: &str) -> Message {
        self.call(&get(path))
    }
}

/// Returns an operator's file with a listener at the address and the given text.
pub(crate) fn file(address: SocketAddr, text: &str) -> String {
    format!("[log]\nlines_per_s = 10000\n[[listener]]\nname = \"main\"\naddress = \"{address}\"\n{text}")
}

/// Returns the `members` setting of an operator's file.
pub(crate) fn members(members: &[SocketAddr]) -> String {
    let members: Vec<String> = members.iter().map(|m| format!("\"{m}\"")).collect();
    format!("members = [{}]", members.join(", "))
}

/// Returns a pool `main` of the given members without slow start and a route that matches everything.
pub(crate) fn pool(list: &[SocketAddr]) -> String {
    format!(
        "[[pool]]\nname = \"main\"\nwarm_up = \"0s\"\n{}\n[[route]]\npool = \"main\"\n",
        members(list)
    )
}

pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n")
}

pub(crate) fn post(headers: &str, body: &str) -> String {
    format!(
        "POST /p HTTP/1.1\r\nHost: a.example\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a response with the given status and headers and a body with a Content-Length.
pub(crate) fn response_with(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts an endpoint that returns the same response to every request.
pub(crate) fn endpoint_returning(text: String) -> Backend {
    Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
}

/// A client connection that is reused.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) reader: BufReader<TcpStream>,
}

impl Connection {
    pub(crate) fn open(address: SocketAddr) -> Connection {
        let stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Connection { stream, reader }
    }

    pub(crate) fn send(&mut self, request: &str) -> Option<Message> {
        self.stream.write_all(request.as_bytes()).ok()?;
        Message::read(&mut self.reader)
    }
}
