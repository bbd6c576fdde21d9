//! What a play has shown, judged from outside: by what clients, endpoints and the system saw.

use super::client::{Call, CallEnd};
use super::cold::{pushed_over, warm_up};
use super::notice::MAX_NOTICE;
use super::records::{Cause, Life, ListChange, Records, Usage};
use super::schedule::{Listed, ENDPOINTS};
use super::Deployment;
use crate::audit::{ClientRecord, RequestLedger, Violation, EffectClass};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// Nothing new goes to an endpoint so long after the notice that it drains or is gone.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// A request may be recorded so long after it was sent, on a busy machine.
const RECORD_LAG: Duration = Duration::from_millis(200);
/// A process may end so long after its time.
const STOP_LAG: Duration = Duration::from_millis(600);
/// An endpoint that is ready and well for so long is known to be, and may be sent what it bears.
const SETTLED: Duration = Duration::from_secs(2);
/// Requests of a second below which nothing is said of it.
const MIN_CALLS_PER_SECOND: usize = 20;
/// Memory that a process may hold.
const MAX_MEMORY_KIB: usize = 64 * 1024;
/// Descriptors that a process may hold: its own, the clients', and connections to endpoints.
const MAX_DESCRIPTORS: usize = 120;

/// Something that must not be.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// A rule was broken.
    Rule(Violation),
    /// An answer of another request.
    WrongAnswer {
        /// The request.
        id: String,
        /// What came.
        body: String,
    },
    /// No answer came.
    Lost {
        /// The request.
        id: String,
        /// After the start of the shutdown, in milliseconds; `None` before it.
        after_stop_ms: Option<u128>,
        /// It reached an endpoint.
        ran: bool,
        /// It was the first on its connection.
        is_first: bool,
    },
    /// An endpoint got a request after it was told to be draining or gone.
    Late {
        /// The endpoint.
        endpoint: usize,
        /// How long after the notice, in milliseconds.
        late_ms: u128,
    },
    /// In this second of the play less than half was served, though an endpoint was ready and well.
    Starved {
        /// The second, from 0.
        second: usize,
        /// Requests that were served.
        served: usize,
        /// Requests that ended.
        ended: usize,
    },
    /// A process did not end in time, ended with a failure, or ended by itself.
    Stop {
        /// Why it ended.
        cause: Cause,
        /// How long it took; `None` if it was killed.
        took: Option<Duration>,
        /// Its exit code said success.
        is_success: bool,
    },
    /// A process held too much memory, or too many descriptors.
    Usage {
        /// Resident memory.
        memory_kib: usize,
        /// Open descriptors.
        descriptors: usize,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Rule(breach) => breach.fmt(f),
            Finding::WrongAnswer { id, body } => write!(f, "request {id} got the answer {body:?}"),
            Finding::Lost {
                id,
                after_stop_ms,
                ran,
                is_first,
            } => write!(
                f,
                "rule 1: request {id} lost: after_stop_ms={after_stop_ms:?} ran={ran} first={is_first}"
            ),
            Finding::Late { endpoint, late_ms } => {
                write!(f, "rule 3: endpoint {endpoint} got a request {late_ms} ms after the notice")
            }
            Finding::Starved {
                second,
                served,
                ended,
            } => write!(f, "second {second}: {served} of {ended} served"),
            Finding::Stop {
                cause,
                took,
                is_success,
            } => write!(
                f,
                "a process ended after {took:?}, cause={cause:?} success={is_success}"
            ),
            Finding::Usage {
                memory_kib,
                descriptors,
            } => write!(f, "a process held {memory_kib} KiB and {descriptors} descriptors"),
        }
    }
}

/// Everything that must not be, in what a play recorded.
pub fn judge(records: &Records) -> Vec<Finding> {
    let ran: HashSet<&str> = records.ran.iter().map(|ran| ran.id.as_str()).collect();
    let mut findings = Vec::new();
    findings.extend(wrong_answers(&records.calls));
    findings.extend(lost(records, &ran));
    findings.extend(broken_rules(records));
    findings.extend(lost_and_ran_again(records));
    findings.extend(late(records));
    findings.extend(pushed_over(records).map(Finding::Rule));
    findings.extend(starved(records));
    findings.extend(stops(&records.lives));
    findings.extend(records.usage.iter().filter_map(too_much));
    findings
}

fn wrong_answers(calls: &[Call]) -> impl Iterator<Item = Finding> + '_ {
    calls.iter().filter_map(|call| match &call.end {
        CallEnd::Answered(200, body) if body != call.id.as_bytes() => Some(Finding::WrongAnswer {
            id: call.id.clone(),
            body: String::from_utf8_lossy(body).into_owned(),
        }),
        _ => None,
    })
}

