//! Requests that clients send on a connection before the first is answered.

use std::time::{Duration, Instant};

use async_std::{
    future::timeout,
    task::{self, block_on},
};
use oleandertiller::mesh::http::{Headers, HttpConn, encode_request, response_framing};
use oleandertiller_standin::platform::Run;

use crate::fleet::{Fleet, wait_for};

/// Time for which the upstreams work on a request.
const SERVICE_TIME: Duration = Duration::from_millis(700);

/// Starts two nodes whose upstreams take [`SERVICE_TIME`].
async fn start() -> Fleet {
    let fleet = Fleet::start(2).await;
    for member in &fleet.members {
        member.upstream.change(|behaviour| behaviour.service_time = SERVICE_TIME);
    }
    fleet
}

fn request(method: &str, id: &str, close: bool) -> Vec<u8> {
    let mut headers = Headers::default();
    headers.set("Host", "shop.example");
    headers.set("Oleandertiller-Attempt-Id", id);
    if close {
        headers.set("Connection", "close");
    }
    let path = if method == "GET" { "/read/1" } else { "/release/1" };
    encode_request(method, path, &headers, &[])
}

/// Sends requests in one write on a new connection.
async fn send(fleet: &Fleet, requests: &[Vec<u8>]) -> HttpConn {
    let mut conn = HttpConn::connect(fleet.members[0].ingress).await.unwrap();
    conn.write(&requests.concat()).await.unwrap();
    conn
}

/// Reads responses until the connection ends or none comes for a second longer than the upstreams
/// take; returns the status, the id and whether the connection is closed, of each.
async fn read_all(conn: &mut HttpConn) -> Vec<(u16, String, bool)> {
    let mut seen = Vec::new();
    let wait = SERVICE_TIME + Duration::from_secs(1);
    while let Ok(Ok(head)) = timeout(wait, conn.read_response(64_000)).await {
        let framing = response_framing(head.status, &head.headers).unwrap();
        conn.read_body(framing, 1 << 20).await.unwrap();
        let id = head.headers.get("Oleandertiller-Attempt-Id").unwrap_or("").to_owned();
        seen.push((head.status, id, head.close));
    }
    seen
}

/// Returns all runs of a request, the first started first: a slow safe request is hedged.
fn runs_of(fleet: &Fleet, id: &str) -> Vec<Run> {
    let runs = fleet.members.iter().flat_map(|member| member.upstream.runs());
    let mut runs: Vec<_> = runs.filter(|run| run.id == id).collect();
    runs.sort_by_key(|run| run.started);
    runs
}

fn start_of(fleet: &Fleet, id: &str) -> Instant {
    runs_of(fleet, id).first().unwrap_or_else(|| panic!("{id} has not run")).started
}

fn ok(id: &str, close: bool) -> (u16, String, bool) {
    (200, id.to_owned(), close)
}

/// Guards against pipelined safe requests that are run one after the other, and against responses out
/// of order.
#[test]
fn pipelined_requests_run_one_after_the_other() {
    block_on(async {
        let fleet = start().await;
        let ids = ["p-0", "p-1", "p-2", "p-3"];
        let mut conn = send(&fleet, &ids.map(|id| request("GET", id, false))).await;
        assert_eq!(read_all(&mut conn).await, ids.map(|id| ok(id, false)));
        let starts = ids.map(|id| start_of(&fleet, id));
        let spread = *starts.iter().max().unwrap() - *starts.iter().min().unwrap();
        assert!(spread < SERVICE_TIME, "started over {spread:?}");
    });
}

/// Guards against an unsafe request that is started beside those ahead of it, and against requests
/// that are started before an unsafe one ahead of them is answered.
#[test]
fn unsafe_request_runs_beside_others_of_its_connection() {
    block_on(async {
        let fleet = start().await;
        let requests = [("GET", "m-0"), ("GET", "m-1"), ("POST", "m-2"), ("GET", "m-3")];
        let bytes = requests.map(|(method, id)| request(method, id, false));
        let mut conn = send(&fleet, &bytes).await;
        assert_eq!(read_all(&mut conn).await, requests.map(|(_, id)| ok(id, false)));
        let started = |id: &str| start_of(&fleet, id);
        assert!(started("m-2") >= started("m-0").max(started("m-1")) + SERVICE_TIME);
        assert!(started("m-3") >= started("m-2") + SERVICE_TIME);
    });
}

/// Guards against requests that run behind one whose response closes the connection, and against an
/// answer that is lost because the next request is malformed.
#[test]
fn requests_behind_a_close_are_run() {
    block_on(async {
        let fleet = start().await;
        let requests = [("c-0", false), ("c-1", true), ("c-2", false)];
        let mut conn = send(&fleet, &requests.map(|(id, close)| request("GET", id, close))).await;
        assert_eq!(read_all(&mut conn).await, [ok("c-0", false), ok("c-1", true)]);
        assert_eq!(fleet.runs("c-2"), 0);
        let requests = [
            request("GET", "b-0", false),
            b"no http\r\n\r\n".to_vec(),
            request("GET", "b-2", false),
        ];
        let mut conn = send(&fleet, &requests).await;
        assert_eq!(read_all(&mut conn).await, [ok("b-0", false), (400, String::new(), true)]);
        assert_eq!(fleet.runs("b-2"), 0);
    });
}

/// Guards against requests of a connection that go on after their client has left.
#[test]
fn requests_of_a_client_that_left_go_on() {
    block_on(async {
        let fleet = start().await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.service_time = Duration::from_secs(1));
        }
        let ids = ["g-0", "g-1", "g-2", "g-3"];
        let conn = send(&fleet, &ids.map(|id| request("GET", id, false))).await;
        wait_for("start of the requests", || ids.iter().all(|id| fleet.runs(id) > 0).then_some(()))
            .await;
        drop(conn);
        let left = Instant::now();
        let running =
            || fleet.members.iter().map(|member| member.upstream.running()).sum::<usize>();
        wait_for("end of the requests", || (running() == 0).then_some(())).await;
        let finished =
            ids.iter().flat_map(|id| runs_of(&fleet, id)).filter(|run| run.finished).count();
        assert_eq!(finished, 0, "went on for {:?}", left.elapsed());
    });
}

/// Guards against a planned stop that cuts pipelined requests in flight, or reads further ones.
#[test]
fn planned_stop_cuts_pipelined_requests() {
    block_on(async {
        let mut fleet = start().await;
        let ids = ["s-0", "s-1", "s-2"];
        let mut conn = send(&fleet, &ids.map(|id| request("GET", id, false))).await;
        wait_for("start of the requests", || ids.iter().all(|id| fleet.runs(id) > 0).then_some(()))
            .await;
        fleet.members[0].signal("TERM");
        task::sleep(SERVICE_TIME / 3).await;
        conn.write(&request("GET", "s-3", false)).await.unwrap();
        assert_eq!(
            read_all(&mut conn).await,
            [ok("s-0", false), ok("s-1", false), ok("s-2", true)]
        );
        let status = fleet.members[0].wait_for_exit(Duration::from_secs(6)).await;
        assert!(status.success(), "{status}");
        assert_eq!(fleet.runs("s-3"), 0);
    });
}
