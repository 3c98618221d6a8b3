//! Compares the time that `tide`'s `app.respond` and a plain function take for a decoded request,
//! and shows how `async_h1::accept` handles pipelined requests and malformed heads.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};
use tide::http::{Method, Request, Response, StatusCode, Url};

/// Number of requests in each half of a round.
const REQUESTS_PER_ROUND: u32 = 200_000;

/// Number of rounds; they alternate between both variants, so that noise affects both.
const ROUNDS: usize = 5;

#[derive(Clone)]
struct State(Arc<Vec<u8>>);

fn request() -> Request {
    let url = Url::parse("http://node/kettle/temper/7").expect("a valid URL");
    Request::new(Method::Post, url)
}

async fn plain(_state: &State, _req: Request) -> tide::http::Result<Response> {
    Ok(Response::new(StatusCode::Ok))
}

fn main() -> io::Result<()> {
    let state = State(Arc::default());
    let mut app = tide::with_state(state.clone());
    app.at("/:service/:kind/*").all(|req: tide::Request<State>| async move {
        let _ = &req.state().0;
        Ok(tide::Response::new(StatusCode::Ok))
    });
    task::block_on(async {
        for round in 1..=ROUNDS {
            let started = Instant::now();
            for _ in 0..REQUESTS_PER_ROUND {
                let response: tide::http::Result<Response> = app.respond(request()).await;
                assert!(response.is_ok());
            }
            let respond = started.elapsed() / REQUESTS_PER_ROUND;
            let started = Instant::now();
            for _ in 0..REQUESTS_PER_ROUND {
                assert!(plain(&state, request()).await.is_ok());
            }
            let function = started.elapsed() / REQUESTS_PER_ROUND;
            println!("round {round}: app.respond {respond:?}, plain function {function:?}");
        }
        check_async_h1().await
    })
}

async fn check_async_h1() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async_h1::accept(stream, |_| async { Ok(Response::new(StatusCode::Ok)) }));
        }
    });
    let one = "GET / HTTP/1.1\r\nhost: n\r\n\r\n";
    for (name, input) in
        [("two pipelined requests", one.repeat(2)), ("malformed head", "x\r\n\r\n".into())]
    {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(input.as_bytes()).await?;
        let mut output = Vec::new();
        let end = timeout(Duration::from_secs(1), stream.read_to_end(&mut output)).await;
        let responses = String::from_utf8_lossy(&output).matches("HTTP/1.1 ").count();
        let connection = if end.is_ok() { "closed" } else { "still open after 1 s" };
        println!("async_h1::accept, {name}: {responses} responses, connection {connection}");
    }
    Ok(())
}
