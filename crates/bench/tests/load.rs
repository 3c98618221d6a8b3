//! Tests of the load generator with stand-in upstreams, and of the reading of process statistics.

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

fn kinds_named(name: &str) -> Vec<LoadKind> {
    Deployment::Tuul.kinds().iter().filter(|kind| kind.kind == name).cloned().collect()
}

fn route(service: &str, addrs: Vec<SocketAddr>, policy: ClientPolicy) -> Route {
    Route::Upstreams([(service.to_owned(), addrs)].into(), policy)
}

fn start_upstream(configure: impl FnOnce(&mut UpstreamOptions)) -> Upstream {
    let mut options = UpstreamOptions::new("kettle");
    options.slots = 64;
    configure(&mut options);
    task::block_on(Upstream::start(options)).unwrap()
}

/// Guards against requests that are sent and not counted, or counted twice.
#[test]
fn every_request_is_counted_once() {
    let upstream = start_upstream(|_| {});
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let stats = load::run(Plan::new(1, 300.0, SECOND, kinds_named("temper"), to));
    let record = upstream.record();
    assert_eq!(stats.offered(), record.received);
    assert_eq!(stats.count("done"), record.succeeded);
    assert_eq!(stats.count("wrong"), 0);
    assert!(record.requests.values().all(|runs| *runs == 1));
    task::block_on(upstream.close());
}

/// Guards against latency that counts from the time of sending, which hides delays that a slow
/// upstream causes in the generator (coordinated omission). At 200 requests/s, an upstream with one
/// slot and a service time of 10 ms is half a second behind after one second.
#[test]
fn latency_counts_from_the_intended_start() {
    let upstream = start_upstream(|options| {
        options.slots = 1;
        options.behaviour.sigma = 0.0;
        options.behaviour.service_ms.insert("temper".into(), 10.0);
    });
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let mut kinds = kinds_named("temper");
    kinds[0].deadline = Duration::from_secs(10);
    let stats = load::run(Plan::new(1, 200.0, SECOND, kinds, to));
    let longest = stats.latency().max();
    assert!(longest >= 500_000, "{longest} us");
    task::block_on(upstream.close());
}

/// A server that answers every request with status 200 and the same body.
struct FixedAnswer {
    /// Request id of the answers; `None` for that of the request.
    id: Option<&'static str>,
    outcome: Option<&'static str>,
}

