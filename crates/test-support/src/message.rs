//! HTTP/1.1 messages that are read from a socket.

use std::io::BufRead;

/// One request or response as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    /// The start line and the header lines, with the empty line that ends them.
    pub head: String,
    /// The body, without chunk framing.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a head without its body; returns `None` at the end of the connection.
    pub fn read_head(from: &mut impl BufRead) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if from.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        Some(Message {
            head,
            body: Vec::new(),
        })
    }

    /// Reads a message; returns `None` at the end of the connection, also in the middle of a
    /// message. A message with neither a length nor chunks has no body.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let mut line = String::new();
                from.read_line(&mut line).ok().filter(|n| *n > 0)?;
                let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
                let start = message.body.len();
                message.body.resize(start + size, 0);
                from.read_exact(&mut message.body[start..]).ok()?;
                from.read_exact(&mut [0; 2]).ok()?;
                if size == 0 {
                    return Some(message);
                }
            }
        }
        let length = message
            .header("content-length")
            .map_or(0, |text| text.parse().expect("a length"));
        message.body.resize(length, 0);
        from.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status")
    }
}
