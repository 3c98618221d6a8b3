//! Settings of a node, read from an INI file and checked as a whole.
//!
//! [`table`] declares every key once, and that drives parsing, checking and the guide's page. All
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

/// Why a file gives no settings.
#[derive(Debug)]
pub enum LoadError {
    /// The file cannot be read.
    Io(io::Error),
    /// The file holds errors.
    Settings(Vec<SettingsError>),
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError`] with every error of the file.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(LoadError::Io)?;
        Self::read(&text).map_err(LoadError::Settings)
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    ///
    /// Returns every error of the text, in the order of its lines.
    pub fn read(text: &str) -> Result<Self, Vec<SettingsError>> {
        let mut reader = Reader::new(Source::read(text), table::KEYS);
        let settings = Self::read_sections(&mut reader);
        let errors = reader.finish();
        match settings {
            Some(settings) if errors.is_empty() => Ok(settings),
            _ => Err(errors),
        }
    }

    fn read_sections(reader: &mut Reader) -> Option<Self> {
        // Every section is read before the first `?`, so that all errors are found.
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
            check_service(&node.service, &services, reader);
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

/// Reports listeners that cannot be opened beside each other.
fn check_listeners(listen: &ListenSettings, reader: &mut Reader) {
    // Gossip is UDP and may share a port number with a TCP listener.
    let listeners =
        [("client", listen.client), ("inner", listen.inner), ("operator", listen.operator)];
    for (index, (key, address)) in listeners.iter().enumerate() {
        if listeners[..index].iter().any(|(_, other)| collide(*address, *other)) {
            reader.reject("listen", key, "an address that no other listener uses");
        }
    }
}

fn collide(one: SocketAddr, other: SocketAddr) -> bool {
    let wildcard = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (wildcard || one.ip() == other.ip())
}

/// Reports a service of the node that is not among the services that the file declares.
fn check_service(own: &ServiceName, services: &[ServiceSpec], reader: &mut Reader) {
    if services.is_empty() || services.iter().any(|service| service.name == *own) {
        return;
    }
    let names = || services.iter().map(|service| service.name.as_str());
    let allowed = format!("one of the services of this file: {}", join(names()));
    reader.reject_with_suggestion("node", "service", &allowed, nearest(own.as_str(), names()));
}

impl SelectionSettings {
    /// Returns the configuration of the selectors.
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
    /// Returns the configuration of the owner's limiter.
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

/// Joins words with commas.
pub(crate) fn join<'a>(words: impl Iterator<Item = &'a str>) -> String {
    words.collect::<Vec<_>>().join(", ")
}
