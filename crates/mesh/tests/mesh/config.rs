//! Routing of requests by the configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use oleandertiller_mesh::config::{ClientLimits, Config, RetrySafety, Route, WeightedService};

fn route(prefix: &str, parts: &[(&str, u32)]) -> Arc<Route> {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    Arc::new(Route {
        name: prefix.into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::Idempotent,
        objective: Duration::from_millis(500),
        rank: 1,
        allow_anonymous: false,
        timeout: Duration::from_secs(2),
        attempts: 2,
        split: parts.iter().map(part).collect(),
    })
}

fn config(routes: &[&str]) -> Config {
    let routes = routes.iter().map(|prefix| route(prefix, &[("a", 1)])).collect();
    Config {
        version: 1,
        limits: ClientLimits {
            head_bytes: 1_000,
            body_bytes: 1_000,
            head_time: Duration::from_secs(1),
            idle_time: Duration::from_secs(1),
        },
        hosts: BTreeMap::from([("shop.example".into(), routes)]),
        services: BTreeMap::new(),
        tenants: None,
    }
}

/// Guards against a request that is routed by a shorter prefix.
#[test]
fn longest_prefix_wins() {
    let cfg = config(&["/a/", "/a/b/", "/"]);
    let prefix = |host: &str, path: &str| cfg.route(host, path).map(|route| &*route.prefix);
    assert_eq!(prefix("shop.example", "/a/b/c"), Some("/a/b/"));
    assert_eq!(prefix("shop.example:80", "/a/bc"), Some("/a/"));
    assert_eq!(prefix("SHOP.example", "/c"), Some("/"));
    assert_eq!(prefix("other.example", "/a/"), None);
    assert_eq!(config(&["/a/"]).route("shop.example", "/a"), None);
}

/// Guards against services that get another share of the requests than their weight.
#[test]
fn requests_are_split_by_weight() {
    let route = route("/", &[("a", 9), ("none", 0), ("b", 1)]);
    let draws = (0..1_000).map(|n| f64::from(n) / 1_000.0);
    let picked: Vec<_> = draws.filter_map(|draw| route.pick_service(draw)).collect();
    assert_eq!(picked.iter().filter(|service| service.as_str() == "b").count(), 100);
    assert!(picked.iter().all(|service| service.as_str() != "none"));
    assert_eq!(route.pick_service(0.999_999_999_999).map(|service| service.as_str()), Some("b"));
}
