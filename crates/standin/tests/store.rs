//! HTTP interface of the store, described in section 14 of the design, and its faults.

use std::time::{Duration, Instant};

use async_std::task;
use oleandertiller_standin::http::{Client, ClientReply};
use oleandertiller_standin::store::DownMode;
use oleandertiller_standin::{Store, StoreFaults, StoreOptions};
use serde_json::{Value, json};

async fn start() -> (Store, Client) {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    let client = Client::connect(store.addr()).await.unwrap();
    (store, client)
}

async fn put(client: &mut Client, path: &str, value: &Value) -> ClientReply {
    let body = value.to_string();
    client.call("PUT", &format!("/v1/kv/{path}"), &[], body.as_bytes()).await.unwrap()
}

async fn get(client: &mut Client, path: &str) -> ClientReply {
    client.call("GET", path, &[], &[]).await.unwrap()
}

fn parsed(reply: &ClientReply) -> Value {
    serde_json::from_slice(&reply.body).unwrap()
}

/// Guards against a write that ignores the expected version and so overwrites a concurrent command.
#[test]
fn compare_and_swap_rejects_a_stale_version() {
    task::block_on(async {
        let (store, mut client) = start().await;
        assert_eq!(get(&mut client, "/v1/kv/intent").await.status(), 404);
        let created = put(&mut client, "intent?if-version=0", &json!({"a": 1})).await;
        assert_eq!((created.status(), created.header("x-version")), (200, Some("1")));
        let again = put(&mut client, "intent?if-version=0", &json!({"a": 2})).await;
        assert_eq!((again.status(), again.header("x-version")), (409, Some("1")));
        let changed = put(&mut client, "intent?if-version=1", &json!({"a": 3})).await;
        assert_eq!(changed.header("x-version"), Some("2"));
        let read = get(&mut client, "/v1/kv/intent").await;
        assert_eq!((read.header("x-version"), parsed(&read)), (Some("2"), json!({"a": 3})));
        store.close().await;
    });
}

/// Guards against a prefix read that misses keys, or returns keys with another prefix.
#[test]
fn prefix_read_returns_exactly_the_matching_keys() {
    task::block_on(async {
        let (store, mut client) = start().await;
        for key in ["zone/a/entry/0", "zone/a/entry/1", "zone/b/entry/0"] {
            put(&mut client, &format!("{key}?if-version=0"), &json!(key)).await;
        }
        let read = get(&mut client, "/v1/kv?prefix=zone/a/").await;
        let expected = json!([
            {"key": "zone/a/entry/0", "version": 1, "value": "zone/a/entry/0"},
            {"key": "zone/a/entry/1", "version": 1, "value": "zone/a/entry/1"},
        ]);
        assert_eq!(parsed(&read), expected);
        store.close().await;
    });
}

/// Guards against a watch that misses a write, or that is counted more than once while it waits.
#[test]
fn watch_answers_after_a_write_and_is_counted_once() {
    task::block_on(async {
        let (store, mut client) = start().await;
        put(&mut client, "k?if-version=0", &json!(1)).await;
        let mut watcher = Client::connect(store.addr()).await.unwrap();
        let watching = task::spawn(async move {
            watcher.call("GET", "/v1/watch/k?after=1&timeout-ms=5000", &[], &[]).await.unwrap()
        });
        task::sleep(Duration::from_millis(100)).await;
        put(&mut client, "k?if-version=1", &json!(2)).await;
        let answer = watching.await;
        assert_eq!((answer.status(), answer.header("x-version")), (200, Some("2")));
        assert_eq!(parsed(&answer), json!(2));
        let timed_out = get(&mut client, "/v1/watch/k?after=2&timeout-ms=50").await;
        assert_eq!(timed_out.status(), 204);
        let stats = parsed(&get(&mut client, "/v1/stats").await);
        assert_eq!(stats, json!({"reads": 0, "writes": 2, "watches": 2, "lease_calls": 0}));
        store.close().await;
    });
}

/// Guards against keys that remain after their lease has expired, and against a new key whose
/// version starts at 1 again, so that readers take it for older than the expired one.
#[test]
fn keys_expire_with_their_lease() {
    task::block_on(async {
        let (store, mut client) = start().await;
        let lease = client.call("POST", "/v1/lease?ttl-ms=300", &[], &[]).await.unwrap();
        let id = parsed(&lease)["id"].as_u64().unwrap();
        put(&mut client, &format!("e?if-version=0&lease={id}"), &json!("held")).await;
        let renew = format!("/v1/lease/{id}/renew");
        for _ in 0..4 {
            task::sleep(Duration::from_millis(150)).await;
            assert_eq!(client.call("POST", &renew, &[], &[]).await.unwrap().status(), 200);
        }
        assert_eq!(get(&mut client, "/v1/kv/e").await.status(), 200);
        task::sleep(Duration::from_millis(400)).await;
        assert_eq!(get(&mut client, "/v1/kv/e").await.status(), 404);
        assert_eq!(client.call("POST", &renew, &[], &[]).await.unwrap().status(), 404);
        let late = put(&mut client, &format!("e?if-version=0&lease={id}"), &json!("late")).await;
        assert_eq!(late.status(), 404, "a write with an expired lease must fail");
        let recreated = put(&mut client, "e?if-version=0", &json!("new")).await;
        assert_eq!(recreated.header("x-version"), Some("2"));
        store.close().await;
    });
}

