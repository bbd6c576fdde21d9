//! Case 10: a process that is told to end cuts answers that it is still writing, long before its time.
//!
//! An installation with four members and `stop_time = "10s"`. Callers ask for long answers, rest for some
//! seconds before they read on, and read all. With the disruption the process gets SIGTERM meanwhile.
//!
//! How much the system holds for a connection whose caller rests differs from machine to machine. So it
//! is measured first, with processes that are killed, and the answers are about as long.

use review_2::http::{response, Message};
use review_2::server::{self, Log, Reply};
use review_2::{accepts, free_address, run, Case, Program, Verdict};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const MEMBERS: usize = 4;
const STOP_TIME: Duration = Duration::from_secs(10);
/// When SIGTERM comes after the first request.
const TOLD_AFTER: Duration = Duration::from_secs(1);
/// How long callers rest, from the first request on. A caller may read nothing for `caller_idle`, 60 s.
const REST: Duration = Duration::from_millis(9_500);
const REST_MEASURED: Duration = Duration::from_secs(6);
/// An answer that no system holds whole, for the first measurement.
const VERY_LONG: usize = 40 << 20;
const MEASURED: usize = 40;
const LONGER: usize = 512 << 10;
/// Most answers are about as long as what the system held: from so much less than the least of it to so
/// much more than the most. Others are longer by steps, as the system may hold more the next time.
const NEAR: usize = 100;
const BEFORE: usize = 16 << 10;
const BEHIND: usize = 32 << 10;
const FAR: usize = 50;
const FAR_STEP: usize = 10 << 10;

fn main() {
    run(play)
}

/// A member's answer: the last part of the path says how long it is.
fn answer(request: &Message) -> Reply {
    let length = usize::from_str_radix(request.item(), 16).unwrap_or(0);
    Reply::Send(response("200 OK", "", &vec![b'r'; length]))
}

fn start(case: &Case, name: &str) -> Option<(Program, SocketAddr)> {
    let members: Vec<String> = (0..MEMBERS)
        .map(|number| {
            let address = server::start(case, &format!("m{number}"), &Log::default(), answer);
            format!("\"{address}\"")
        })
        .collect();
    let door = free_address();
    let text = format!(
        "[limits]\nstop_time = \"{}s\"\n\n[[listener]]\nname = \"public\"\naddress = \"{door}\"\n\n\
         [[pool]]\nname = \"files\"\nmembers = [{}]\n\n[[class]]\nname = \"default\"\n\n\
         [[route]]\npool = \"files\"\n",
        STOP_TIME.as_secs(),
        members.join(", ")
    );
    let file = case.put(&format!("{name}.toml"), &text);
    let program = case.start(name, &format!("serve --config {}", file.display()), &[]);
    let is_up = case.until(Duration::from_secs(15), || accepts(door));
    is_up.then_some((program, door))
}

/// What a caller got: the bytes of the body, or `None` if its request was not served.
type Got = Option<usize>;

/// Callers ask for answers of these lengths, rest, and read all.
fn ask(
    case: &Case,
    door: SocketAddr,
    lengths: &[usize],
    rest: Duration,
) -> Vec<thread::JoinHandle<Got>> {
    let begun = Instant::now();
    lengths
        .iter()
        .enumerate()
        .map(|(number, length)| {
            let (case, length) = (case.clone(), *length);
            thread::spawn(move || caller(&case, door, begun + rest, number, length))
        })
        .collect()
}

fn caller(case: &Case, door: SocketAddr, until: Instant, number: usize, length: usize) -> Got {
    // The requests come one after the other within 0.8 s.
    thread::sleep(Duration::from_millis(5 * number as u64));
    let mut stream = TcpStream::connect(door).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .ok()?;
    let request = format!("GET /files/{length:x} HTTP/1.1\r\nHost: files.example\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let (mut got, mut chunk, mut head) = (Vec::new(), vec![0; 64 << 10], None);
    while head.is_none_or(|head| got.len() < head + length) {
        match stream.read(&mut chunk) {
            Ok(read @ 1..) => got.extend_from_slice(&chunk[..read]),
            _ => break,
        }
        head = head.or_else(|| {
            got.windows(4)
                .position(|window| window == b"\r\n\r\n")
                .map(|at| at + 4)
        });
    }
    let head = head?;
    if !got.starts_with(b"HTTP/1.1 200") {
        return None;
    }
    case.log(format!(
        "caller {number}: {} of {length} bytes",
        got.len() - head
    ));
    Some(got.len() - head)
}

/// Asks a process for answers of one length, kills it while the callers rest, and returns how many bytes
/// of each answer the system held by then.
fn measure(case: &Case, name: &str, length: usize) -> Option<Vec<usize>> {
    let (program, door) = start(case, name)?;
    let callers = ask(case, door, &[length; MEASURED], REST_MEASURED);
    thread::sleep(REST_MEASURED - Duration::from_secs(1));
    program.signal("KILL");
    let got = callers
        .into_iter()
        .filter_map(|caller| caller.join().unwrap());
    let held: Vec<usize> = got.filter(|got| *got < length).collect();
    case.log(format!(
        "of {length} bytes that nobody reads the system holds {held:?}"
    ));
    (!held.is_empty()).then_some(held)
}

fn play(case: &Case) -> Verdict {
    // The second measurement is made with answers that are hardly longer than what the system holds.
    let held = measure(case, "first", VERY_LONG)
        .and_then(|held| measure(case, "second", held.iter().max()? + LONGER));
    let Some(held) = held else {
        return Verdict::CouldNotRun("how much the system holds could not be measured".into());
    };
    let (least, most) = (held.iter().min().unwrap(), held.iter().max().unwrap());
    let span = most - least + BEFORE + BEHIND;
    let near = (0..NEAR).map(|n| least - BEFORE + span * n / NEAR);
    let far = (0..FAR).map(|n| most + BEHIND + FAR_STEP * n);
    let lengths: Vec<usize> = near.chain(far).collect();
    let Some((program, door)) = start(case, "dewrun") else {
        return Verdict::CouldNotRun("the process does not listen".into());
    };
    let callers = ask(case, door, &lengths, REST);
    thread::sleep(TOLD_AFTER);
    let told = Instant::now();
    if case.trouble {
        program.signal("TERM");
    }
    let got: Vec<Got> = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    case.log(format!(
        "all callers have read to the end {:.1} s after SIGTERM",
        told.elapsed().as_secs_f64()
    ));
    let served = got.iter().flatten().count();
    let cut = lengths
        .iter()
        .zip(&got)
        .filter(|(length, got)| got.is_some_and(|got| got < **length))
        .count();
    if served < lengths.len() / 2 {
        return Verdict::CouldNotRun(format!(
            "only {served} of {} requests were served",
            lengths.len()
        ));
    }
    if case.trouble && told.elapsed() >= STOP_TIME {
        return Verdict::CouldNotRun(
            "the callers were too slow for the time that the process has".into(),
        );
    }
    if cut == 0 {
        Verdict::Held(format!("all of {served} answers came whole"))
    } else {
        Verdict::Broken(format!(
            "{cut} of {served} answers were cut before the process's time was over"
        ))
    }
}
