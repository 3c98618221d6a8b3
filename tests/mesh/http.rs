//! HTTP/1.1 connections: split and pipelined messages, malformed input, cancelled waits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task::block_on,
};
use oleandertiller::mesh::{
    body::BodyLimits,
    http::{
        Framing, Headers, HttpConn, HttpError, encode_request, encode_response, request_framing,
        response_framing,
    },
    memory::MemoryAccount,
};
use oleandertiller_mesh::memory_budget::{Holder, Share};
use proptest::prelude::*;

const CANCEL_AFTER: Duration = Duration::from_millis(50);

async fn connected_pair() -> (TcpStream, HttpConn) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let peer = TcpStream::connect(address).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    (peer, HttpConn::new(accepted).unwrap())
}

fn get_request(path: &str) -> Vec<u8> {
    let mut headers = Headers::default();
    headers.set("Host", "a.example");
    encode_request("GET", path, &headers, &[])
}

/// Guards against a cancelled wait for the client's close that leaves stray bytes in the buffer:
/// the next request on the connection was then refused as malformed.
#[test]
fn a_cancelled_wait_for_close_leaves_no_bytes() {
    block_on(async {
        let (mut peer, mut conn) = connected_pair().await;
        for path in ["/one", "/two"] {
            peer.write_all(&get_request(path)).await.unwrap();
            assert_eq!(conn.read_request(1_000).await.unwrap().target, path);
            assert!(timeout(CANCEL_AFTER, conn.wait_for_close()).await.is_err());
            assert!(!conn.has_input());
        }
    });
}

/// Guards against a pipelined request that is lost, or merged with the one before it.
#[test]
fn a_pipelined_request_is_kept() {
    block_on(async {
        let (mut peer, mut conn) = connected_pair().await;
        peer.write_all(&get_request("/one")).await.unwrap();
        conn.read_request(1_000).await.unwrap();
        peer.write_all(&get_request("/two")).await.unwrap();
        assert!(timeout(CANCEL_AFTER, conn.wait_for_close()).await.is_err());
        assert_eq!(conn.read_request(1_000).await.unwrap().target, "/two");
    });
}

/// Guards against work on a request whose client has disconnected.
#[test]
fn a_close_ends_the_wait_for_it() {
    block_on(async {
        let (peer, mut conn) = connected_pair().await;
        drop(peer);
        timeout(Duration::from_secs(2), conn.wait_for_close()).await.unwrap();
    });
}

