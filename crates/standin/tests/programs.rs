//! The programs of the stand-ins.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use async_std::task;
use oleandertiller_standin::http::Client;

/// A running program, killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a program; returns the addresses that it prints.
fn start(program: &str, args: &[&str]) -> (Process, Vec<SocketAddr>) {
    let mut child = Command::new(program).args(args).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let mut words = line.split_whitespace();
    assert_eq!(words.next(), Some("ready"));
    let addrs = words.map(|word| word.parse().unwrap()).collect();
    (Process(child), addrs)
}

/// Guards against a program that prints `ready` before it accepts connections, or that ignores its
/// options.
#[test]
fn upstream_behind_proxy_and_store_answer_when_ready() {
    let args = ["--service", "kettle", "--version", "v7", "--behaviour", r#"{"connect_ms":0}"#];
    let (_upstream, upstream) = start(env!("CARGO_BIN_EXE_standin-upstream"), &args);
    let target = upstream[0].to_string();
    let (_proxy, proxy) = start(env!("CARGO_BIN_EXE_standin-proxy"), &["--target", &target]);
    let (_store, store) = start(env!("CARGO_BIN_EXE_standin-store"), &["--writes-per-s", "300"]);
    task::block_on(async {
        let mut client = Client::connect(proxy[0]).await.unwrap();
        let reply = client.call("GET", "/temper", &[("x-request-id", "a")], &[]).await.unwrap();
        assert_eq!(reply.header("x-upstream-version"), Some("v7"));
        let reply = client.call("GET", "/admin/behaviour", &[], &[]).await.unwrap();
        let behaviour: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(behaviour["connect_ms"], 0.0);
        let mut client = Client::connect(store[0]).await.unwrap();
        let reply = client.call("PUT", "/v1/kv/k?if-version=0", &[], b"1").await.unwrap();
        assert_eq!(reply.status(), 200);
        let mut admin = Client::connect(store[1]).await.unwrap();
        assert_eq!(admin.call("GET", "/v1/stats", &[], &[]).await.unwrap().status(), 200);
    });
}
