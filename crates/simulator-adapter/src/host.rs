//! Any number of balancers behind the wire: one frame in, one reply out.

use crate::error::{FrameError, HostError};
use crate::frame::{Header, BATCH_HEADER};
use crate::record::{parse_records, Record, LISTS};
use crate::reply::Reply;
use crate::settings::parse_settings;
use dewrun_balancer::{Action, Balancer, EndpointInfo, Event, ListKind};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Balancer>,
    lists: [Vec<EndpointInfo>; LISTS],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn batch(&mut self, header: &Header, body: &[u8]) -> Result<&[u8], FrameError> {
        let records = parse_records(header, body)?;
        self.reply.clear();
        for record in records {
            self.record(header.now, record);
        }
        Ok(self.reply.finish(header.batch))
    }

    fn record(&mut self, now: f64, record: Record<'_>) {
        match record {
            Record::Provision {
                instance,
                seed,
                conf,
            } => self.provision(instance, seed, conf),
            Record::Halt { instance } => {
                self.instances.remove(&instance);
            }
            Record::Manifest { buffer, entries } => self.lists[usize::from(buffer)] = entries,
            Record::EndpointsChanged {
                instance,
                kind,
                version,
                buffer,
            } => {
                let list = std::mem::take(&mut self.lists[usize::from(buffer) % LISTS]);
                let endpoints = if kind == ListKind::Failed {
                    &[][..]
                } else {
                    &list[..]
                };
                self.event(
                    now,
                    instance,
                    Event::EndpointsChanged {
                        kind,
                        version,
                        endpoints,
                    },
                );
                self.lists[usize::from(buffer) % LISTS] = list;
            }
            Record::Event { instance, event } => self.event(now, instance, event),
        }
    }

    fn provision(&mut self, instance: u32, seed: u64, conf: &[u8]) {
        match parse_settings(conf) {
            Ok(settings) => {
                self.instances
                    .insert(instance, Balancer::new(settings, seed));
            }
            Err(error) => self.reply.fatal(instance, &error.to_string()),
        }
    }

    fn event(&mut self, now: f64, instance: u32, event: Event<'_>) {
        // An instance whose settings could not be used has said so; what follows for it is passed
        // over.
        let Some(balancer) = self.instances.get_mut(&instance) else {
            return;
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            let text = panic_text(panic.as_ref());
            self.reply.fatal(instance, &format!("panic: {text}"));
            self.instances.remove(&instance);
            return;
        }
        for action in &self.actions {
            self.reply.action(instance, action);
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_default()
}

/// Fills `buffer` from the input; `false` if the input ended before the first byte.
fn read_exact_or_end(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "input ends inside a frame",
                ))
            }
            Ok(n) => filled += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(true)
}

/// Answers frames from the input on the output, until the input ends.
///
/// # Errors
///
/// If input or output fails, or a frame cannot be read.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut head = [0; BATCH_HEADER];
    let mut body = Vec::new();
    while read_exact_or_end(&mut input, &mut head)? {
        let header = Header::parse(&head)?;
        let size = header.size as usize - BATCH_HEADER;
        body.clear();
        // `take` grows the buffer by what really arrives, not by what the header claims.
        if input.by_ref().take(size as u64).read_to_end(&mut body)? < size {
            return Err(FrameError::EndOfInput.into());
        }
        output.write_all(host.batch(&header, &body)?)?;
        output.flush()?;
    }
    Ok(())
}
