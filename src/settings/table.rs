//! Table of settings keys, the only place where a key is declared.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;
use oleandertiller_model::{NodeName, RegionName, ServiceName, ZoneName};
use oleandertiller_routing::{limit::Reserve, selection::Policy};

use super::value::{Allowed, LOG_FORMATS, LOG_LEVELS, LogFormat, POLICIES, RESERVES, Share};

/// Section of operators' tokens; its keys are the names of operators.
pub const OPERATORS: &str = "operators";

/// Prefix of the name of a section that declares a service.
pub const SERVICE_PREFIX: &str = "service ";

/// Prefix of a key that declares a request kind.
pub const KIND_PREFIX: &str = "kind ";

/// Declaration of one key.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Section that holds the key.
    pub section: &'static str,
    /// Name of the key; it ends with the unit where there is one.
    pub name: &'static str,
    /// Value when the key is left out; `None` makes the key mandatory.
    pub default: Option<&'static str>,
    /// Values that the key accepts.
    pub allowed: Allowed,
    /// One-line description for the guide and the documentation.
    pub doc: &'static str,
}

pub(super) const fn number(min: u64, max: u64, unit: &'static str) -> Allowed {
    Allowed::Number { min, max, unit }
}

pub(super) const fn percent(max_ppm: u32) -> Allowed {
    Allowed::Percent { max_ppm }
}

