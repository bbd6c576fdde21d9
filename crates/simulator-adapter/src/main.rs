//! Hosts any number of balancers behind the bench's wire: one frame in on standard input, one reply
//! out on standard output, until the input ends.

#![forbid(unsafe_code)]

use dewrun_balancer::Balancer;
use dewrun_balancer::{Action, EndpointInfo, Event, ListKind};
use dewrun_simulator_adapter::{
    parse_records, parse_settings, Header, Malformed, Record, Reply, BATCH_HEADER,
};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Balancer>,
    lists: [Vec<EndpointInfo>; 16],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn batch(&mut self, header: &Header, body: &[u8]) -> Result<&[u8], Malformed> {
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
                let list = std::mem::take(&mut self.lists[usize::from(buffer) % 16]);
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
                self.lists[usize::from(buffer) % 16] = list;
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
            Err(why) => self.reply.fatal(instance, &why),
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
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)))
        {
            let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
            let text = text
                .or_else(|| panic.downcast_ref::<String>().cloned())
                .unwrap_or_default();
            self.reply.fatal(instance, &format!("panic: {text}"));
            self.instances.remove(&instance);
            return;
        }
        for action in &self.actions {
            self.reply.action(instance, action);
        }
    }
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

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut host = Host::default();
    let mut head = [0; BATCH_HEADER];
    let mut body = Vec::new();
    while read_exact_or_end(&mut input, &mut head)? {
        let header = Header::parse(&head)?;
        let size = header.size as usize - BATCH_HEADER;
        body.clear();
        // `take` grows the buffer by what really arrives, not by what the header claims.
        if input.by_ref().take(size as u64).read_to_end(&mut body)? < size {
            return Err("malformed frame: input ends inside a frame".into());
        }
        output.write_all(host.batch(&header, &body)?)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("dewrun-simulator-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}
