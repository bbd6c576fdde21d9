//! The codec is checked against the published example frames of the wire format.

use dewrun_balancer::*;
use dewrun_simulator_adapter::{parse_records, Header, Record, Reply, BATCH_HEADER};

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex
        .chars()
        .filter_map(|c| c.to_digit(16))
        .map(|d| d as u8)
        .collect();
    digits
        .chunks(2)
        .map(|pair| pair[0] << 4 | pair[1])
        .collect()
}

fn parse_header(frame: &[u8]) -> (Header, &[u8]) {
    let head: &[u8; BATCH_HEADER] = frame[..BATCH_HEADER].try_into().expect("a header");
    (
        Header::parse(head).expect("a valid header"),
        &frame[BATCH_HEADER..],
    )
}

fn frame_of(hex: &str, count: u32) -> Vec<u8> {
    let records = decode_hex(hex);
    let mut frame = count.to_be_bytes().to_vec();
    frame.extend((records.len() as u32 + 20).to_be_bytes());
    frame.extend(244.0f64.to_be_bytes());
    frame.extend(12u32.to_be_bytes());
    frame.extend(records);
    frame
}

#[test]
fn reads_the_example_batch() {
    let frame = decode_hex(
        "00000003 00000057 40c06e2000000000 0000000c
         02 00000003 00016b865d3a91c4 91f03b7c55d20a64 0000 00 4028000000000000 01 406e000000000000
         06 00000003 000000000000004d
         05 00000005 000197530e6f2b19",
    );
    let (header, body) = parse_header(&frame);
    assert_eq!((header.now, header.batch), (8412.25, 12));
    let id = 0x0001_6b86_5d3a_91c4;
    let request = Event::Request {
        cell: None,
        id,
        key: Some(0x91f0_3b7c_55d2_0a64),
        class: 0,
        tenant: 0,
        hint_ms: Some(12.0),
        is_client_retry: false,
        write: false,
        ttl_ms: 240.0,
    };
    let disconnected = Event::ClientDisconnected {
        request: 0x0001_9753_0e6f_2b19,
    };
    assert_eq!(
        parse_records(&header, body).expect("valid records"),
        [
            Record::Event {
                instance: 3,
                event: request
            },
            Record::Event {
                instance: 3,
                event: Event::Timer { token: 0x4d }
            },
            Record::Event {
                instance: 5,
                event: disconnected
            },
        ]
    );
}

#[test]
fn reads_the_example_list_and_outcome() {
    let frame = frame_of(
        "0a 00 00000002
         03124a07 0000 00 0000 02 3f800000 0000000000000000
         2c9011f2 0000 00 0000 02 3fc00000 40b7d40000000000
         01 00000003 02 00000029 00
         04 00000003 00016b865d3a91c4 00 03124a07 0000 4032800000000000 01 00",
        3,
    );
    let (header, body) = parse_header(&frame);
    let records = parse_records(&header, body).expect("valid records");
    let Record::EndpointList { slot: 0, entries } = &records[0] else {
        panic!("{:?}", records[0])
    };
    assert_eq!(
        entries.iter().map(|e| e.weight).collect::<Vec<_>>(),
        [1.0, 1.5]
    );
    assert_eq!(
        entries.iter().map(|e| e.started_at).collect::<Vec<_>>(),
        [None, Some(6100.0)]
    );
    let changed = Record::EndpointsChanged {
        instance: 3,
        kind: ListKind::Cached,
        version: 41,
        slot: 0,
    };
    assert_eq!(records[1], changed);
    let Record::Event {
        event:
            Event::Outcome {
                endpoint,
                outcome,
                latency_ms,
                ended,
                ..
            },
        ..
    } = records[2]
    else {
        panic!("{:?}", records[2])
    };
    assert_eq!(
        (endpoint, outcome, latency_ms, ended),
        (0x0312_4a07, Outcome::Ok, 18.5, true)
    );
}

#[test]
fn writes_the_example_replies() {
    let mut reply = Reply::default();
    reply.clear();
    assert_eq!(reply.finish(1), decode_hex("0000000c 00000000 00000001"));
    reply.clear();
    let request = 0x0001_6b86_5d3a_91c4;
    reply.action(
        3,
        &Action::Send {
            request,
            endpoint: 0x0312_4a07,
            timeout_ms: 80.0,
            connect_timeout_ms: 0.0,
        },
    );
    reply.action(
        3,
        &Action::SetTimer {
            after_ms: 500.0,
            token: 77,
        },
    );
    reply.action(5, &Action::Log("two servers known".into()));
    let expected = decode_hex(
        "00000052 00000003 0000000c
         40 00000003 00016b865d3a91c4 03124a07 4054000000000000
         44 00000003 407f400000000000 000000000000004d
         48 00000005 0011 74776f2073657276657273206b6e6f776e",
    );
    assert_eq!(reply.finish(12), expected);
}

#[test]
fn reads_every_field_of_the_events() {
    let frame = frame_of(
        "02 00000003 0000000000000007 0000000000000000 0102 05 4028000000000000 06 406e000000000000
         03 00000003 0000000000000007 02 4022800000000000 03124a07
         04 00000003 0000000000000007 02 03124a07 00fd 4032800000000000 00 05 3f000000 3f800000 40000000
            40800000 41000000
         07 00000003 2c9011f2 3ff8000000000000 00fc 01 3f000000
         08 00000003 0002 0004 68692037",
        5,
    );
    let (header, body) = parse_header(&frame);
    let records = parse_records(&header, body).expect("valid records");
    let parsed: Vec<_> = records
        .into_iter()
        .map(|record| match record {
            Record::Event { instance: 3, event } => event,
            other => panic!("{other:?}"),
        })
        .collect();
    let report = |values: &[f32]| {
        let mut report = Report {
            len: values.len() as u8,
            ..Report::default()
        };
        report.values[..values.len()].copy_from_slice(values);
        report
    };
    let expected = [
        // A hint without its flag bit is absent, and key 0 means no key.
        Event::Request {
            cell: None,
            id: 7,
            key: None,
            class: 5,
            tenant: 258,
            hint_ms: None,
            is_client_retry: true,
            write: true,
            ttl_ms: 240.0,
        },
        Event::FirstByte {
            request: 7,
            attempt: 2,
            endpoint: 0x0312_4a07,
            latency_ms: 9.25,
        },
        // Values of a report beyond the fourth are ignored.
        Event::Outcome {
            request: 7,
            attempt: 2,
            endpoint: 0x0312_4a07,
            outcome: Outcome::Timeout,
            latency_ms: 18.5,
            ended: false,
            report: report(&[0.5, 1.0, 2.0, 4.0]),
        },
        Event::ProbeResult {
            endpoint: 0x2c90_11f2,
            outcome: Outcome::ConnectFailed,
            latency_ms: 1.5,
            report: report(&[0.5]),
        },
        Event::Message {
            from: 2,
            bytes: b"hi 7",
        },
    ];
    assert_eq!(parsed, expected);
}