macro_rules! settings {
    ($($(#[$doc:meta])* $section:literal => $group:ident {
        $($key:literal, $field:ident: $type:ty, $default:expr, $allowed:expr, $text:literal;)*
    })*) => {
        /// All keys, by section.
        pub const KEYS: &[$crate::settings::table::Key] = &[$($($crate::settings::table::Key {
            section: $section,
            name: $key,
            default: $default,
            allowed: $allowed,
            doc: $text,
        },)*)*];

        $(
            $(#[$doc])*
            #[derive(Clone, Debug, PartialEq)]
            pub struct $group {
                $(#[doc = $text] pub $field: $type,)*
            }

            impl $group {
                pub(super) fn read(reader: &mut $crate::settings::reader::Reader) -> Option<Self> {
                    // Every key is read before the first `?`, so that all errors are reported.
                    $(let $field: Option<$type> = reader.value($section, $key);)*
                    Some(Self { $($field: $field?,)* })
                }
            }
        )*
    };
}

pub(super) use settings;

settings! {
    /// The node itself.
    "node" => NodeSettings {
        "name", name: NodeName, None, Allowed::Name,
            "Name of the node, unique in the fleet and kept across restarts.";
        "zone", zone: ZoneName, None, Allowed::Name, "Availability zone.";
        "region", region: RegionName, Some("local"), Allowed::Name,
            "Region, a group of zones.";
        "service", service: ServiceName, None, Allowed::Name,
            "Service of the upstream beside the node.";
        "threads", threads: u32, Some("2"), number(1, 64, ""),
            "Threads of the executor; 1 or 2 give the shortest tail latency.";
    }
    /// Sockets.
    "listen" => ListenSettings {
        "client", client: SocketAddr, None, Allowed::Address, "Calls from clients, HTTP/1.1.";
        "inner", inner: SocketAddr, None, Allowed::ReachableAddress,
            "Calls from other nodes, TCP.";
        "gossip", gossip: SocketAddr, None, Allowed::ReachableAddress,
            "Membership and dissemination, UDP.";
        "operator", operator: SocketAddr, None, Allowed::Address,
            "Operators, metrics and the upstream's announcements, HTTP/1.1.";
    }
    /// The platform's key-value store.
    "store" => StoreSettings {
        "address", address: SocketAddr, None, Allowed::ReachableAddress,
            "Address of the key-value store.";
        "connect-timeout-ms", connect_timeout: Duration, Some("1000"), number(10, 60_000, "ms"),
            "Longest wait for a connection to the store.";
        "call-timeout-ms", call_timeout: Duration, Some("2000"), number(10, 60_000, "ms"),
            "Longest wait for an answer of the store, watches excepted.";
    }
    /// Other nodes.
    "peers" => PeerSettings {
        "seeds", seeds: Vec<SocketAddr>, Some(""), Allowed::Addresses,
            "Gossip addresses to join through while the store is down.";
        "routes", routes: Vec<(SocketAddr, SocketAddr)>, Some(""), Allowed::Routes,
            "Addresses of peers that this node reaches through another address, such as a relay.";
    }
    /// Limits on requests and on the upstream.
    "limits" => LimitSettings {
        "head-max-bytes", head_max_bytes: u32, Some("16384"), number(512, 1_048_576, "bytes"),
            "Largest request head.";
        "body-max-bytes", body_max_bytes: u32, Some("1048576"), number(0, 67_108_864, "bytes"),
            "Largest request body; bodies are held in memory.";
        "head-timeout-ms", head_timeout: Duration, Some("5000"), number(10, 600_000, "ms"),
            "Longest time in which a client sends a request head.";
        "body-timeout-ms", body_timeout: Duration, Some("10000"), number(10, 600_000, "ms"),
            "Longest time in which a client sends a request body.";
        "idle-timeout-ms", idle_timeout: Duration, Some("60000"), number(10, 3_600_000, "ms"),
            "Time after which a connection without requests is closed.";
        "cold-limit", cold_limit: u32, Some("1"), number(1, 1_000, ""),
            "Requests in flight at an upstream right after a cold start.";
        "max-queue-wait-ms", max_queue_wait: Duration, Some("500"), number(0, 60_000, "ms"),
            "Longest wait for a slot at the owner.";
        "max-queued", max_queued: u32, Some("256"), number(0, 100_000, ""),
            "Most requests that wait at the owner.";
        "reserve", reserve: Reserve, Some("while-used"), Allowed::OneOf(RESERVES),
            "When an eighth of the limit, at least one slot, is kept for nested calls; `while-used` is until a minute after the last one.";
    }
    /// Selection of an owner.
    "selection" => SelectionSettings {
        "policy", policy: Policy, Some("expected-wait"), Allowed::OneOf(POLICIES),
            "How an owner is chosen; all but the first are baselines for experiments.";
        "candidates", candidates: u32, Some("3"), number(1, 100, ""),
            "Random candidates that are compared.";
        "load-max-age-ms", load_max_age: Duration, Some("500"), number(1, 60_000, "ms"),
            "Age from which a load report counts as unknown.";
        "zone-ramp-s", zone_ramp: Duration, Some("10"), number(0, 600, "s"),
            "Time over which the share of a returning zone grows to its full size.";
        "other-zone-cost-us", other_zone_cost: Duration, Some("1000"), number(0, 1_000_000, "us"),
            "Added to the expected wait at owners in other zones.";
    }
    /// Budget of retries, hedges and probes.
    "retries" => RetrySettings {
        "share", share: Share, Some("10%"), percent(500_000),
            "Retries, hedges and probes as a share of first attempts.";
        "per-second", per_second: u32, Some("5"), number(0, 10_000, ""),
            "Retries a second that are allowed on top, for services with few calls.";
    }
    /// Ledger of idempotency keys.
    "ledger" => LedgerSettings {
        "window-s", window: Duration, Some("120"), number(1, 3_600, "s"),
            "Time for which a key is remembered; the same on every node.";
        "clock-skew-ms", clock_skew: Duration, Some("500"), number(0, 60_000, "ms"),
            "Largest difference between the clocks of two machines; the same on every node.";
        "entries", entries: u32, Some("100000"), number(1, 10_000_000, ""),
            "Most keys remembered at once; new ones are refused beyond that.";
    }
    /// Log lines.
    "log" => LogSettings {
        "format", format: LogFormat, Some("plain"), Allowed::OneOf(LOG_FORMATS),
            "Form of log lines.";
        "level", level: LevelFilter, Some("info"), Allowed::OneOf(LOG_LEVELS),
            "Least severe level that is logged.";
    }
}
