//! Settings of a mesh node. [`KEYS`] declares every key once, as [`super::table`] does for nodes.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use log::LevelFilter;
use oleandertiller_mesh::usage::Windows;
use oleandertiller_model::{NodeName, ServiceName, ZoneName};

use super::{
    LoadError, SettingsError,
    reader::Reader,
    source::Source,
    table::{number, settings},
    value::{Allowed, LOG_LEVELS},
};

settings! {
    /// The node itself.
    "node" => MeshNodeSettings {
        "name", name: NodeName, None, Allowed::Name, "Name of the node, unique in the fleet.";
        "zone", zone: ZoneName, None, Allowed::Name, "Availability zone.";
        "service", service: ServiceName, None, Allowed::Name,
            "Service of the upstream beside the node.";
        "upstream", upstream: SocketAddr, None, Allowed::ReachableAddress,
            "Address of the upstream beside the node.";
        "threads", threads: u32, Some("1"), number(1, 64, ""), "Threads of the executor.";
        "descriptors", descriptors: u32, Some("4096"), number(64, 1_048_576, ""),
            "File descriptors that the process may open; most of them serve clients.";
        "memory-mb", memory_mb: u32, Some("256"), number(16, 1_048_576, ""),
            "Memory that the process may use, in megabytes; most of it holds bodies.";
    }
    /// Sockets.
    "listen" => MeshListenSettings {
        "ingress", ingress: SocketAddr, None, Allowed::Address,
            "Requests of the clients and the upstream of this instance, HTTP/1.1.";
        "inner", inner: SocketAddr, None, Allowed::ReachableAddress, "Calls from other nodes.";
        "ready", ready: SocketAddr, None, Allowed::Address, "Whether the node takes clients.";
        "control", control: SocketAddr, None, Allowed::Address,
            "Announcements of the upstream beside the node.";
        "metrics", metrics: SocketAddr, None, Allowed::Address,
            "Counters and histograms as OpenMetrics text.";
    }
    /// The platform's key-value store.
    "store" => MeshStoreSettings {
        "address", address: SocketAddr, None, Allowed::ReachableAddress, "Address of the store.";
        "lease-ms", lease: Duration, Some("3000"), number(1_000, 600_000, "ms"),
            "Life of the node's record without a renewal, in a small fleet.";
        "shortest-lease-ms", shortest_lease: Duration, Some("1000"), number(1, 600_000, "ms"),
            "Shortest lease that the store grants.";
        "writes-per-s", writes_per_second: f64, Some("0"), Allowed::Decimal { max: 1_000_000_000 },
            "Writes that the store allows to all nodes together; leases are longer in a fleet that \
             may make many.";
    }
    /// Service terms that operators have agreed on with the users.
    "terms" => MeshTermsSettings {
        "stop-s", stop_seconds: f64, Some("6"), Allowed::Decimal { max: 3_600 },
            "Seconds between the request to stop and the kill.";
        "retry-ratio", retry_ratio: f64, Some("0.2"), Allowed::Decimal { max: 10 },
            "Repeats for each request, over the fleet and one window.";
        "retry-extra", retry_extra: f64, Some("50"), Allowed::Decimal { max: 1_000_000 },
            "Repeats in one window on top, over the fleet.";
        "retry-window-s", retry_window: Duration, Some("10"), number(1, 3_600, "s"),
            "Length of the sliding window of the retry budget.";
        "exposure-share", exposure_share: Option<f64>, Some("0.1"), Allowed::Decimal { max: 1 },
            "Share of a service's requests that a bad version may get in its rollout. If this or \
             the next key is stated without a value, the node leads no rollouts.";
        "exposure-extra", exposure_extra: Option<f64>, Some("50"),
            Allowed::Decimal { max: 1_000_000 },
            "Requests that a bad version may get on top.";
        "probes-per-s", probes_per_second: f64, Some("60"), Allowed::Decimal { max: 100_000 },
            "Most health checks a second of one upstream.";
    }
    /// Reports of the tenants' usage. They are off unless the first three keys have a value.
    "usage" => MeshUsageSettings {
        "address", address: Option<SocketAddr>, Some(""), Allowed::ReachableAddress,
            "Address to which usage is reported.";
        "window-s", window_seconds: Option<f64>, Some(""), Allowed::Decimal { max: 86_400 },
            "Length of the windows of time for which usage is reported, in seconds.";
        "late-s", late_seconds: Option<f64>, Some(""), Allowed::Decimal { max: 86_400 },
            "Time after the end of a window at which its report is due, in seconds.";
        "holder-ms", holder_ms: Option<f64>, Some("3000"), Allowed::Decimal { max: 600_000 },
            "Shortest time for which a node keeps the duty of reporting, in milliseconds, so that \
             it does not return to an earlier holder within that time.";
    }
    /// Log lines.
    "log" => MeshLogSettings {
        "level", level: LevelFilter, Some("info"), Allowed::OneOf(LOG_LEVELS),
            "Least severe level that is logged.";
    }
}

/// How usage is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageReporting {
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Windows of the reports.
    pub windows: Windows,
    /// Shortest time for which a node has the duty.
    pub tenure: Duration,
}

/// Shortest time for which a node has the duty of reporting if the settings state none.
const DEFAULT_TENURE_MS: f64 = 3_000.0;

impl MeshUsageSettings {
    /// Returns how usage is reported, or `None` if it is not.
    pub fn reporting(&self) -> Option<UsageReporting> {
        let length = Duration::from_secs_f64(self.window_seconds?);
        let windows = Windows::new(length, Duration::from_secs_f64(self.late_seconds?))?;
        let tenure = self.holder_ms.unwrap_or(DEFAULT_TENURE_MS);
        let tenure = Duration::from_secs_f64(tenure / 1_000.0);
        Some(UsageReporting { address: self.address?, windows, tenure })
    }
}

/// All settings of a mesh node.
#[derive(Clone, Debug, PartialEq)]
pub struct MeshSettings {
    /// Section `[node]`.
    pub node: MeshNodeSettings,
    /// Section `[listen]`.
    pub listen: MeshListenSettings,
    /// Section `[store]`.
    pub store: MeshStoreSettings,
    /// Section `[terms]`.
    pub terms: MeshTermsSettings,
    /// Section `[usage]`.
    pub usage: MeshUsageSettings,
    /// Section `[log]`.
    pub log: MeshLogSettings,
}

impl MeshSettings {
    /// Reads a file, parses it and checks it.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError`] with every error of the file.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(LoadError::Io)?;
        Self::parse(&text).map_err(LoadError::Settings)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, by line; errors without a line come last.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        let mut reader = Reader::new(Source::parse(text), KEYS);
        // Every section is read before the first `?`, so that all errors are reported.
        let node = MeshNodeSettings::read(&mut reader);
        let listen = MeshListenSettings::read(&mut reader);
        let store = MeshStoreSettings::read(&mut reader);
        let terms = MeshTermsSettings::read(&mut reader);
        let usage = MeshUsageSettings::read(&mut reader);
        let log = MeshLogSettings::read(&mut reader);
        let errors = reader.finish();
        match (node, listen, store, terms, usage, log) {
            (Some(node), Some(listen), Some(store), Some(terms), Some(usage), Some(log))
                if errors.is_empty() =>
            {
                Ok(Self { node, listen, store, terms, usage, log })
            }
            _ => Err(errors),
        }
    }
}