/// Guards against a lost answer whose write is lost as well: the write must take effect.
#[test]
fn write_takes_effect_although_its_answer_is_lost() {
    task::block_on(async {
        let (store, mut client) = start().await;
        store.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
        let lost = client.call("PUT", "/v1/kv/k?if-version=0", &[], b"1").await;
        assert!(lost.is_err());
        let mut client = Client::connect(store.addr()).await.unwrap();
        assert_eq!(get(&mut client, "/v1/kv/k").await.header("x-version"), Some("1"));
        let next = put(&mut client, "k?if-version=1", &json!(2)).await;
        assert_eq!(next.status(), 200, "only one answer may be lost");
        store.close().await;
    });
}

/// Guards against a store that answers calls while it is down, or that loses its data in an outage.
#[test]
fn refuses_connections_while_down_and_keeps_its_data() {
    task::block_on(async {
        let (store, mut client) = start().await;
        put(&mut client, "k?if-version=0", &json!(1)).await;
        let mut admin = Client::connect(store.admin_addr()).await.unwrap();
        admin.call("POST", "/admin/faults", &[], br#"{"down":true}"#).await.unwrap();
        task::sleep(Duration::from_millis(100)).await;
        assert!(client.call("GET", "/v1/kv/k", &[], &[]).await.is_err());
        assert!(Client::connect(store.addr()).await.is_err());
        admin.call("POST", "/admin/faults", &[], br#"{"down":false}"#).await.unwrap();
        task::sleep(Duration::from_millis(300)).await;
        let mut client = Client::connect(store.addr()).await.unwrap();
        assert_eq!(get(&mut client, "/v1/kv/k").await.status(), 200);
        store.close().await;
    });
}

/// Guards against a hanging store that answers calls, or that does not accept the admin call which
/// ends the fault.
#[test]
fn hangs_without_refusing_connections() {
    task::block_on(async {
        let (store, mut client) = start().await;
        let down = StoreFaults { down: true, down_mode: DownMode::Hang, ..StoreFaults::default() };
        store.set_faults(down);
        let call = client.call("PUT", "/v1/kv/k?if-version=0", &[], b"1");
        let hung = async_std::future::timeout(Duration::from_millis(300), call).await;
        assert!(hung.is_err());
        let mut client = Client::connect(store.addr()).await.unwrap();
        client.call("POST", "/admin/faults", &[], br#"{"down":false}"#).await.unwrap();
        assert_eq!(get(&mut client, "/v1/kv/k").await.status(), 404, "the call was executed");
        store.close().await;
    });
}

/// Guards against a delay or a rate limit that is not applied.
#[test]
fn delays_and_limits_calls() {
    task::block_on(async {
        let options = StoreOptions { writes_per_s: 5, ..StoreOptions::default() };
        let store = Store::start(options).await.unwrap();
        let mut client = Client::connect(store.addr()).await.unwrap();
        let mut refused = 0;
        for n in 0..10 {
            let reply = put(&mut client, &format!("k{n}?if-version=0"), &json!(n)).await;
            refused += u32::from(reply.status() == 429);
        }
        assert!(refused >= 1, "10 writes at a limit of 5 per second");
        assert_eq!(store.stats().writes, 10, "refused calls are counted too");
        store.set_faults(StoreFaults { delay_ms: 200, ..StoreFaults::default() });
        let start = Instant::now();
        get(&mut client, "/v1/kv/k0").await;
        assert!(start.elapsed() >= Duration::from_millis(200));
        store.close().await;
    });
}

/// Guards against a lost answer to a watch that leaves the connection of the client open.
#[test]
fn loses_watch_answers() {
    task::block_on(async {
        let (store, mut client) = start().await;
        put(&mut client, "k?if-version=0", &json!(1)).await;
        store.set_faults(StoreFaults { lose_watch_answers: 1, ..StoreFaults::default() });
        let lost = client.call("GET", "/v1/watch/k?after=0&timeout-ms=100", &[], &[]).await;
        assert!(lost.is_err());
        let mut client = Client::connect(store.addr()).await.unwrap();
        let answer = get(&mut client, "/v1/watch/k?after=0&timeout-ms=100").await;
        assert_eq!(answer.status(), 200);
        store.close().await;
    });
}
