//! The inner port: peers that violate the protocol, and messages of the control services.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task::{self, block_on},
};
use bytes::Bytes;
use h2::Reason;
use http::{Request, Response};
use oleandertiller::node::{
    Node,
    inner::{ControlHandler, client::InnerClient},
    timer::Timers,
    view::ViewCell,
};
use oleandertiller_model::codec::PROTOCOL_VERSION;
use oleandertiller_model::{ErrorKind, SystemClock, message::INTENT_PATH};
use tokio_util::compat::FuturesAsyncReadCompatExt;

use super::fleet::*;

/// Sends one message as a raw `h2` client; returns the answer or the reset.
async fn send_raw(address: SocketAddr, path: &str, message: &[u8]) -> Result<Bytes, h2::Error> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream.compat()).await?;
    task::spawn(connection);
    let request = Request::post(format!("http://node{path}")).body(()).unwrap();
    let (response, mut body) = sender.ready().await?.send_request(request, false)?;
    body.send_data(Bytes::copy_from_slice(message), true)?;
    let mut answer = response.await?.into_body();
    let mut joined = Vec::new();
    while let Some(data) = answer.data().await {
        joined.extend_from_slice(&data?);
    }
    Ok(joined.into())
}

/// Guards against a panic, a run or a connection that stays open on input that is not HTTP/2.
#[test]
fn garbage_closes_the_connection() {
    block_on(async {
        let member = single(config("alone")).await;
        for bytes in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            &[0xff; 4_096],
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\x01\xff",
        ] {
            let mut stream = TcpStream::connect(member.node.config().inner).await.unwrap();
            stream.write_all(bytes).await.unwrap();
            // This fails if the node has already closed the connection, as it should.
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let mut rest = Vec::new();
            let read = stream.read_to_end(&mut rest);
            let _ = async_std::future::timeout(STEP_TIMEOUT, read)
                .await
                .expect("the connection is closed");
        }
        let mut client = Client::connect(member.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.status(), 200);
    });
}

/// Guards against decoding messages of another protocol version, and against invalid lengths that
/// allocate memory or truncate a head.
#[test]
fn invalid_messages_are_reset() {
    block_on(async {
        let member = single(config("alone").with_body_max_bytes(1_000)).await;
        let address = member.node.config().inner;
        let version = u8::try_from(PROTOCOL_VERSION).unwrap();
        let other_version = [8, 0, 0, 0, version + 1, 1, 2, 3, 4, 5, 6, 7];
        let earlier_version = [8, 0, 0, 0, version - 1, 1, 2, 3, 4, 5, 6, 7];
        let no_head = [8, 0, 0, 0, version, 1, 2, 3, 4, 5, 6, 7];
        let too_long = [0xff, 0xff, 0xff, 0xff, version, 1];
        let truncated = [100, 0, 0, 0, version];
        let big = vec![0; 200_000];
        let cases: [(&str, &[u8], Reason); 9] = [
            ("/call", &other_version, Reason::REFUSED_STREAM),
            ("/call", &earlier_version, Reason::REFUSED_STREAM),
            ("/call", &no_head, Reason::PROTOCOL_ERROR),
            ("/call", &too_long, Reason::PROTOCOL_ERROR),
            ("/call", &truncated, Reason::PROTOCOL_ERROR),
            ("/call", &[], Reason::PROTOCOL_ERROR),
            ("/call", &[1, 0], Reason::PROTOCOL_ERROR),
            ("/call", &big, Reason::REFUSED_STREAM),
            ("/nothing", &[], Reason::REFUSED_STREAM),
        ];
        for (path, message, reason) in cases {
            let error = send_raw(address, path, message).await.expect_err("a reset");
            assert_eq!(error.reason(), Some(reason), "{path} {error}");
        }
        assert_eq!(member.upstream.record.runs(), 0);
    });
}

/// How a faulty owner handles incoming streams.
#[derive(Clone, Copy)]
enum Fault {
    Refuse,
    Garbage,
    Disconnect,
    HttpError,
    Unresponsive,
}

async fn faulty_owner(fault: Fault) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(AtomicUsize::new(0));
    let opened = connections.clone();
    task::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            opened.fetch_add(1, Ordering::SeqCst);
            if let Fault::Unresponsive = fault {
                kept.push(stream);
                continue;
            }
            let mut h2_connection = h2::server::handshake(stream.compat()).await.unwrap();
            while let Some(Ok((_request, mut respond))) = h2_connection.accept().await {
                match fault {
                    Fault::Refuse => respond.send_reset(Reason::REFUSED_STREAM),
                    Fault::Garbage => {
                        let mut body = respond.send_response(Response::new(()), false).unwrap();
                        body.send_data(Bytes::from_static(b"\x05\0\0\0garbage"), true).unwrap();
                    }
                    Fault::Disconnect | Fault::Unresponsive => break,
                    Fault::HttpError => {
                        let response = Response::builder().status(500).body(()).unwrap();
                        respond.send_response(response, true).unwrap();
                    }
                }
            }
        }
    });
    (address, connections)
}

