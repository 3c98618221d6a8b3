//! Statements of the operators' language.

use std::{fmt, sync::Arc};

use oleandertiller_model::{
    ErrorKind, NodeName, ServiceName, ServiceSpec, VersionName, ZoneName, intent::ZoneIntent,
};
use uuid::Uuid;

use crate::{due::Due, kind::print_attributes, units::print_percent};

/// One line of the operators' language.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Queries the state of the fleet.
    Query(Query),
    /// Changes the intent.
    Command(Command),
    /// Lists the statements.
    Help,
}

/// A statement that changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// `show ...`
    Show(Show),
    /// `history [of NAME] [last N]`
    History {
        /// Service, zone or node to which the entries must refer.
        of: Option<Arc<str>>,
        /// Maximum number of entries.
        last: Option<u32>,
    },
    /// `explain rollout SERVICE`
    ExplainRollout(ServiceName),
    /// `explain refusal REASON`
    ExplainRefusal(ErrorKind),
    /// `explain upstream NODE`; an upstream is identified by its node.
    ExplainUpstream(NodeName),
    /// `operation ID`
    Operation(Uuid),
}

/// What a `show` query lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Show {
    /// Zones and whether they are in service.
    Zones,
    /// Upstreams, of one service or all.
    Upstreams {
        /// Service whose upstreams are listed; all upstreams when `None`.
        of: Option<ServiceName>,
        /// Conditions that must all hold.
        conditions: Vec<Condition>,
    },
    /// Services and their kinds.
    Services,
    /// Nodes for which the conditions all hold.
    Nodes(Vec<Condition>),
    /// Latest rollout of each service.
    Rollouts,
    /// The budget for measuring and what is spent of it.
    Budget,
    /// The revision in force.
    Revision,
}

/// `FIELD = VALUE`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Condition {
    /// Column to compare.
    pub field: Field,
    /// Value that the column must have.
    pub value: Arc<str>,
}

/// Columns that can be used in conditions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Availability zone.
    Zone,
    /// Life-cycle state of the upstream, one of [`STATES`].
    State,
    /// Version of the upstream.
    Version,
    /// Name of the node.
    Node,
}

/// Values that [`Field::State`] can have.
pub const STATES: [&str; 4] = ["absent", "cold", "serving", "draining"];

impl Field {
    /// Returns the keyword of the column.
    pub fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::State => "state",
            Self::Version => "version",
            Self::Node => "node",
        }
    }
}

/// A statement that changes the intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// `zone ZONE in|out`
    Zone(ZoneName, ZoneIntent),
    /// `rollout SERVICE to VERSION by TIME`
    Rollout {
        /// Service whose version changes.
        service: ServiceName,
        /// Version that is to carry traffic.
        to: VersionName,
        /// Deadline of the rollout.
        due: Due,
    },
    /// `cancel rollout SERVICE`
    CancelRollout(ServiceName),
    /// `budget measuring SHARE`, the budget for probes in parts per million of the calls.
    BudgetMeasuring(u32),
    /// `put service SERVICE kind KIND = ...; kind KIND = ...`
    PutService(ServiceSpec),
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => query.fmt(f),
            Self::Command(command) => command.fmt(f),
            Self::Help => f.write_str("help"),
        }
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => write!(f, "show {show}"),
            Self::History { of, last } => {
                f.write_str("history")?;
                if let Some(of) = of {
                    write!(f, " of {of}")?;
                }
                if let Some(last) = last {
                    write!(f, " last {last}")?;
                }
                Ok(())
            }
            Self::ExplainRollout(service) => write!(f, "explain rollout {service}"),
            Self::ExplainRefusal(kind) => write!(f, "explain refusal {kind}"),
            Self::ExplainUpstream(node) => write!(f, "explain upstream {node}"),
            Self::Operation(id) => write!(f, "operation {id}"),
        }
    }
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zones => f.write_str("zones"),
            Self::Services => f.write_str("services"),
            Self::Rollouts => f.write_str("rollouts"),
            Self::Budget => f.write_str("budget"),
            Self::Revision => f.write_str("revision"),
            Self::Nodes(conditions) => {
                f.write_str("nodes")?;
                print_conditions(f, conditions)
            }
            Self::Upstreams { of, conditions } => {
                f.write_str("upstreams")?;
                if let Some(service) = of {
                    write!(f, " of {service}")?;
                }
                print_conditions(f, conditions)
            }
        }
    }
}

fn print_conditions(f: &mut fmt::Formatter<'_>, conditions: &[Condition]) -> fmt::Result {
    for (index, condition) in conditions.iter().enumerate() {
        let word = if index == 0 { "where" } else { "and" };
        write!(f, " {word} {} = {}", condition.field.name(), condition.value)?;
    }
    Ok(())
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(zone, ZoneIntent::In) => write!(f, "zone {zone} in"),
            Self::Zone(zone, ZoneIntent::Out) => write!(f, "zone {zone} out"),
            Self::Rollout { service, to, due } => write!(f, "rollout {service} to {to} {due}"),
            Self::CancelRollout(service) => write!(f, "cancel rollout {service}"),
            Self::BudgetMeasuring(ppm) => write!(f, "budget measuring {}", print_percent(*ppm)),
            Self::PutService(service) => {
                write!(f, "put service {}", service.name)?;
                for (index, kind) in service.kinds.iter().enumerate() {
                    let separator = if index == 0 { "" } else { ";" };
                    write!(f, "{separator} kind {} = {}", kind.name, print_attributes(kind))?;
                }
                Ok(())
            }
        }
    }
}
