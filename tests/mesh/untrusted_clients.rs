//! Clients that the operators do not control, against the memory and the descriptors of a process.
//!
//! Each test checks that the process lives, that its memory and its descriptors stay under the
//! bounds in its settings, and that an ordinary request is answered while the crowd is still there.

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::WriteExt,
    net::TcpStream,
    task::{self, block_on},
};
use serde_json::json;

use crate::fleet::{Fleet, Member, call, config};

/// Memory that a process may use, in megabytes.
const MEMORY_MB: u64 = 48;

/// Descriptors that a process may open.
const DESCRIPTORS: usize = 160;

/// Connections of a crowd.
const CROWD: usize = 200;

/// Largest body that the operators allow, in bytes. A process of [`MEMORY_MB`] serves it singly.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Bytes of its body that a client that stops keeps back.
const KEPT_BACK_BYTES: usize = 100;

/// One of so many clients sends its whole body; the others stop short of its end.
const COMPLETE_ONE_OF: usize = 8;

/// Time without progress after which a client gives up writing; its connection stays open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a client writes.
const MAX_SENDING: Duration = Duration::from_secs(10);

/// Interval between two looks at the descriptors of the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Writes the parts until one is not taken; returns the connection, which stays open.
async fn send(address: SocketAddr, parts: impl Iterator<Item = Vec<u8>>) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let end = Instant::now() + MAX_SENDING;
    for part in parts {
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&part)).await;
        if !matches!(written, Ok(Ok(()))) || Instant::now() > end {
            break;
        }
        task::yield_now().await;
    }
    Some(stream)
}

fn head(client: usize, framing: &str) -> Vec<u8> {
    format!(
        "POST /read/1 HTTP/1.1\r\nHost: shop.example\r\nOleandertiller-Attempt-Id: crowd-{client}\r\n\
         {framing}\r\n\r\n"
    )
    .into_bytes()
}

/// Returns `len` bytes of chunks of `size` bytes each.
fn chunks(size: usize, len: usize) -> Vec<u8> {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    chunk.repeat(len / size).into_bytes()
}

/// Length of what the client sends of a body of `len` bytes.
fn sent_len(client: usize, len: usize) -> usize {
    if client % COMPLETE_ONE_OF == 0 { len } else { len - KEPT_BACK_BYTES }
}

fn descriptors(fleet: &Fleet) -> usize {
    fs::read_dir(fleet.members[0].proc_path("fd")).map_or(0, Iterator::count)
}

/// Sends the parts that `client` returns for each connection of the crowd, all at once, and checks
/// the process while the connections are still open.
fn check_crowd<I: Iterator<Item = Vec<u8>> + Send + 'static>(client: impl Fn(usize) -> I) {
    block_on(async {
        let mut limits = config(3, None);
        limits["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
        let settings = format!("memory-mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}\n");
        let mut fleet = Fleet::start_limited(2, &settings, &limits).await;
        let ingress = fleet.members[0].ingress;
        let before_kb = fleet.members[0].peak_memory_kb();
        let crowd: Vec<_> = (0..CROWD).map(|n| task::spawn(send(ingress, client(n)))).collect();
        let crowd = task::spawn(async {
            let mut connections = Vec::new();
            for connection in crowd {
                connections.extend(connection.await);
            }
            connections
        });
        let mut crowd = crowd;
        let mut most_descriptors = 0;
        let connections = loop {
            most_descriptors = most_descriptors.max(descriptors(&fleet));
            if let Ok(connections) = timeout(SAMPLE_INTERVAL, &mut crowd).await {
                break connections;
            }
        };
        assert!(fleet.members[0].is_running(), "the process has ended");
        let ids = [
            ("Oleandertiller-Attempt-Id", "ordinary"),
            ("Oleandertiller-Deadline-Milliseconds", "3000"),
        ];
        let response =
            call(ingress, "POST", "/release/1", "shop.example", &ids, &[b'x'; 2_000]).await;
        most_descriptors = most_descriptors.max(descriptors(&fleet));
        let peak_kb = fleet.members[0].peak_memory_kb();
        drop(connections);
        let status = response.map(|response| response.status);
        println!(
            "memory {before_kb} kB before, {peak_kb} kB at most; {most_descriptors} descriptors; \
             ordinary request: {status:?}"
        );
        assert!(fleet.members[0].is_running(), "the process has ended");
        assert!(peak_kb < MEMORY_MB * 1_000, "{peak_kb} kB of memory");
        assert!(most_descriptors < DESCRIPTORS, "{most_descriptors} descriptors");
        assert_eq!(status, Some(200), "ordinary request");
    });
}