impl Handler for FixedAnswer {
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

fn run_against(handler: FixedAnswer) -> Stats {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = task::block_on(Server::start(any_port, Arc::new(handler))).unwrap();
    let to = Route::Nodes(vec![server.addr()]);
    let stats = load::run(Plan::new(1, 100.0, SECOND / 2, kinds_named("temper"), to));
    task::block_on(server.close());
    stats
}

/// Guards against an answer that is counted as correct although its body or its id belongs to
/// another request.
#[test]
fn answers_to_other_requests_are_wrong() {
    let wrong_body = run_against(FixedAnswer { id: None, outcome: None });
    assert_eq!(wrong_body.count("wrong"), wrong_body.offered());
    let wrong_id = run_against(FixedAnswer { id: Some("other"), outcome: None });
    assert_eq!(wrong_id.count("wrong"), wrong_id.offered());
    assert_eq!(wrong_id.goodput(), 0.0);
}

/// Guards against a tail latency that is too low because it leaves out failed requests.
#[test]
fn failed_requests_count_as_their_deadline() {
    let upstream = start_upstream(|options| options.behaviour.fail_share = 0.5);
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let stats = load::run(Plan::new(1, 200.0, SECOND, kinds_named("temper"), to));
    let temper = &stats.kinds["kettle/temper"];
    assert_eq!(temper.latency_all.len(), temper.offered);
    assert_eq!(temper.latency.len(), temper.good);
    let deadline = kinds_named("temper")[0].deadline.as_micros() as u64;
    // The histogram keeps three significant digits.
    assert!(temper.latency_all.value_at_quantile(0.99) >= deadline * 999 / 1_000);
    task::block_on(upstream.close());
}

/// Guards against refusals that are counted as unknown outcomes or the reverse, and against a lost
/// reason.
#[test]
fn outcomes_and_reasons_are_told_apart() {
    let refused = run_against(FixedAnswer { id: None, outcome: Some("not-run") });
    assert_eq!(refused.count("not-run"), refused.offered());
    let counts = &refused.kinds["kettle/temper"].counts;
    assert_eq!(counts.keys().collect::<Vec<_>>(), ["not-run zone-out"]);
    let unknown = run_against(FixedAnswer { id: None, outcome: Some("unknown") });
    assert_eq!(unknown.count("unknown"), unknown.offered());
}

/// Guards against duplicates with another key or without one, and against a key that two requests
/// share. Without a node, the upstream runs every duplicate, so that its record shows them all.
#[test]
fn duplicates_carry_the_same_key() {
    let upstream = start_upstream(|_| {});
    let to = route("recipe", vec![upstream.addr()], ClientPolicy::Random);
    let mut plan = Plan::new(1, 100.0, SECOND, kinds_named("release"), to);
    plan.duplicate_share = 1.0;
    let stats = load::run(plan);
    let record = upstream.record();
    assert_eq!(record.keys.len() as u64, stats.offered());
    assert!(record.keys.values().all(|runs| *runs == 2));
    assert!(record.requests.values().all(|runs| *runs == 1));
    let opaque_keys = record.keys.keys().filter(|key| key.starts_with("order-")).count();
    assert!(opaque_keys > 0 && opaque_keys < record.keys.len(), "both forms of keys are sent");
    let created = record.keys.keys().filter_map(|key| {
        oleandertiller_model::IdempotencyKey::parse("recipe/release", key)?.created()
    });
    assert_eq!(created.count() + opaque_keys, record.keys.len(), "the others are UUIDv7");
    task::block_on(upstream.close());
}

/// Guards against a client that gives up an at-most-once request before it has used all repeats.
#[test]
fn refused_requests_are_repeated() {
    let upstream = start_upstream(|_| {});
    let to = route("recipe", vec![upstream.addr()], ClientPolicy::Random);
    task::block_on(upstream.close());
    let mut plan = Plan::new(1, 20.0, SECOND / 2, kinds_named("release"), to);
    plan.repeats = 2;
    let stats = load::run(plan);
    let release = &stats.kinds["recipe/release"];
    assert_eq!(release.counts["not-run connect-failed"], release.offered);
    assert_eq!(release.repeats, release.offered * 2);
}

/// Guards against a repeat with another key after a lost answer: the first request ran before its
/// connection was reset, so that a new key would hide the second run.
#[test]
fn repeats_after_a_lost_answer_carry_the_same_key() {
    let upstream = start_upstream(|_| {});
    let proxy = task::block_on(Proxy::start(ProxyOptions::new(upstream.addr()))).unwrap();
    proxy.set_faults(ProxyFaults { lose_down: true, ..ProxyFaults::default() });
    let to = route("recipe", vec![proxy.addr()], ClientPolicy::Random);
    let mut kinds = kinds_named("release");
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

/// Guards against client policies that do not do what their names say. With round robin, a slow
/// upstream gets as many requests as a fast one, and fewer with least in flight.
#[test]
fn client_policies_select_as_named() {
    let share_of_slow = |policy| {
        let slow = start_upstream(|options| options.behaviour.slow_factor = 50.0);
        let fast = start_upstream(|_| {});
        let to = route("kettle", vec![slow.addr(), fast.addr()], policy);
        load::run(Plan::new(1, 200.0, SECOND, kinds_named("temper"), to));
        let share = slow.record().received as f64
            / (slow.record().received + fast.record().received) as f64;
        task::block_on(slow.close());
        task::block_on(fast.close());
        share
    };
    let round_robin = share_of_slow(ClientPolicy::RoundRobin);
    assert!((0.49..0.51).contains(&round_robin), "{round_robin}");
    let random = share_of_slow(ClientPolicy::Random);
    assert!((0.35..0.65).contains(&random), "{random}");
    let least_in_flight = share_of_slow(ClientPolicy::LeastInFlight);
    assert!(least_in_flight < 0.4, "{least_in_flight}");
}

/// Guards against a client delay that is applied to one direction only.
#[test]
fn client_delay_is_applied_both_ways() {
    let upstream = start_upstream(|options| options.behaviour.service_ms.clear());
    let to = route("kettle", vec![upstream.addr()], ClientPolicy::Random);
    let mut plan = Plan::new(1, 50.0, SECOND / 2, kinds_named("temper"), to);
    plan.client_delay = Duration::from_millis(3);
    let stats = load::run(plan);
    assert!(stats.latency().min() >= 5_990, "{} us", stats.latency().min());
    task::block_on(upstream.close());
}

/// Guards against CPU time and memory that are read from the wrong fields of `/proc`.
#[test]
fn reads_cpu_time_and_memory_of_a_process() {
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
