//! HTTP/1.1 messages as they are read from a socket.

use std::io::BufRead;

/// One message as it was read.
#[derive(Clone, Debug)]
pub struct Message {
    /// From its first line to the empty one.
    pub head: String,
    /// What follows, by its length.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a head alone; `None` at the end of the connection.
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

    /// Reads a message; `None` at the end of the connection, also in the middle of one. With
    /// neither a length nor chunks it has no body.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(from)?;
        if message.header("transfer-encoding") == Some("chunked") {
            loop {
                let mut line = String::new();
                from.read_line(&mut line).ok().filter(|n| *n > 0)?;
                let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
                let begun = message.body.len();
                message.body.resize(begun + size, 0);
                from.read_exact(&mut message.body[begun..]).ok()?;
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

    /// The value of the first header of this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find_map(|(key, value)| key.eq_ignore_ascii_case(name).then_some(value))
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status")
    }
}
