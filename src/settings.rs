//! Settings of a node, parsed from an INI file and checked as a whole.
//!
//! [`table`] declares every key once; parsing, checking and the guide's page derive from it. All
//! errors of a file are reported together, and none shows an operator's token.

pub mod error;
pub mod guide;
pub mod mesh;
mod reader;
mod source;
pub mod table;
pub mod token;
pub mod value;

use std::{fs, io, net::SocketAddr, path::Path};

use oleandertiller_language::nearest;
use oleandertiller_model::{ServiceName, ServiceSpec};
use oleandertiller_routing::{limit::LimitConfig, selection::SelectionConfig};

pub use self::{
    error::{Problem, SettingsError},
    table::{
        LedgerSettings, LimitSettings, ListenSettings, LogSettings, NodeSettings, PeerSettings,
        RetrySettings, SelectionSettings, StoreSettings,
    },
    token::{Operator, Token},
    value::{LogFormat, Share},
};
use self::{reader::Reader, source::Source};

/// All settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Section `[node]`.
    pub node: NodeSettings,
    /// Section `[listen]`.
    pub listen: ListenSettings,
    /// Section `[store]`.
    pub store: StoreSettings,
    /// Section `[peers]`.
    pub peers: PeerSettings,
    /// Section `[limits]`.
    pub limits: LimitSettings,
    /// Section `[selection]`.
    pub selection: SelectionSettings,
    /// Section `[retries]`.
    pub retries: RetrySettings,
    /// Section `[ledger]`.
    pub ledger: LedgerSettings,
    /// Section `[log]`.
    pub log: LogSettings,
    /// Section `[operators]`.
    pub operators: Vec<Operator>,
    /// Sections `[service NAME]`: services of the initial intent.
    pub services: Vec<ServiceSpec>,
}

/// Error of loading a settings file.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Io(io::Error),
    /// The file contains errors.
    Settings(Vec<SettingsError>),
}

impl Settings {
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
        let mut reader = Reader::new(Source::parse(text), table::KEYS);
        let settings = Self::parse_sections(&mut reader);
        let errors = reader.finish();
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    fn parse_sections(reader: &mut Reader) -> Option<Self> {
        // Every section is read before the first `?`, so that all errors are reported.
        let node = NodeSettings::read(reader);
        let listen = ListenSettings::read(reader);
        let store = StoreSettings::read(reader);
        let peers = PeerSettings::read(reader);
        let limits = LimitSettings::read(reader);
        let selection = SelectionSettings::read(reader);
        let retries = RetrySettings::read(reader);
        let ledger = LedgerSettings::read(reader);
        let log = LogSettings::read(reader);
        let operators = reader.operators();
        let services = reader.services();
        if let Some(listen) = &listen {
            check_listeners(listen, reader);
        }
        if let Some(node) = &node {
            check_node_service(&node.service, &services, reader);
        }
        Some(Self {
            node: node?,
            listen: listen?,
            store: store?,
            peers: peers?,
            limits: limits?,
            selection: selection?,
            retries: retries?,
            ledger: ledger?,
            log: log?,
            operators,
            services,
        })
    }
}

/// Reports TCP listeners whose addresses conflict.
fn check_listeners(listen: &ListenSettings, reader: &mut Reader) {
    // Gossip is UDP and may share a port number with a TCP listener.
    let listeners =
        [("client", listen.client), ("inner", listen.inner), ("operator", listen.operator)];
    for (index, (key, address)) in listeners.iter().enumerate() {
        if listeners[..index].iter().any(|(_, other)| conflict(*address, *other)) {
            reader.reject("listen", key, "an address that no other listener uses");
        }
    }
}

/// Returns whether two listeners cannot be bound at the same time.
fn conflict(one: SocketAddr, other: SocketAddr) -> bool {
    let wildcard = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (wildcard || one.ip() == other.ip())
}

/// Reports a `[node] service` that none of the `[service NAME]` sections of the file declares.
fn check_node_service(name: &ServiceName, services: &[ServiceSpec], reader: &mut Reader) {
    if services.is_empty() || services.iter().any(|service| service.name == *name) {
        return;
    }
    let names = || services.iter().map(|service| service.name.as_str());
    let allowed = format!("one of the services of this file: {}", join_with_commas(names()));
    reader.reject_with_suggestion("node", "service", &allowed, nearest(name.as_str(), names()));
}

impl SelectionSettings {
    /// Returns the configuration of owner selection.
    pub fn config(&self) -> SelectionConfig {
        let mut cfg = SelectionConfig::default();
        self.apply(&mut cfg);
        cfg
    }

    fn apply(&self, cfg: &mut SelectionConfig) {
        cfg.policy = self.policy;
        cfg.sample_size = self.candidates as usize;
        cfg.load_max_age = self.load_max_age;
        cfg.zone_ramp = self.zone_ramp;
        cfg.other_zone_cost = self.other_zone_cost;
    }
}

impl LimitSettings {
    /// Returns the configuration of the owner's concurrency limiter.
    pub fn config(&self) -> LimitConfig {
        let mut cfg = LimitConfig::default();
        self.apply(&mut cfg);
        cfg
    }

    fn apply(&self, cfg: &mut LimitConfig) {
        cfg.cold_limit = self.cold_limit;
        cfg.max_queue_wait = self.max_queue_wait;
        cfg.max_queued = self.max_queued as usize;
        cfg.reserve = self.reserve;
    }
}

pub(crate) fn join_with_commas<'a>(words: impl Iterator<Item = &'a str>) -> String {
    words.collect::<Vec<_>>().join(", ")
}