/// Starts an owner that reads a call and answers with raw frames, then closes the connection.
async fn raw_owner(frames: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        const SETTINGS: &[u8] = &[0, 0, 0, 4, 0, 0, 0, 0, 0];
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.write_all(SETTINGS).await.unwrap();
            task::sleep(Duration::from_millis(50)).await;
            let _ = stream.read(&mut [0; 65_536]).await;
            stream.write_all(frames).await.unwrap();
            task::sleep(Duration::from_millis(50)).await;
        }
    });
    address
}

async fn set_faulty_owner(ingress: &Member, address: SocketAddr) {
    let mut info = ingress.info();
    info.node = "faulty".into();
    info.inner = address;
    set_owners(&[ingress], vec![info]);
}

/// A GOAWAY proves that streams above its last stream id were not processed. Guards against taking
/// it as proof for a stream up to that id, and against ignoring it for one above.
#[test]
fn only_streams_above_a_goaway_are_not_run() {
    block_on(async {
        let ingress = Member::start(config("ingress")).await;
        // GOAWAY frames: length 8, type 7, last stream id, error code.
        let cases: [(&[u8], &str, &str); 3] = [
            (&[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], "not-run", "draining"),
            (&[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0], "unknown", "connection-lost"),
            (&[0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1], "unknown", "connection-lost"),
        ];
        for (frames, outcome, reason) in cases {
            set_faulty_owner(&ingress, raw_owner(frames).await).await;
            let mut client = Client::connect(ingress.node.client_addr()).await;
            let answer = client.get("/kettle/release").await;
            let found = (answer.header("x-outcome"), answer.header("x-reason"));
            assert_eq!(found, (outcome, reason), "{frames:?}");
        }
    });
}

/// Guards against calls that all wait on one connection whose network path is broken.
#[test]
fn an_unresponsive_connection_is_replaced() {
    block_on(async {
        let ingress = Member::start(config("ingress")).await;
        let (address, connections) = faulty_owner(Fault::Unresponsive).await;
        set_faulty_owner(&ingress, address).await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        for count in 1..=3 {
            let answer = client.get("/kettle/quick").await;
            assert_eq!(answer.status(), 504, "{answer:?}");
            assert_eq!(connections.load(Ordering::SeqCst), count);
        }
    });
}

/// Guards against wrong outcomes of calls whose owner violates the protocol: only a refused stream
/// proves that the request was not run.
#[test]
fn calls_to_faulty_owners_get_the_right_outcome() {
    block_on(async {
        let ingress = Member::start(config("ingress")).await;
        let cases = [
            (Fault::Refuse, "not-run", "draining"),
            (Fault::Garbage, "unknown", "peer-protocol"),
            (Fault::HttpError, "unknown", "peer-protocol"),
            (Fault::Disconnect, "unknown", "connection-lost"),
        ];
        for (fault, outcome, reason) in cases {
            set_faulty_owner(&ingress, faulty_owner(fault).await.0).await;
            let mut client = Client::connect(ingress.node.client_addr()).await;
            for _ in 0..3 {
                let answer = client.get("/kettle/release").await;
                let found = (answer.header("x-outcome"), answer.header("x-reason"));
                assert_eq!(found, (outcome, reason));
            }
        }
    });
}

/// Guards against a burst of cancelled calls that closes the connection for the other calls on it.
#[test]
fn many_cancelled_calls_leave_the_connection_open() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let address = ingress.node.client_addr();
        let steady = task::spawn(async move {
            Client::connect(address).await.get("/kettle/release?sleep=900").await
        });
        for _ in 0..4 {
            let mut clients = Vec::new();
            for _ in 0..50 {
                let client = Client::connect(address).await;
                let request = b"GET /kettle/release?sleep=5000 HTTP/1.1\r\nhost: n\r\n\r\n";
                (&client.stream).write_all(request).await.unwrap();
                clients.push(client);
            }
            task::sleep(Duration::from_millis(20)).await;
            drop(clients);
            eventually("all are cancelled", || owner.node.owner().load().in_flight <= 1).await;
        }
        assert_eq!(steady.await.status(), 200);
    });
}

struct Echo;

impl ControlHandler for Echo {
    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        (path == INTENT_PATH).then(|| body.to_vec())
    }
}

/// Guards against messages of the control services that do not reach their handler.
#[test]
fn control_messages_reach_their_handler() {
    block_on(async {
        let (cfg, view) = (config("alone"), ViewCell::default());
        let node = Node::start_with(cfg, SystemClock, view, Echo, |_| {}).await.unwrap();
        let address = node.config().inner;
        let wait = Duration::from_secs(1);
        let client = InnerClient::new(SystemClock, Timers::default(), wait, 1_000);
        let answer = client.control(address, INTENT_PATH, vec![7; 500_000], wait).await;
        assert_eq!(answer.unwrap(), vec![7; 500_000]);
        let answer = client.control(address, "/nothing", vec![], wait).await;
        assert_eq!(answer.unwrap_err(), ErrorKind::Draining);
    });
}
