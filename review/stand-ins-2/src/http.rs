//! HTTP/1.1 messages on plain sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The start line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// False if the connection ended before the message did.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// The last part of a request's path.
    pub fn item(&self) -> &str {
        let path = self.start.split(' ').nth(1).unwrap_or("");
        path.rsplit('/').next().unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection or of the time.
    fn more(&mut self) -> bool {
        let mut chunk = [0; 64 * 1024];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => {
                    self.buffer.extend_from_slice(&chunk[..n]);
                    return true;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_string());
            }
            if !self.more() {
                return None;
            }
        }
    }

    fn bytes(&mut self, count: usize, to: &mut Vec<u8>) -> bool {
        while self.buffer.len() < count {
            if !self.more() {
                to.append(&mut self.buffer);
                return false;
            }
        }
        to.extend(self.buffer.drain(..count));
        true
    }

    /// Reads one message. `None` if the connection ended before its head was whole.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.to_ascii_lowercase(), value.trim().to_string()));
            }
        }
        message.is_whole = self.body(&mut message);
        Some(message)
    }

    fn body(&mut self, message: &mut Message) -> bool {
        if message.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line() else {
                    return false;
                };
                let size = line.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else {
                    return false;
                };
                if size == 0 {
                    while let Some(line) = self.line() {
                        if line.is_empty() {
                            return true;
                        }
                    }
                    return false;
                }
                if !self.bytes(size, &mut message.body) || self.line().is_none() {
                    return false;
                }
            }
        }
        match message
            .header("content-length")
            .map(|text| text.parse::<usize>())
        {
            Some(Ok(length)) => self.bytes(length, &mut message.body),
            Some(Err(_)) => false,
            None if message.start.starts_with("HTTP/")
                && ![204, 304].contains(&message.status()) =>
            {
                while self.more() {}
                message.body.append(&mut self.buffer);
                true
            }
            None => true,
        }
    }
}

/// What a client saw of a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// A whole response.
    Whole(Message),
    /// The connection ended, or the time was over, without a whole response.
    None(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Answer::Whole(message) => message.status(),
            Answer::None(_) => 0,
        }
    }

    /// A short text for the record.
    pub fn text(&self) -> String {
        match self {
            Answer::Whole(message) => {
                let headers: Vec<String> = message
                    .headers
                    .iter()
                    .filter(|(name, _)| {
                        ["not-started", "proxy-status", "retry-after"].contains(&name.as_str())
                    })
                    .map(|(name, value)| format!("{name}: {value}"))
                    .collect();
                format!(
                    "{} [{}] {} bytes",
                    message.start,
                    headers.join("; "),
                    message.body.len()
                )
            }
            Answer::None(why) => format!("no whole answer: {why}"),
        }
    }
}

/// Sends one request on a connection of its own and waits for its answer.
pub fn call(to: SocketAddr, request: &[u8], wait: Duration) -> Answer {
    let begun = Instant::now();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, wait) else {
        return Answer::None("no connection".into());
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    if let Err(e) = stream.write_all(request) {
        return Answer::None(format!("not written: {e}"));
    }
    match Reader::new(stream).message() {
        Some(message) if message.is_whole => Answer::Whole(message),
        Some(message) => Answer::None(format!(
            "cut after {} bytes of its body",
            message.body.len()
        )),
        None if begun.elapsed() >= wait => Answer::None("out of time".into()),
        None => Answer::None("closed".into()),
    }
}

/// A response with a body.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
