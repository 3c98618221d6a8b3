//! Faults of the TCP proxy and the UDP relay.

use std::io::ErrorKind;
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream, UdpSocket};
use async_std::task;
use oleandertiller_standin::http::Client;
use oleandertiller_standin::{Proxy, ProxyFaults, ProxyOptions};

/// Time to wait for bytes or datagrams that must not arrive.
const WAIT_TIME: Duration = Duration::from_millis(200);

/// Starts a proxy to a TCP and a UDP echo server.
async fn start(f: impl FnOnce(ProxyOptions) -> ProxyOptions) -> Proxy {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let udp = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut options = ProxyOptions::new(listener.local_addr().unwrap());
    options.udp_target = Some(udp.local_addr().unwrap());
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async move { async_std::io::copy(&stream, &stream).await });
        }
    });
    task::spawn(async move {
        let mut buf = [0; 2_000];
        while let Ok((len, from)) = udp.recv_from(&mut buf).await {
            udp.send_to(&buf[..len], from).await.unwrap();
        }
    });
    Proxy::start(f(options)).await.unwrap()
}

async fn connect(proxy: &Proxy) -> TcpStream {
    let stream = TcpStream::connect(proxy.addr()).await.unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

async fn echo(stream: &mut TcpStream, byte: u8) -> std::io::Result<u8> {
    stream.write_all(&[byte]).await?;
    let mut buf = [0];
    stream.read_exact(&mut buf).await?;
    Ok(buf[0])
}

/// Returns the default faults with the changes of `f`.
fn faults(f: impl FnOnce(&mut ProxyFaults)) -> ProxyFaults {
    let mut faults = ProxyFaults::default();
    f(&mut faults);
    faults
}

/// Guards against bytes that are lost, reordered or changed because of chunks, delay or jitter.
#[test]
fn forwards_a_stream_unchanged() {
    task::block_on(async {
        let proxy = start(|options| options.with_delay(1.0, 2.0)).await;
        let stream = connect(&proxy).await;
        let sent: Vec<u8> = (0..1_000_000_u32).map(|n| (n * 31 / 7) as u8).collect();
        let (mut tx, mut rx) = (stream.clone(), stream);
        let expected = sent.clone();
        let writing = task::spawn(async move {
            tx.write_all(&sent).await.unwrap();
            tx.shutdown(std::net::Shutdown::Write).unwrap();
        });
        let mut received = Vec::new();
        rx.read_to_end(&mut received).await.unwrap();
        writing.await;
        assert!(received == expected, "{} of {} bytes", received.len(), expected.len());
        proxy.close().await;
    });
}

/// Guards against a delay that is applied to one direction only.
#[test]
fn delays_both_directions() {
    task::block_on(async {
        let proxy = start(|options| options.with_delay(30.0, 0.0)).await;
        let mut stream = connect(&proxy).await;
        let start = Instant::now();
        assert_eq!(echo(&mut stream, 7).await.unwrap(), 7);
        assert!(start.elapsed() >= Duration::from_millis(60), "{:?}", start.elapsed());
        proxy.close().await;
    });
}

/// Guards against a frozen connection that is closed, forwards bytes, or loses the buffered ones.
#[test]
fn frozen_connection_resumes() {
    task::block_on(async {
        let proxy = start(|options| options).await;
        let mut stream = connect(&proxy).await;
        assert_eq!(echo(&mut stream, 1).await.unwrap(), 1);
        proxy.set_faults(faults(|f| f.freeze = true));
        assert!(timeout(WAIT_TIME, echo(&mut stream, 2)).await.is_err());
        proxy.set_faults(ProxyFaults::default());
        let mut buf = [0];
        timeout(WAIT_TIME * 5, stream.read_exact(&mut buf)).await.unwrap().unwrap();
        assert_eq!(buf, [2]);
        proxy.close().await;
    });
}

/// Guards against a fault of one direction that blocks both directions or none.
#[test]
fn blocks_one_direction() {
    task::block_on(async {
        let proxy = start(|options| options).await;
        let mut stream = connect(&proxy).await;
        proxy.set_faults(faults(|f| f.lose_down = true));
        assert!(timeout(WAIT_TIME, echo(&mut stream, 1)).await.is_err());
        // The echo server has replied by now; a block of the other direction must not affect it.
        proxy.set_faults(faults(|f| f.lose_up = true));
        let mut buf = [0];
        timeout(WAIT_TIME * 5, stream.read_exact(&mut buf)).await.unwrap().unwrap();
        assert!(timeout(WAIT_TIME, echo(&mut stream, 2)).await.is_err());
        proxy.close().await;
    });
}

/// Guards against a cut or reset that leaves open or new connections intact, or that does not end.
#[test]
fn cuts_and_resets_open_and_new_connections() {
    task::block_on(async {
        let proxy = start(|options| options).await;
        let mut stream = connect(&proxy).await;
        echo(&mut stream, 1).await.unwrap();
        proxy.set_faults(faults(|f| f.cut = true));
        let mut buf = [0];
        assert_eq!(timeout(WAIT_TIME * 5, stream.read(&mut buf)).await.unwrap().unwrap(), 0);
        assert!(
            timeout(WAIT_TIME * 5, echo(&mut connect(&proxy).await, 1)).await.unwrap().is_err()
        );
        proxy.set_faults(ProxyFaults::default());
        let mut stream = connect(&proxy).await;
        echo(&mut stream, 1).await.unwrap();
        proxy.set_faults(faults(|f| f.reset = true));
        let e = timeout(WAIT_TIME * 5, stream.read(&mut buf)).await.unwrap().unwrap_err();
        assert_eq!(e.kind(), ErrorKind::ConnectionReset);
        proxy.close().await;
    });
}

/// Guards against faults that another process cannot change, a change that also resets the other
/// faults, and an unknown field that is accepted.
#[test]
fn admin_port_changes_single_faults() {
    task::block_on(async {
        let proxy = start(|options| options.with_delay(1.5, 0.0)).await;
        let mut admin = Client::connect(proxy.admin_addr()).await.unwrap();
        let body = br#"{"drop_share":0.5}"#;
        let reply = admin.call("POST", "/admin/faults", &[], body).await.unwrap();
        assert_eq!(reply.status(), 200);
        assert_eq!((proxy.faults().delay_ms, proxy.faults().drop_share), (1.5, 0.5));
        let reply = admin.call("POST", "/admin/faults", &[], br#"{"dorp":1}"#).await.unwrap();
        assert_eq!(reply.status(), 400);
        proxy.close().await;
    });
}

/// Sends datagrams; returns the number of those that are echoed.
async fn echoed(proxy: &Proxy, count: usize) -> usize {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let to = proxy.udp_addr().unwrap();
    for n in 0..count {
        socket.send_to(&[n as u8], to).await.unwrap();
        task::sleep(Duration::from_millis(1)).await;
    }
    let mut received = 0;
    let mut buf = [0; 10];
    while let Ok(Ok(_)) = timeout(WAIT_TIME, socket.recv_from(&mut buf)).await {
        received += 1;
    }
    received
}

/// Guards against replies that are not relayed, a drop share that is not applied, and faults of
/// connections that do not affect datagrams.
#[test]
fn relays_and_drops_datagrams() {
    task::block_on(async {
        let proxy = start(|options| options).await;
        assert_eq!(echoed(&proxy, 20).await, 20);
        proxy.set_faults(faults(|f| f.drop_share = 0.5));
        // A datagram and its echo each pass with probability 1/2. Of 200 datagrams, 50 are expected
        // to return, with a standard deviation of 6.1.
        let echoes = echoed(&proxy, 200).await;
        assert!((20..=80).contains(&echoes), "{echoes} of 200");
        for blocking_faults in [
            faults(|f| f.freeze = true),
            faults(|f| f.cut = true),
            faults(|f| f.lose_up = true),
            faults(|f| f.lose_down = true),
        ] {
            proxy.set_faults(blocking_faults);
            assert_eq!(echoed(&proxy, 5).await, 0);
        }
        proxy.close().await;
    });
}