/// Guards against request smuggling: if the end of a body can be read in two ways, one request can
/// hide in another.
#[test]
fn ambiguous_body_lengths_are_refused() {
    let headers = |pairs: &[(&str, &str)]| {
        let mut text = b"POST / HTTP/1.1\r\n".to_vec();
        for (name, value) in pairs {
            text.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        text.extend_from_slice(b"\r\n");
        block_on(async {
            let (mut peer, mut conn) = connected_pair().await;
            peer.write_all(&text).await.unwrap();
            conn.read_request(1_000).await.unwrap().headers
        })
    };
    let bad: [&[(&str, &str)]; 5] = [
        &[("Content-Length", "3"), ("Transfer-Encoding", "chunked")],
        &[("Content-Length", "3"), ("Content-Length", "4")],
        &[("Content-Length", "+3")],
        &[("Content-Length", "")],
        &[("Transfer-Encoding", "gzip")],
    ];
    for pairs in bad {
        assert_eq!(request_framing(&headers(pairs)), Err(HttpError::Malformed), "{pairs:?}");
    }
    let same = headers(&[("Content-Length", "3"), ("Content-Length", "3")]);
    assert_eq!(request_framing(&same), Ok(Framing::Length(3)));
    assert_eq!(request_framing(&Headers::default()), Ok(Framing::Length(0)));
    assert_eq!(response_framing(200, &Headers::default()), Ok(Framing::UntilClose));
}

/// Guards against a truncated body that is taken as complete.
#[test]
fn a_body_that_ends_early_is_broken() {
    block_on(async {
        let (mut peer, mut conn) = connected_pair().await;
        peer.write_all(b"abc").await.unwrap();
        drop(peer);
        assert_eq!(conn.read_body(Framing::Length(4), 10).await, Err(HttpError::Broken));
        let (mut peer, mut conn) = connected_pair().await;
        peer.write_all(b"3\r\nabc\r\n").await.unwrap();
        drop(peer);
        assert_eq!(conn.read_body(Framing::Chunked, 10).await, Err(HttpError::Broken));
    });
}

/// Guards against size limits that hold for some framings only.
#[test]
fn limits_hold_for_every_framing() {
    block_on(async {
        let (mut peer, mut conn) = connected_pair().await;
        peer.write_all(b"6\r\nabcdef\r\n0\r\n\r\n").await.unwrap();
        assert_eq!(conn.read_body(Framing::Chunked, 5).await, Err(HttpError::BodyTooLarge));
        let (_peer, mut conn) = connected_pair().await;
        assert_eq!(conn.read_body(Framing::Length(6), 5).await, Err(HttpError::BodyTooLarge));
        let (mut peer, mut conn) = connected_pair().await;
        peer.write_all(&get_request(&format!("/{}", "a".repeat(2_000)))).await.unwrap();
        assert_eq!(conn.read_request(1_000).await, Err(HttpError::HeadTooLarge));
    });
}

/// Guards against hop-by-hop headers that are forwarded.
#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = Headers::default();
    for (name, value) in [
        ("Connection", "keep-alive, X-Own"),
        ("X-Own", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("X-Other", "2"),
    ] {
        headers.set(name, value);
    }
    headers.remove_hop_by_hop();
    let mut kept = Headers::default();
    kept.set("X-Other", "2");
    assert_eq!(headers, kept);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against a panic or an endless read on bytes that are not a valid message.
    #[test]
    fn random_bytes_end_the_read(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        block_on(async {
            let (mut peer, mut conn) = connected_pair().await;
            peer.write_all(&bytes).await.unwrap();
            drop(peer);
            let read = timeout(Duration::from_secs(5), conn.read_request(1_000)).await;
            // Any result is accepted, since random bytes can be a valid request by chance.
            prop_assert!(read.is_ok());
            Ok(())
        })?;
    }

    /// Guards against a message that is decoded wrongly when it arrives in several parts.
    #[test]
    fn split_messages_are_read_correctly(
        body in prop::collection::vec(any::<u8>(), 0..400),
        part_len in 1_usize..60,
    ) {
        block_on(async {
            let (mut peer, mut conn) = connected_pair().await;
            let message = encode_response(200, &Headers::default(), &body, false);
            let writer = async_std::task::spawn(async move {
                for part in message.chunks(part_len) {
                    peer.write_all(part).await.unwrap();
                }
                let mut rest = Vec::new();
                let _ = peer.read_to_end(&mut rest).await;
            });
            let head = conn.read_response(1_000).await.unwrap();
            let framing = response_framing(head.status, &head.headers).unwrap();
            prop_assert_eq!(conn.read_body(framing, 1_000).await.unwrap(), body);
            prop_assert!(!conn.has_input());
            drop(conn);
            writer.await;
            Ok(())
        })?;
    }
}

fn account_of(memory_mb: usize) -> Arc<MemoryAccount> {
    Arc::new(MemoryAccount::new(memory_mb * 1_000_000, 1_024))
}

fn held(account: &MemoryAccount) -> usize {
    account.figures().0.iter().map(|(_, bytes)| bytes).sum()
}

/// Guards against small chunks that cost more than their bytes, bytes that are lost between chunks,
/// and memory that stays in the account after the body.
#[test]
fn chunk_size_does_not_change_the_cost_of_a_body() {
    const LEN: usize = 300_000;
    for size in [1, 7, 1_000, 100_000, LEN] {
        block_on(async {
            let account = account_of(160);
            let limits = BodyLimits::new(LEN, account.clone(), Holder::RequestBodies);
            let (mut peer, mut conn) = connected_pair().await;
            let bytes: Vec<u8> = (0..LEN).map(|n| (n % 251) as u8).collect();
            let mut message = Vec::new();
            for chunk in bytes.chunks(size) {
                message.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                message.extend_from_slice(chunk);
                message.extend_from_slice(b"\r\n");
            }
            message.extend_from_slice(b"0\r\n\r\nNEXT");
            let writer = async_std::task::spawn(async move {
                peer.write_all(&message).await.unwrap();
                peer
            });
            let body = conn.read_limited_body(Framing::Chunked, &limits).await.unwrap();
            let _peer = writer.await;
            assert!(body.to_vec() == bytes, "chunks of {size}");
            assert!(conn.wait_for_input().await.unwrap());
            let capacity = held(&account);
            assert!((LEN..LEN + (64 << 10)).contains(&capacity), "chunks of {size}: {capacity}");
            let shared = body.clone();
            drop(body);
            assert_eq!(held(&account), capacity);
            drop(shared);
            assert_eq!(held(&account), 0);
        });
    }
}

/// Guards against a body that is read although the account has no memory for it, and against one
/// that waits without end.
#[test]
fn body_without_memory_is_refused() {
    block_on(async {
        let account = account_of(16);
        let (_, bound) = account.figures();
        let full = account.try_reserve(Holder::OfferBodies, Share::Whole, bound).unwrap();
        let limits = BodyLimits::new(1 << 20, account.clone(), Holder::RequestBodies);
        let (mut peer, mut conn) = connected_pair().await;
        peer.write_all(&[b'x'; 100_000]).await.unwrap();
        let read = conn.read_limited_body(Framing::Length(100_000), &limits);
        let read = timeout(Duration::from_secs(10), read).await.unwrap();
        assert_eq!(read, Err(HttpError::NoMemory));
        drop(full);
        let read = conn.read_limited_body(Framing::Length(100_000), &limits).await;
        assert_eq!(read.unwrap().len(), 100_000);
    });
}

/// Writes `start` and then `part` over and over, until the peer closes.
async fn write_without_end(mut peer: TcpStream, start: Vec<u8>, part: &'static [u8]) {
    let block = part.repeat(64);
    if peer.write_all(&start).await.is_ok() {
        while peer.write_all(&block).await.is_ok() {}
    }
}

/// Guards against a peer that keeps a node busy without end: interim responses, header lines, the
/// body, sizes of chunks and trailers that never stop must each be refused at a limit.
#[test]
fn bytes_without_end_are_refused() {
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    let trailers = [&chunked[..], b"1\r\nx\r\n0\r\n"].concat();
    let cases: [(&str, Vec<u8>, &'static [u8]); 7] = [
        ("interim responses", Vec::new(), b"HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("header lines", b"HTTP/1.1 200 OK\r\n".to_vec(), b"X-More: 1\r\n"),
        ("one header line", b"HTTP/1.1 200 OK\r\nX-Long: ".to_vec(), b"x"),
        ("body without a length", b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), b"x"),
        ("extension of a chunk", [&chunked[..], b"1;"].concat(), b"x"),
        ("chunks", chunked.clone(), b"1\r\nx\r\n"),
        ("trailers", trailers, b"X-More: 1\r\n"),
    ];
    for (name, start, part) in cases {
        block_on(async {
            let (peer, mut conn) = connected_pair().await;
            let writer = async_std::task::spawn(write_without_end(peer, start, part));
            let response = async {
                let head = conn.read_response(16 << 10).await?;
                let framing = response_framing(head.status, &head.headers)?;
                conn.read_body(framing, 64 << 10).await
            };
            let result = timeout(Duration::from_secs(5), response).await;
            let result = result.unwrap_or_else(|_| panic!("{name}: still reading"));
            assert!(result.is_err(), "{name}: taken for a response");
            drop(conn);
            assert!(timeout(Duration::from_secs(5), writer).await.is_ok(), "{name}: still open");
        });
    }
}
