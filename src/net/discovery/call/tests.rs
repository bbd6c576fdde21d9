use super::*;
use std::io::{Read, Write};

#[test]
fn a_fetched_list_may_run_over_several_lines() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let served = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut asked = [0; 1024];
        let _ = stream.read(&mut asked).expect("a request");
        let list = "{\"index\":41,\n\"snapshot\":true,\n\"endpoints\":[]}\n";
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        )
        .expect("it is sent");
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let got = runtime.block_on(fetch_snapshot(address)).expect("a list");
    assert_eq!((got.index, got.snapshot), (41, true));
    served.join().expect("it served");
}