/// Requests without an answer that should have had one.
fn lost<'a>(records: &'a Records, ran: &'a HashSet<&str>) -> impl Iterator<Item = Finding> + 'a {
    let lost = records.calls.iter().filter(|c| c.end == CallEnd::Lost);
    lost.filter_map(|call| {
        let life = records.life(call);
        let has_run = ran.contains(call.id.as_str());
        if may_be_lost(records, life, call, has_run) {
            return None;
        }
        let stop = &life.stop;
        let is_stopping = call.ended > stop.begun;
        Some(Finding::Lost {
            id: call.id.clone(),
            after_stop_ms: is_stopping.then(|| (call.ended - stop.begun).as_millis()),
            ran: has_run,
            is_first: call.is_first,
        })
    })
}

/// A request that crosses the close of a connection at rest has not been taken: on the platform
/// connections are closed so during a shutdown or a drain, and for a crowd. A process that is
/// killed outright loses what it held.
fn may_be_lost(records: &Records, life: &Life, call: &Call, has_run: bool) -> bool {
    let stop = &life.stop;
    if stop.cause == Cause::Killed {
        let killed = stop.begun + stop.took.unwrap_or_default();
        return call.ended >= stop.begun && (call.begun <= killed || !has_run);
    }
    let is_closing = call.ended > life.closes_from();
    let is_crossing_allowed =
        !records.crowds.is_empty() || (is_closing && records.deployment == Deployment::Platform);
    // What is begun while the last answers are written finds a process that is as good as gone.
    let is_after_end = stop
        .took
        .is_some_and(|took| call.begun + RECORD_LAG > stop.begun + took);
    !has_run && (is_crossing_allowed || is_after_end)
}

/// Rule 2 for the requests that were not answered, also where they may be lost.
fn lost_and_ran_again(records: &Records) -> impl Iterator<Item = Finding> {
    let mut times: HashMap<&str, usize> = HashMap::new();
    for ran in &records.ran {
        *times.entry(&ran.id).or_default() += 1;
    }
    let lost = records.calls.iter().filter(|c| c.end == CallEnd::Lost);
    let again = lost.filter_map(|call| {
        let count = times.get(call.id.as_str()).copied().unwrap_or(0);
        let is_broken = call.effect != EffectClass::Idempotent && count > 1;
        is_broken.then(|| Finding::Rule(Violation::RepeatedExecution(call.id.clone(), count)))
    });
    again.collect::<Vec<_>>().into_iter()
}

/// Rules 1 and 2 for the requests that were answered.
fn broken_rules(records: &Records) -> impl Iterator<Item = Finding> {
    let asked = records.calls.iter().filter_map(|call| match &call.end {
        CallEnd::Answered(status, _) => Some(ClientRecord {
            id: call.id.clone(),
            effect: call.effect,
            statuses: vec![*status],
        }),
        CallEnd::Lost => None,
    });
    let books = RequestLedger {
        requests: asked.collect(),
        executions: records.ran.clone(),
        ..RequestLedger::default()
    };
    books.audit().into_iter().map(Finding::Rule)
}

/// Rule 3: for each endpoint the worst request while a list held it out.
fn late(records: &Records) -> Vec<Finding> {
    let calls: HashMap<&str, &Call> = records.calls.iter().map(|c| (c.id.as_str(), c)).collect();
    (0..ENDPOINTS)
        .filter_map(|endpoint| {
            let arrivals = records.ran.iter().filter(|ran| ran.backend == endpoint);
            let late = arrivals.filter_map(|ran| {
                let call = calls.get(ran.id.as_str());
                let lists = lists_for(records, call.map(|call| records.life(call)));
                lateness(lists, endpoint, ran.at)
            });
            late.max().map(|late| Finding::Late {
                endpoint,
                late_ms: late.as_millis(),
            })
        })
        .collect()
}

/// The lists that a process was notified of. One of an installation reads no file once it is ending.
fn lists_for<'a>(records: &'a Records, life: Option<&Life>) -> &'a [ListChange] {
    let Some(life) = life.filter(|_| records.deployment == Deployment::Fleet) else {
        return &records.lists;
    };
    let notified = records
        .lists
        .partition_point(|change| change.begun < life.stop.begun);
    &records.lists[..notified]
}

/// How long after the grace an arrival came, if the lists in force held its endpoint out.
fn lateness(lists: &[ListChange], endpoint: usize, at: Instant) -> Option<Duration> {
    let begun = lists.iter().rposition(|change| change.begun <= at)?;
    // From the first list on that has held it out ever since.
    let first_out = lists[..=begun]
        .iter()
        .rposition(|change| change.list[endpoint] == Listed::Ready)
        .map_or(0, |ready| ready + 1);
    // A later list that was notified sooner notifies of it as well.
    let notified = lists
        .get(first_out..=begun)?
        .iter()
        .map(|c| c.notified)
        .min()?;
    let since = at.checked_duration_since(notified)?;
    (since > DRAIN_GRACE + RECORD_LAG).then_some(since)
}

/// Requests that ended in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// Those that were answered with 200.
    pub served: usize,
    /// All.
    pub ended: usize,
    /// Requests that reached each endpoint.
    pub arrived: [usize; ENDPOINTS],
}

impl Second {
    /// Whether less than half was served, of enough.
    pub fn has_fallen(&self) -> bool {
        self.ended >= MIN_CALLS_PER_SECOND && self.served * 2 < self.ended
    }

