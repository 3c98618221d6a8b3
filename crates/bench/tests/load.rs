//! The load generator against stand-in upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use oleandertiller_bench::load::{self, ClientPolicy, Plan, Route};
use oleandertiller_bench::process;
use oleandertiller_bench::stats::Stats;
use oleandertiller_bench::workload::{Deployment, LoadKind};
use oleandertiller_standin::http::{Call, Handler, Response, Server, StatusCode};
use oleandertiller_standin::{Proxy, ProxyFaults, ProxyOptions, Upstream, UpstreamOptions};

const SECOND: Duration = Duration::from_secs(1);

fn kind(name: &str) -> Vec<LoadKind> {
    Deployment::Tuul.kinds().iter().filter(|kind| kind.kind == name).cloned().collect()
}

fn route(service: &str, addrs: Vec<SocketAddr>, policy: ClientPolicy) -> Route {
    Route::Upstreams([(service.to_owned(), addrs)].into(), policy)
}

fn upstream(f: impl FnOnce(&mut UpstreamOptions)) -> Upstream {
    let mut options = UpstreamOptions::new("kettle");
    options.slots = 64;
    f(&mut options);
    task::block_on(Upstream::start(options)).unwrap()
}

/// Guards against requests that are offered and not counted, or counted twice.
#[test]
fn every_request_is_counted_once() {
    let upstream = upstream(|_| {});
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let stats = load::run(Plan::new(1, 300.0, SECOND, kind("temper"), to));
    let record = upstream.record();
    assert_eq!(stats.offered(), record.received);
    assert_eq!(stats.count("done"), record.succeeded);
    assert_eq!(stats.count("wrong"), 0);
    assert!(record.requests.values().all(|runs| *runs == 1));
    task::block_on(upstream.close());
}

/// Guards against latency that is measured from the sending and so hides the wait for a stalled
/// server: at 200 requests a second, a server with one slot of 10 ms falls behind by half a
/// second within the second.
#[test]
fn latency_counts_from_the_intended_start() {
    let upstream = upstream(|options| {
        options.slots = 1;
        options.behaviour.sigma = 0.0;
        options.behaviour.service_ms.insert("temper".into(), 10.0);
    });
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let mut kinds = kind("temper");
    kinds[0].deadline = Duration::from_secs(10);
    let stats = load::run(Plan::new(1, 200.0, SECOND, kinds, to));
    let longest = stats.latency().max();
    assert!(longest >= 500_000, "{longest} us");
    task::block_on(upstream.close());
}

/// Answers with a body, an id or an outcome as configured.
struct Server200 {
    id: Option<&'static str>,
    outcome: Option<&'static str>,
}

impl Handler for Server200 {
    async fn handle(&self, call: Call) -> Option<Response> {
        let id = self.id.or(call.header("x-request-id")).unwrap_or_default().to_owned();
        let mut res = Response::new(StatusCode::Ok);
        res.insert_header("x-request-id", id);
        if let Some(outcome) = self.outcome {
            res.insert_header("x-outcome", outcome);
            res.insert_header("x-reason", "zone-out");
        }
        res.set_body("not derived from the request");
        Some(res)
    }
}

fn against(handler: Server200) -> Stats {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = task::block_on(Server::start(any, Arc::new(handler))).unwrap();
    let to = Route::Nodes(vec![server.addr()]);
    let stats = load::run(Plan::new(1, 100.0, SECOND / 2, kind("temper"), to));
    task::block_on(server.close());
    stats
}

/// Guards against a foreign answer that is counted as correct.
#[test]
fn foreign_answers_are_wrong() {
    let body = against(Server200 { id: None, outcome: None });
    assert_eq!(body.count("wrong"), body.offered());
    let id = against(Server200 { id: Some("other"), outcome: None });
    assert_eq!(id.count("wrong"), id.offered());
    assert_eq!(id.goodput(), 0.0);
}

/// Guards against a tail that looks shorter because failed requests are left out of it.
#[test]
fn failed_requests_count_as_their_deadline() {
    let upstream = upstream(|options| options.behaviour.fail_share = 0.5);
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let stats = load::run(Plan::new(1, 200.0, SECOND, kind("temper"), to));
    let temper = &stats.kinds["kettle/temper"];
    assert_eq!(temper.latency_all.len(), temper.offered);
    assert_eq!(temper.latency.len(), temper.good);
    let deadline = kind("temper")[0].deadline.as_micros() as u64;
    // The histogram keeps three significant digits.
    assert!(temper.latency_all.value_at_quantile(0.99) >= deadline * 999 / 1_000);
    task::block_on(upstream.close());
}

/// Guards against refusals that are mixed up with unknown outcomes.
#[test]
fn outcomes_and_reasons_are_told_apart() {
    let refused = against(Server200 { id: None, outcome: Some("not-run") });
    assert_eq!(refused.count("not-run"), refused.offered());
    let counts = &refused.kinds["kettle/temper"].counts;
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["not-run zone-out"]);
    let unknown = against(Server200 { id: None, outcome: Some("unknown") });
    assert_eq!(unknown.count("unknown"), unknown.offered());
}

