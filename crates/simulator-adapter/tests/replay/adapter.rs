//! The simulator adapter as a process, which reads frames from its standard input and writes
//! replies to its standard output.

use std::io::{Read, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const PROGRAM: &str = env!("CARGO_BIN_EXE_dewrun-simulator-adapter");
const BATCH_HEADER: usize = 20;
const REPLY_HEADER: usize = 12;

/// A batch of records that share one time of the clock.
pub struct Batch {
    pub now_ms: f64,
    pub records: Vec<Vec<u8>>,
}

/// A record of a reply, with the fields that the generator needs.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyRecord {
    Send {
        request: u64,
        endpoint: u32,
        timeout_ms: f64,
    },
    Reject {
        request: u64,
    },
    Fail {
        request: u64,
    },
    Cancel {
        request: u64,
        attempt: u8,
    },
    SetTimer {
        after_ms: f64,
        token: u64,
    },
    Log,
    Other,
}

/// The reply to one batch.
pub struct BatchReply {
    pub bytes_without_log_text: Vec<u8>,
    pub records: Vec<(u32, ReplyRecord)>,
}

/// A running process of the adapter.
pub struct Adapter {
    process: Child,
    input: ChildStdin,
    output: ChildStdout,
    batch: u32,
}

impl Adapter {
    /// Starts the process.
    pub fn start() -> Adapter {
        let mut process = Command::new(PROGRAM)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let input = process.stdin.take().expect("its standard input");
        let output = process.stdout.take().expect("its standard output");
        Adapter {
            process,
            input,
            output,
            batch: 0,
        }
    }

    /// Sends a batch, and reads the reply and checks its number.
    pub fn exchange(&mut self, batch: &Batch) -> BatchReply {
        self.batch += 1;
        let size = BATCH_HEADER + batch.records.iter().map(Vec::len).sum::<usize>();
        let mut frame = (batch.records.len() as u32).to_be_bytes().to_vec();
        frame.extend((size as u32).to_be_bytes());
        frame.extend(batch.now_ms.to_be_bytes());
        frame.extend(self.batch.to_be_bytes());
        batch.records.iter().for_each(|record| frame.extend(record));
        self.input.write_all(&frame).expect("the frame is written");
        self.input.flush().expect("the frame is written");
        let mut header = [0; REPLY_HEADER];
        self.output.read_exact(&mut header).expect("a reply");
        let mut fields = Fields { bytes: &header };
        let (size, count, number) = (fields.u32(), fields.u32(), fields.u32());
        assert_eq!(number, self.batch);
        let mut body = vec![0; size as usize - REPLY_HEADER];
        self.output
            .read_exact(&mut body)
            .expect("the rest of the reply");
        read_reply(&body, count)
    }
}

impl Drop for Adapter {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn read_reply(body: &[u8], count: u32) -> BatchReply {
    let mut fields = Fields { bytes: body };
    let mut reply = BatchReply {
        bytes_without_log_text: count.to_be_bytes().to_vec(),
        records: Vec::new(),
    };
    for _ in 0..count {
        let before = fields.bytes;
        let (code, instance) = (fields.u8(), fields.u32());
        let record = fields.record(code);
        let hashed_len = match record {
            ReplyRecord::Log => 5,
            _ => before.len() - fields.bytes.len(),
        };
        reply.bytes_without_log_text.extend(&before[..hashed_len]);
        reply.records.push((instance, record));
    }
    assert!(fields.bytes.is_empty(), "bytes after the last record");
    reply
}

/// A cursor over big-endian fields.
struct Fields<'a> {
    bytes: &'a [u8],
}

impl Fields<'_> {
    fn array<const N: usize>(&mut self) -> [u8; N] {
        let (head, rest) = self.bytes.split_at(N);
        self.bytes = rest;
        head.try_into().expect("an array of N bytes")
    }

    fn u8(&mut self) -> u8 {
        u8::from_be_bytes(self.array())
    }

    fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.array())
    }

    fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.array())
    }

    fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.array())
    }

    fn f64(&mut self) -> f64 {
        f64::from_be_bytes(self.array())
    }

    fn record(&mut self, code: u8) -> ReplyRecord {
        match code {
            64 => ReplyRecord::Send {
                request: self.u64(),
                endpoint: self.u32(),
                timeout_ms: self.f64(),
            },
            65 => {
                let request = self.u64();
                self.f64();
                ReplyRecord::Reject { request }
            }
            66 => ReplyRecord::Fail {
                request: self.u64(),
            },
            67 => ReplyRecord::Cancel {
                request: self.u64(),
                attempt: self.u8(),
            },
            68 => ReplyRecord::SetTimer {
                after_ms: self.f64(),
                token: self.u64(),
            },
            72 => {
                let length = usize::from(self.u16());
                self.bytes = &self.bytes[length..];
                ReplyRecord::Log
            }
            74 => {
                self.u8();
                ReplyRecord::Other
            }
            75 => ReplyRecord::Other,
            other => panic!("a record with code {other}: the adapter writes no such action"),
        }
    }
}
