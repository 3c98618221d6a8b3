//! Types of settings, and what is allowed for each.

use std::{net::SocketAddr, time::Duration};

use log::LevelFilter;
use oleandertiller_language::units::{parse_percent, print_percent};
use oleandertiller_model::{NodeName, RegionName, ServiceName, ZoneName, name};
use oleandertiller_routing::{limit::Reserve, selection::Policy};

/// What a value must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowed {
    /// A name of the domain.
    Name,
    /// An IP address with a port.
    Address,
    /// An IP address with a port that is connected to, and so not a wildcard.
    ReachableAddress,
    /// IP addresses with ports, separated by commas.
    Addresses,
    /// Pairs of IP addresses with ports, separated by commas.
    Routes,
    /// A whole number within a range; `unit` is empty for plain counts.
    Number {
        /// Least.
        min: u64,
        /// Most.
        max: u64,
        /// `us`, `ms`, `s` or `bytes`.
        unit: &'static str,
    },
    /// A share up to a maximum, in parts per million.
    Percent {
        /// Most.
        max_ppm: u32,
    },
    /// A decimal number up to a maximum.
    Decimal {
        /// Most.
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
                name::NAME_MAX_BYTES
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

/// A type that settings can have.
pub trait Setting: Sized {
    /// Reads a value, or returns `None` when it is not allowed.
    fn parse(text: &str, allowed: &Allowed) -> Option<Self>;
}

macro_rules! setting_names {
    ($($name:ident),*) => {$(
        impl Setting for $name {
            fn parse(text: &str, _: &Allowed) -> Option<Self> {
                name::is_valid(text).then(|| Self::new(text))
            }
        }
    )*};
}

setting_names!(NodeName, RegionName, ServiceName, ZoneName);

impl Setting for SocketAddr {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let address: Self = text.parse().ok()?;
        let reachable = !address.ip().is_unspecified() && !address.ip().is_multicast();
        let fits = reachable || *allowed == Allowed::Address;
        (address.port() != 0 && fits).then_some(address)
    }
}

impl Setting for Vec<SocketAddr> {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        let addresses = text.split(',').map(str::trim).filter(|text| !text.is_empty());
        addresses.map(|text| SocketAddr::parse(text, &Allowed::ReachableAddress)).collect()
    }
}

impl Setting for Vec<(SocketAddr, SocketAddr)> {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        let address = |text: &str| SocketAddr::parse(text.trim(), &Allowed::ReachableAddress);
        let route = |text: &str| {
            let (peer, via) = text.split_once(" via ")?;
            Some((address(peer)?, address(via)?))
        };
        text.split(',').map(str::trim).filter(|text| !text.is_empty()).map(route).collect()
    }
}

impl Setting for u32 {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        allowed.number(text)?.try_into().ok()
    }
}

impl Setting for Duration {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let number = allowed.number(text)?;
        match allowed {
            Allowed::Number { unit: "us", .. } => Some(Self::from_micros(number)),
            Allowed::Number { unit: "ms", .. } => Some(Self::from_millis(number)),
            _ => Some(Self::from_secs(number)),
        }
    }
}

impl Setting for f64 {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let Allowed::Decimal { max } = allowed else { return None };
        text.parse().ok().filter(|number| (0.0..=Self::from(*max)).contains(number))
    }
}

/// A share in parts per million.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share(pub u32);

impl Setting for Share {
    fn parse(text: &str, allowed: &Allowed) -> Option<Self> {
        let Allowed::Percent { max_ppm } = allowed else { return None };
        parse_percent(text).filter(|ppm| ppm <= max_ppm).map(Self)
    }
}

/// Words for [`Policy`].
pub const POLICIES: &[&str] = &["expected-wait", "random", "round-robin", "least-in-flight"];

impl Setting for Policy {
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

/// Words for [`Reserve`].
pub const RESERVES: &[&str] = &["always", "while-used", "never"];

impl Setting for Reserve {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        match text {
            "always" => Some(Self::Always),
            "while-used" => Some(Self::WhileUsed),
            "never" => Some(Self::Never),
            _ => None,
        }
    }
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Plain,
    /// One JSON object a line.
    Json,
}

/// Words for [`LogFormat`].
pub const FORMATS: &[&str] = &["plain", "json"];

impl Setting for LogFormat {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        match text {
            "plain" => Some(Self::Plain),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Words for [`LevelFilter`].
pub const LEVELS: &[&str] = &["off", "error", "warn", "info", "debug", "trace"];

impl Setting for LevelFilter {
    fn parse(text: &str, _: &Allowed) -> Option<Self> {
        LEVELS.contains(&text).then(|| text.parse().ok()).flatten()
    }
}