/// Guards against repeats under another key or without one, and against a key that two requests
/// share. The upstream alone runs each repeat, so its record shows them.
#[test]
fn duplicates_carry_the_same_key() {
    let upstream = upstream(|_| {});
    let to = route("recipe", vec![upstream.addr()], ClientPolicy::Random);
    let mut plan = Plan::new(1, 100.0, SECOND, kind("release"), to);
    plan.duplicate_share = 1.0;
    let stats = load::run(plan);
    let record = upstream.record();
    assert_eq!(record.keys.len() as u64, stats.offered());
    assert!(record.keys.values().all(|runs| *runs == 2));
    assert!(record.requests.values().all(|runs| *runs == 1));
    let opaque = record.keys.keys().filter(|key| key.starts_with("order-")).count();
    assert!(opaque > 0 && opaque < record.keys.len(), "both forms of keys are sent");
    let created = record.keys.keys().filter_map(|key| {
        oleandertiller_model::IdempotencyKey::parse("recipe/release", key)?.created()
    });
    assert_eq!(created.count() + opaque, record.keys.len(), "the others are UUIDv7");
    task::block_on(upstream.close());
}

/// Guards against a client that gives up on an at-most-once request before its repeats are used.
#[test]
fn refused_requests_are_repeated() {
    let upstream = upstream(|_| {});
    let to = route("recipe", vec![upstream.addr()], ClientPolicy::Random);
    task::block_on(upstream.close());
    let mut plan = Plan::new(1, 20.0, SECOND / 2, kind("release"), to);
    plan.repeats = 2;
    let stats = load::run(plan);
    let release = &stats.kinds["recipe/release"];
    assert_eq!(release.counts["not-run connect-failed"], release.offered);
    assert_eq!(release.repeats, release.offered * 2);
}

/// Guards against a lost answer whose repeat has another key: the first run takes effect, its
/// connection is reset, and the repeat must be recognisable.
#[test]
fn repeats_after_a_lost_answer_carry_the_same_key() {
    let upstream = upstream(|_| {});
    let proxy = task::block_on(Proxy::start(ProxyOptions::new(upstream.addr()))).unwrap();
    proxy.set_faults(ProxyFaults { lose_down: true, ..ProxyFaults::default() });
    let to = route("recipe", vec![proxy.addr()], ClientPolicy::Random);
    let mut kinds = kind("release");
    kinds[0].deadline = Duration::from_millis(200);
    let mut plan = Plan::new(1, 20.0, SECOND / 2, kinds, to);
    plan.repeats = 1;
    let stats = load::run(plan);
    assert_eq!(stats.count("unknown"), stats.offered());
    let record = upstream.record();
    assert_eq!(record.keys.len() as u64, stats.offered());
    assert!(record.keys.values().all(|runs| *runs == 2), "{:?}", record.keys);
    task::block_on(proxy.close());
    task::block_on(upstream.close());
}

/// Guards against baselines that do not do what their names say: a slow server gets the same
/// number of requests in turn, and fewer by least in flight.
#[test]
fn client_policies_select_as_named() {
    let share_of_slow = |policy| {
        let slow = upstream(|options| options.behaviour.slow_factor = 50.0);
        let fast = upstream(|_| {});
        let to = route("kettle", vec![slow.addr(), fast.addr()], policy);
        load::run(Plan::new(1, 200.0, SECOND, kind("temper"), to));
        let share = slow.record().received as f64
            / (slow.record().received + fast.record().received) as f64;
        task::block_on(slow.close());
        task::block_on(fast.close());
        share
    };
    let in_turn = share_of_slow(ClientPolicy::RoundRobin);
    assert!((0.49..0.51).contains(&in_turn), "{in_turn}");
    let random = share_of_slow(ClientPolicy::Random);
    assert!((0.35..0.65).contains(&random), "{random}");
    let least = share_of_slow(ClientPolicy::LeastInFlight);
    assert!(least < 0.4, "{least}");
}

/// Guards against a client delay that is applied to one direction only.
#[test]
fn client_delay_is_applied_both_ways() {
    let upstream = upstream(|options| options.behaviour.service_ms.clear());
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let mut plan = Plan::new(1, 50.0, SECOND / 2, kind("temper"), to);
    plan.client_delay = Duration::from_millis(3);
    let stats = load::run(plan);
    assert!(stats.latency().min() >= 5_990, "{} us", stats.latency().min());
    task::block_on(upstream.close());
}

/// Guards against wrong fields of `/proc`.
#[test]
fn reads_what_a_process_uses() {
    let pid = std::process::id();
    let before = process::cpu_time(pid).unwrap();
    let start = std::time::Instant::now();
    let mut n = 0_u64;
    while start.elapsed() < Duration::from_millis(300) {
        n = std::hint::black_box(n + 1);
    }
    assert!(process::cpu_time(pid).unwrap() > before);
    let resident = process::resident_bytes(pid).unwrap();
    assert!((1 << 20..1 << 32).contains(&resident), "{resident}");
}