/// Guards against a process that many large bodies end: each is legal, most are never completed.
#[test]
fn large_bodies() {
    check_crowd(|client| {
        let mut message = head(client, &format!("Content-Length: {MAX_BODY_BYTES}"));
        message.resize(message.len() + sent_len(client, MAX_BODY_BYTES), b'x');
        let part = if client % 2 == 0 { message.len() } else { 16 << 10 };
        let parts: Vec<Vec<u8>> = message.chunks(part).map(<[u8]>::to_vec).collect();
        parts.into_iter()
    });
}

/// Guards against a process that many chunked bodies end, whose length is not known before their
/// end, and whose chunks may be so small that each costs more than its bytes.
#[test]
fn chunked_bodies() {
    check_crowd(|client| {
        let mut message = head(client, "Transfer-Encoding: chunked");
        let (size, len) =
            if client % 2 == 0 { (256 << 10, MAX_BODY_BYTES) } else { (8, MAX_BODY_BYTES / 2) };
        let body = chunks(size, len);
        let sent = sent_len(client, body.len());
        message.extend_from_slice(&body[..sent]);
        if sent == body.len() {
            message.extend_from_slice(b"0\r\n\r\n");
        }
        let parts: Vec<Vec<u8>> = message.chunks(16 << 10).map(<[u8]>::to_vec).collect();
        parts.into_iter()
    });
}

/// Guards against a process that bodies far over the limit end, whether they are announced or not.
#[test]
fn bodies_over_the_limit() {
    check_crowd(|client| {
        let announced = "Content-Length: 17179869184";
        let framing = if client % 2 == 0 { announced } else { "Transfer-Encoding: chunked" };
        let block = if client % 2 == 0 { vec![b'x'; 64 << 10] } else { chunks(1 << 10, 64 << 10) };
        std::iter::once(head(client, framing)).chain(std::iter::repeat_n(block, 256))
    });
}

/// Guards against a body of the largest size that operators allow that is refused, or that takes more
/// than the memory of a small machine, at its ingress or at the owner.
#[test]
fn largest_body_is_served_through_another_node() {
    const LARGEST_BODY_BYTES: usize = 64 << 20;
    const MACHINE_MB: u64 = 160;
    block_on(async {
        let mut settings = config(3, None);
        settings["limits"]["maxBodyBytes"] = json!(LARGEST_BODY_BYTES);
        settings["listeners"][0]["ruleSet"][1]["action"]["timeoutMs"] = json!(20_000);
        settings["listeners"][0]["ruleSet"][1]["targetLatencyMs"] = json!(20_000);
        let memory = format!("memory-mb = {MACHINE_MB}\n");
        let mut fleet = Fleet::start_limited(2, &memory, &settings).await;
        let body = vec![b'x'; LARGEST_BODY_BYTES];
        for id in ["local", "remote"] {
            if id == "remote" {
                assert_eq!(fleet.members[0].announce("draining").await, 200);
            }
            let ids = [
                ("Oleandertiller-Attempt-Id", id),
                ("Oleandertiller-Deadline-Milliseconds", "20000"),
            ];
            let ingress = fleet.members[0].ingress;
            let response = call(ingress, "POST", "/release/1", "shop.example", &ids, &body).await;
            assert_eq!(response.map(|response| response.status), Some(200), "{id}");
            let peaks: Vec<u64> = fleet.members.iter().map(Member::peak_memory_kb).collect();
            println!("{id}: {peaks:?} kB at most");
            assert!(peaks.iter().all(|kb| *kb < MACHINE_MB * 1_000), "{id}: {peaks:?} kB");
            let runs = fleet.members.iter().flat_map(|member| member.upstream.runs());
            let lens: Vec<usize> =
                runs.filter(|run| run.id == id).map(|run| run.body.len()).collect();
            assert_eq!(lens, [LARGEST_BODY_BYTES], "{id}");
        }
        assert_eq!(fleet.members[1].upstream.runs().last().map(|run| &*run.id), Some("remote"));
    });
}