    fn add(&mut self, call: &Call) {
        self.ended += 1;
        self.served += usize::from(matches!(call.end, CallEnd::Answered(200, _)));
    }
}

/// What each whole second came to, until the last process was told to end.
pub fn seconds(records: &Records) -> Vec<Second> {
    let mut seconds: Vec<Second> = (0..whole_seconds(records))
        .map(|number| second(records, number, |_| true))
        .collect();
    for ran in &records.ran {
        let number = ran.at.saturating_duration_since(records.begun).as_secs() as usize;
        if let Some(second) = seconds.get_mut(number) {
            second.arrived[ran.backend] += 1;
        }
    }
    seconds
}

fn second(records: &Records, number: usize, counts: impl Fn(&Call) -> bool) -> Second {
    let (from, until) = span(records, number);
    let mut second = Second::default();
    let ended = records
        .calls
        .iter()
        .filter(|c| c.ended >= from && c.ended < until);
    ended
        .filter(|call| counts(call))
        .for_each(|call| second.add(call));
    second
}

fn whole_seconds(records: &Records) -> usize {
    let stops = records.lives.iter().map(|life| life.stop.begun);
    stops
        .max()
        .map_or(0, |stop| (stop - records.begun).as_secs() as usize)
}

fn span(records: &Records, second: usize) -> (Instant, Instant) {
    let from = records.begun + Duration::from_secs(second as u64);
    (from, from + Duration::from_secs(1))
}

/// Seconds in which ready endpoints that are well serve under half of what is asked.
fn starved(records: &Records) -> Vec<Finding> {
    (0..whole_seconds(records))
        .filter_map(|second| starved_second(records, second))
        .collect()
}

fn starved_second(records: &Records, number: usize) -> Option<Finding> {
    let (from, until) = span(records, number);
    let is_crowded = records
        .crowds
        .iter()
        .any(|at| *at < until && *at + SETTLED > from);
    let has_good = (0..ENDPOINTS).any(|endpoint| is_good(records, endpoint, from, until));
    let second = second(records, number, |call| {
        is_settled(records, records.life(call), from, until)
    });
    (second.has_fallen() && has_good && !is_crowded).then_some(Finding::Starved {
        second: number,
        served: second.served,
        ended: second.ended,
    })
}

/// Whether a process serves in a whole span, and has known its endpoints for some time if it is a
/// successor.
fn is_settled(records: &Records, life: &Life, from: Instant, until: Instant) -> bool {
    let is_successor = life.begun > records.begun;
    let outages = records.outages.iter().filter(|(_, end)| *end > life.begun);
    let listed = outages
        .filter(|(begun, _)| *begun < until)
        .map(|(_, end)| *end + MAX_NOTICE);
    let listed = listed.max().unwrap_or(life.begun);
    let is_new = is_successor && listed + SETTLED > from;
    !is_new && life.stop.begun >= until
}

/// Whether an endpoint is ready and well in a span, and was so for some time before.
fn is_good(records: &Records, endpoint: usize, from: Instant, until: Instant) -> bool {
    let from = from.checked_sub(SETTLED).unwrap_or(from);
    let lists = &records.lists;
    let first = lists.iter().rposition(|change| change.notified <= from);
    let is_listed = lists[first.unwrap_or(0)..]
        .iter()
        .take_while(|change| change.begun < until)
        .all(|change| change.list[endpoint] == Listed::Ready);
    let troubles = &records.troubles;
    let first = troubles
        .iter()
        .rposition(|(at, _)| *at <= from)
        .unwrap_or(0);
    let is_well = troubles[first..]
        .iter()
        .take_while(|(at, _)| *at < until)
        .all(|(_, trouble)| *trouble != Some(endpoint));
    let mut endpoint_restarts = records
        .endpoint_restarts
        .iter()
        .filter(|restart| restart.endpoint == endpoint);
    let is_warm = endpoint_restarts
        .all(|restart| restart.ended >= until || restart.started + warm_up(records.deployment) <= from);
    is_listed && is_well && is_warm
}

fn stops(lives: &[Life]) -> impl Iterator<Item = Finding> + '_ {
    lives.iter().map(|life| life.stop).filter_map(|stop| {
        let is_as_it_should = match stop.cause {
            Cause::Killed => true,
            Cause::Itself => false,
            Cause::Terminated => {
                let is_in_time = stop.took.is_some_and(|took| took <= stop.limit + STOP_LAG);
                is_in_time && stop.is_success
            }
        };
        (!is_as_it_should).then_some(Finding::Stop {
            cause: stop.cause,
            took: stop.took,
            is_success: stop.is_success,
        })
    })
}

fn too_much(usage: &Usage) -> Option<Finding> {
    let is_too_much = usage.memory_kib > MAX_MEMORY_KIB || usage.descriptors > MAX_DESCRIPTORS;
    is_too_much.then_some(Finding::Usage {
        memory_kib: usage.memory_kib,
        descriptors: usage.descriptors,
    })
}
