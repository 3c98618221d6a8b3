//! Types of setting values, and the values that each accepts.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;
use oleandertiller_language::units::{parse_percent, print_percent};
use oleandertiller_model::{NodeName, RegionName, ServiceName, ZoneName, name};
use oleandertiller_routing::{limit::Reserve, selection::Policy};

/// Values that a key accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// A name of a node, zone, region or service.
    Name,
    /// An IP address with a port.
    Address,
    /// An IP address with a port that others connect to, so neither a wildcard nor multicast.
    ReachableAddress,
    /// IP addresses with ports, separated by commas.
    Addresses,
    /// Pairs `ADDRESS via ADDRESS`, separated by commas: a peer's address, and the one through which
    /// it is reached.
    Routes,
    /// A whole number within a range; `unit` is empty for plain counts.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
        /// Unit: `us`, `ms`, `s` or `bytes`.
        unit: &'static str,
    },
    /// A share up to a maximum, in parts per million.
    Percent {
        /// Largest share.
        max_ppm: u32,
    },
    /// A decimal number up to a maximum.
    Decimal {
        /// Largest value.
        max: u32,
    },
    /// One of these words.
    OneOf(&'static [&'static str]),
}

impl Allowed {
    /// Returns a description for errors and for the guide.
    pub fn describe(&self) -> String {
        match self {
            Self::Name => format!(
                "up to {} lower-case letters, digits, `-`, `_` and `.`, starting with a letter or digit",
                name::MAX_NAME_BYTES
            ),
            Self::Address => "an IP address with a port, such as 127.0.0.1:7400".to_owned(),
            Self::ReachableAddress => {
                "an IP address with a port, such as 127.0.0.1:7400, and no wildcard".to_owned()
            }
            Self::Addresses => "IP addresses with ports, separated by commas".to_owned(),
            Self::Routes => "`ADDRESS via ADDRESS`, separated by commas".to_owned(),
            Self::Number { min, max, unit: "" } => format!("a whole number from {min} to {max}"),
            Self::Number { min, max, unit } => {
                format!("a whole number from {min} to {max}, in {unit}")
            }
            Self::Percent { max_ppm } => {
                format!("a share from 0% to {}", print_percent(*max_ppm))
            }
            Self::Decimal { max } => format!("a number from 0 to {max}"),
            Self::OneOf(words) => format!("one of `{}`", words.join("`, `")),
        }
    }

    fn number(&self, text: &str) -> Option<u64> {
        let Self::Number { min, max, .. } = self else { return None };
        // `parse` alone would accept a plus sign.
        let digits = text.bytes().all(|b| b.is_ascii_digit());
        text.parse().ok().filter(|number| digits && (min..=max).contains(&number))
    }
}

/// Type of the value of a setting.
pub trait SettingValue: Sized {
    /// Parses a value, or returns `None` when it is not allowed.
    fn parse(text: &str, allowed: &Allowed) -> Option<Self>;
}

macro_rules! impl_setting_value_for_names {
    ($($name:ident),*) => {$(
        impl SettingValue for $name {
            fn parse(text: &str, _: &Allowed) -> Option<Self> {
                name::is_valid(text).then(|| Self::new(text))
            }
        }
    )*};
}

impl_setting_value_for_names!(NodeName, RegionName, ServiceName, ZoneName);

impl SettingValue for SocketAddr {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let address: Self = text.parse().ok()?;
        let reachable = !address.ip().is_unspecified() && !address.ip().is_multicast();
        let accepted = reachable || *allowed == Allowed::Address;
        (address.port() != 0 && accepted).then_some(address)
    }
}

impl SettingValue for Vec<SocketAddr> {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        let addresses = text.split(',').map(str::trim).filter(|text| !text.is_empty());
        addresses.map(|text| SocketAddr::parse(text, &Allowed::ReachableAddress)).collect()
    }
}

impl SettingValue for Vec<(SocketAddr, SocketAddr)> {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        let address = |text: &str| SocketAddr::parse(text.trim(), &Allowed::ReachableAddress);
        let route = |text: &str| {
            let (peer, via) = text.split_once(" via ")?;
            Some((address(peer)?, address(via)?))
        };
        text.split(',').map(str::trim).filter(|text| !text.is_empty()).map(route).collect()
    }
}

impl SettingValue for u32 {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        allowed.number(text)?.try_into().ok()
    }
}

impl SettingValue for Duration {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let number = allowed.number(text)?;
        match allowed {
            Allowed::Number { unit: "us", .. } => Some(Self::from_micros(number)),
            Allowed::Number { unit: "ms", .. } => Some(Self::from_millis(number)),
            _ => Some(Self::from_secs(number)),
        }
    }
}

impl SettingValue for f64 {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let Allowed::Decimal { max } = allowed else { return None };
        text.parse().ok().filter(|number| (0.0..=Self::from(*max)).contains(number))
    }
}

impl<T: SettingValue> SettingValue for Option<T> {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        if text.is_empty() { Some(None) } else { T::parse(text, allowed).map(Some) }
    }
}

/// A share in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(pub u32);

impl SettingValue for Share {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let Allowed::Percent { max_ppm } = allowed else { return None };
        parse_percent(text).filter(|ppm| ppm <= max_ppm).map(Self)
    }
}

/// Accepted values of [`Policy`].
pub const POLICIES: &[&str] = &["expected-wait", "random", "round-robin", "least-in-flight"];

impl SettingValue for Policy {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        match text {
            "expected-wait" => Some(Self::ExpectedWait),
            "random" => Some(Self::Random),
            "round-robin" => Some(Self::RoundRobin),
            "least-in-flight" => Some(Self::LeastInFlight),
            _ => None,
        }
    }
}

/// Accepted values of [`Reserve`].
pub const RESERVES: &[&str] = &["always", "while-used", "never"];

impl SettingValue for Reserve {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        match text {
            "always" => Some(Self::Always),
            "while-used" => Some(Self::WhileUsed),
            "never" => Some(Self::Never),
            _ => None,
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Plain,
    /// One JSON object per line.
    Json,
}

/// Accepted values of [`LogFormat`].
pub const LOG_FORMATS: &[&str] = &["plain", "json"];

impl SettingValue for LogFormat {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        match text {
            "plain" => Some(Self::Plain),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Accepted values of [`LevelFilter`].
pub const LOG_LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

impl SettingValue for LevelFilter {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        LOG_LEVELS.contains(&text).then(|| text.parse().ok()).flatten()
    }
}
