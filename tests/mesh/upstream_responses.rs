//! Responses of faulty upstreams.

use std::time::Duration;

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task::{self, block_on},
};
use futures_util::AsyncReadExt;
use oleandertiller::mesh::{
    body::BodyLimits,
    http::{Headers, HttpConn, encode_request},
    upstream::{Exchange, ExchangeError, PooledConn, exchange},
};

/// Opens a connection whose peer answers the first requests with `responses`, one each, and then
/// closes it.
async fn connect_to(responses: Vec<Vec<u8>>) -> HttpConn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _): (TcpStream, _) = listener.accept().await.unwrap();
        for response in responses {
            let mut request = [0; 4_096];
            if stream.read(&mut request).await.unwrap_or(0) == 0 {
                return;
            }
            stream.write_all(&response).await.unwrap();
        }
    });
    HttpConn::connect(address).await.unwrap()
}

async fn request_on(conn: HttpConn, reused: bool, id: &str) -> Result<Exchange, ExchangeError> {
    let mut headers = Headers::default();
    headers.set("Host", "x");
    let pooled = PooledConn { conn, reused };
    let limits = BodyLimits::unaccounted(1 << 20);
    exchange(pooled, &encode_request("GET", "/", &headers, &[]), &[], id, &limits).await
}

async fn request(conn: HttpConn, id: &str) -> Result<Exchange, ExchangeError> {
    request_on(conn, false, id).await
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nOleandertiller-Attempt-Id: a\r\n\
                    Oleandertiller-Response-Signature: s\r\n";

/// Guards against a time from a faulty upstream that is too large for the clock.
#[test]
fn idle_time_without_end_is_bounded() {
    block_on(async {
        let head = format!("{HEAD}Keep-Alive: timeout={}\r\nContent-Length: 0\r\n\r\n", u64::MAX);
        let conn = connect_to(vec![head.into_bytes(), Vec::new()]).await;
        let (_, idle) = request(conn, "a").await.unwrap().conn.unwrap();
        assert!(idle <= Duration::from_secs(24 * 3_600), "{idle:?}");
    });
}
/// Guards against a response that is passed on as complete although the upstream stopped in the middle
/// of it, whatever its framing.
#[test]
fn response_cut_short_is_not_complete() {
    block_on(async {
        let length = format!("{HEAD}Content-Length: 5\r\n\r\nhello");
        let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        let until_close = format!("{HEAD}Connection: close\r\n\r\nhello");
        for (whole, first_undetectable) in
            [(&length, usize::MAX), (&chunked, usize::MAX), (&until_close, until_close.len() - 5)]
        {
            for cut in 0..whole.len().min(first_undetectable) {
                let conn = connect_to(vec![whole.as_bytes()[..cut].to_vec()]).await;
                assert!(request(conn, "a").await.is_err(), "{:?}", &whole[..cut]);
            }
            let conn = connect_to(vec![whole.clone().into_bytes()]).await;
            assert_eq!(request(conn, "a").await.unwrap().response.body.to_vec(), b"hello");
        }
    });
}

/// Guards against a request that is reported as not run because the upstream wrote the refusal of an
/// earlier one again on the connection.
#[test]
fn repeated_refusal_of_an_earlier_request_is_skipped() {
    block_on(async {
        let refusal =
            "HTTP/1.1 503 Busy\r\nOleandertiller-Not-Executed: 1\r\nContent-Length: 0\r\n";
        let answer_b = HEAD.replace("Id: a", "Id: b") + "Content-Length: 5\r\n\r\nhello";
        for stale in [
            format!("{refusal}\r\n"),
            format!("{refusal}Oleandertiller-Attempt-Id: a\r\n\r\n"),
            "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".to_owned(),
        ] {
            let first = format!("{refusal}Oleandertiller-Attempt-Id: a\r\n\r\n");
            let second = stale.clone() + &answer_b;
            let conn = connect_to(vec![first.into_bytes(), second.into_bytes()]).await;
            let first = request(conn, "a").await.unwrap();
            assert_eq!(first.response.status, 503);
            let second = request_on(first.conn.unwrap().0, true, "b").await.unwrap();
            assert_eq!(second.response.status, 200, "after {stale:?}");
        }
        // On a new connection a refusal without an id can only mean this request.
        let conn = connect_to(vec![format!("{refusal}\r\n").into_bytes()]).await;
        assert_eq!(request(conn, "a").await.unwrap().response.status, 503);
    });
}
