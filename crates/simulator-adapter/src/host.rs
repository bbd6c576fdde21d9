//! Runs any number of balancer instances and writes one reply for each frame.

use crate::error::{FrameError, HostError};
use crate::frame::{Header, BATCH_HEADER};
use crate::record::{parse_records, Record, LIST_SLOTS};
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
    lists: [Vec<EndpointInfo>; LIST_SLOTS],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn handle_batch(&mut self, header: &Header, body: &[u8]) -> Result<&[u8], FrameError> {
        let records = parse_records(header, body)?;
        self.reply.clear();
        for record in records {
            self.handle_record(header.now, record);
        }
        Ok(self.reply.finish(header.batch))
    }

    fn handle_record(&mut self, now: f64, record: Record<'_>) {
        match record {
            Record::Provision {
                instance,
                seed,
                settings_json,
            } => self.provision(instance, seed, settings_json),
            Record::Halt { instance } => {
                self.instances.remove(&instance);
            }
            Record::EndpointList { slot, entries } => self.lists[usize::from(slot)] = entries,
            Record::EndpointsChanged {
                instance,
                kind,
                version,
                slot,
            } => {
                let list = std::mem::take(&mut self.lists[usize::from(slot) % LIST_SLOTS]);
                let endpoints = if kind == ListKind::Failed {
                    &[][..]
                } else {
                    &list[..]
                };
                self.handle_event(
                    now,
                    instance,
                    Event::EndpointsChanged {
                        kind,
                        version,
                        endpoints,
                    },
                );
                self.lists[usize::from(slot) % LIST_SLOTS] = list;
            }
            Record::Event { instance, event } => self.handle_event(now, instance, event),
        }
    }

    fn provision(&mut self, instance: u32, seed: u64, settings_json: &[u8]) {
        match parse_settings(settings_json) {
            Ok(settings) => {
                self.instances
                    .insert(instance, Balancer::new(settings, seed));
            }
            Err(error) => self.reply.fatal(instance, &error.to_string()),
        }
    }

    fn handle_event(&mut self, now: f64, instance: u32, event: Event<'_>) {
        // The settings of an unknown instance were invalid, which the reply has reported, or the
        // instance panicked or was stopped. Its events are ignored.
        let Some(balancer) = self.instances.get_mut(&instance) else {
            return;
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = handled {
            let message = panic_message(panic.as_ref());
            self.reply.fatal(instance, &format!("panic: {message}"));
            self.instances.remove(&instance);
            return;
        }
        for action in &self.actions {
            self.reply.action(instance, action);
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_default()
}

/// Fills `buffer` from the input. Returns `false` if the input ended before the first byte.
fn read_exact_unless_end(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
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

/// Reads frames from the input and writes a reply to each, until the input ends.
///
/// # Errors
///
/// Returns an error if input or output fails, or if a frame is malformed.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut head = [0; BATCH_HEADER];
    let mut body = Vec::new();
    while read_exact_unless_end(&mut input, &mut head)? {
        let header = Header::parse(&head)?;
        let size = header.size as usize - BATCH_HEADER;
        body.clear();
        // `take` grows the buffer with the bytes that arrive, not to the size that the header
        // claims.
        if input.by_ref().take(size as u64).read_to_end(&mut body)? < size {
            return Err(FrameError::TruncatedInput.into());
        }
        output.write_all(host.handle_batch(&header, &body)?)?;
        output.flush()?;
    }
    Ok(())
}
