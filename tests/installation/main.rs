//! Operators' installations over loopback sockets, the program started as an operator would.

mod callers;
mod command;
mod late_answers;
mod pools;
mod reload;
mod reuse;
mod shutdown;
mod smuggling;
mod streaming;

use dewrun_test_support::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

pub(crate) const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");

/// A running installation.
pub(crate) struct Site {
    pub(crate) daemon: Daemon,
    pub(crate) address: SocketAddr,
    pub(crate) folder: Folder,
}

impl Site {
    /// Serves by a file with this text behind a listener of its own.
    pub(crate) fn start(text: &str) -> Site {
        Site::start_in(Folder::new(), text)
    }

    /// The same, with a folder that holds more files.
    pub(crate) fn start_in(folder: Folder, text: &str) -> Site {
        for _ in 0..10 {
            let address = free_address();
            let file = folder.put("dewrun.toml", &file(address, text));
            let file = file.to_str().expect("a path");
            let mut daemon = Daemon::start(DEWRUN, &["serve", "--config", file], &[]);
            until("it listens or ends", || {
                !daemon.is_running() || daemon.log().contains("listens at")
            });
            // The port was free a moment before; one that was taken meanwhile is tried again with
            // another.
            if !daemon.log().contains("in use") {
                daemon.wait_until_listening(address);
                return Site {
                    daemon,
                    address,
                    folder,
                };
            }
        }
        panic!("no port is free");
    }

    /// One pool of these members behind a route that takes everything.
    pub(crate) fn before(members: &[SocketAddr]) -> Site {
        Site::start(&pool(members))
    }

    /// Replaces the file and has it read again; waits until that was done `times` times in all.
    pub(crate) fn reload(&self, text: &str, times: usize) {
        self.folder.put("dewrun.toml", &file(self.address, text));
        self.daemon.signal("-HUP");
        until("it has reloaded", || {
            self.daemon.logged("reloaded") >= times
        });
    }

    /// One request on a connection of its own.
    pub(crate) fn call(&self, request: &str) -> Message {
        try_call(self.address, request)
            .unwrap_or_else(|| panic!("no answer to {request:?}; {}", self.daemon.log()))
    }

    /// A GET on a connection of its own.
    pub(crate) fn get(&self, path: &str) -> Message {
        self.call(&get(path))
    }
}

/// An operator's file with its listener.
pub(crate) fn file(address: SocketAddr, text: &str) -> String {
    format!("[log]\nlines_per_s = 10000\n[[listener]]\nname = \"main\"\naddress = \"{address}\"\n{text}")
}

/// A list of members in an operator's file.
pub(crate) fn members(members: &[SocketAddr]) -> String {
    let members: Vec<String> = members.iter().map(|m| format!("\"{m}\"")).collect();
    format!("members = [{}]", members.join(", "))
}

/// A pool `main` of these members, none of them ever cold, and a route that takes everything.
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

/// An answer with a status line, headers and a body whose length is told.
pub(crate) fn answer_of(status: &str, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A backend that always says this.
pub(crate) fn always(text: String) -> Backend {
    Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok())
}

/// A kept connection.
pub(crate) struct Kept {
    pub(crate) stream: TcpStream,
    pub(crate) reader: BufReader<TcpStream>,
}

impl Kept {
    pub(crate) fn open(address: SocketAddr) -> Kept {
        let stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Kept { stream, reader }
    }

    pub(crate) fn ask(&mut self, request: &str) -> Option<Message> {
        self.stream.write_all(request.as_bytes()).ok()?;
        Message::read(&mut self.reader)
    }
}
