//! Open-loop load from threads with blocking sockets, which keep the client's own overhead small.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;

/// Number of threads of each variant, with one connection each.
const THREADS_PER_VARIANT: u32 = 8;

/// Size of the request's body, in bytes.
const BODY_BYTES: usize = 64;

/// One measured route to the upstream.
#[derive(Clone, Copy)]
pub struct Variant {
    pub name: &'static str,
    pub address: SocketAddr,
    pub path: &'static str,
}

/// Latencies of one variant, in microseconds, and the number of its failed calls.
pub struct Latencies {
    pub times: Histogram<u64>,
    pub failed: u64,
}

/// Sends `rate` calls per second to every variant for `time`.
pub fn run(variants: &[Variant], rate: u32, time: Duration) -> Vec<Latencies> {
    let start = Instant::now() + Duration::from_millis(50);
    let mut threads = Vec::new();
    for (index, variant) in variants.iter().copied().enumerate() {
        for thread in 0..THREADS_PER_VARIANT {
            let offset = thread * variants.len() as u32 + index as u32;
            let first = start + Duration::from_secs(1) * offset / (rate * variants.len() as u32);
            let interval = Duration::from_secs(1) * THREADS_PER_VARIANT / rate;
            let end = start + time;
            threads.push((index, thread::spawn(move || send_calls(variant, first, interval, end))));
        }
    }
    let empty = || Latencies { times: histogram(), failed: 0 };
    let mut results: Vec<_> = variants.iter().map(|_| empty()).collect();
    for (index, thread) in threads {
        let part = thread.join().expect("a load thread ends");
        results[index].times.add(&part.times).expect("equal bounds");
        results[index].failed += part.failed;
    }
    results
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

fn send_calls(variant: Variant, first: Instant, interval: Duration, end: Instant) -> Latencies {
    let mut latencies = Latencies { times: histogram(), failed: 0 };
    let mut stream = TcpStream::connect(variant.address).expect("the server listens");
    stream.set_nodelay(true).expect("a connected socket");
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: test\r\nx-request-id: 3f1c6e0a-7d1b-4d57-9d0e-0d6c6f4f2a11\r\n\
         content-type: text/plain\r\ncontent-length: {BODY_BYTES}\r\n\r\n{}",
        variant.path,
        "x".repeat(BODY_BYTES),
    );
    let mut due = first;
    while due < end {
        // The latency of a call that a slow predecessor delayed counts from its due time; oversleep
        // of the thread itself does not count.
        let now = Instant::now();
        let began = if now < due {
            thread::sleep(due - now);
            Instant::now()
        } else {
            due
        };
        if call(&mut stream, request.as_bytes()) {
            latencies.times.saturating_record(began.elapsed().as_micros() as u64);
        } else {
            latencies.failed += 1;
            stream = TcpStream::connect(variant.address).expect("the server listens");
        }
        due += interval;
    }
    latencies
}

/// Sends the request and reads the response; returns whether it was complete with status 200.
fn call(stream: &mut TcpStream, request: &[u8]) -> bool {
    if stream.write_all(request).is_err() {
        return false;
    }
    let mut buf = [0; 4096];
    let mut len = 0;
    loop {
        match stream.read(&mut buf[len..]) {
            Ok(n) if n > 0 => len += n,
            _ => return false,
        }
        let Some(head) = buf[..len].windows(4).position(|part| part == b"\r\n\r\n") else {
            continue;
        };
        if len >= head + 4 + BODY_BYTES {
            return buf.starts_with(b"HTTP/1.1 200");
        }
    }
}
