//! Printing of scenarios as text that parses to the same scenario.

use std::{fmt, time::Duration};

use super::{
    Behaviour, Comparison, Count, Event, Expectation, Fault, Load, Scenario, Share, Step,
    StoreEvent,
};
use crate::units::{print_duration as time, print_percent as percent};

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "scenario \"{}\"", self.title)?;
        writeln!(f, "  fleet {} seed {}", self.fleet, self.seed)?;
        self.loads.iter().try_for_each(|load| writeln!(f, "  {load}"))?;
        self.steps.iter().try_for_each(|step| writeln!(f, "  {step}"))?;
        self.expectations.iter().try_for_each(|expected| writeln!(f, "  expect {expected}"))
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "load {} per second for {}", self.per_second, time(self.lasting))
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {}", time(self.at))?;
        for (index, event) in self.events.iter().enumerate() {
            if index > 0 {
                f.write_str(" and at the same time")?;
            }
            write!(f, " {event}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(node) => write!(f, "kill node {node}"),
            Self::Pause(node, lasting) => write!(f, "pause node {node} for {}", time(*lasting)),
            Self::Restart(node) => write!(f, "restart node {node}"),
            Self::Stop(node) => write!(f, "stop node {node}"),
            Self::Start { count, service, version } => {
                write!(f, "start {count} upstreams of {service} with version {version}")
            }
            Self::Drain(node) => write!(f, "drain upstream {node}"),
            Self::Upstream(node, behaviour) => write!(f, "upstream {node} {behaviour}"),
            Self::BadVersion { version, service, fault, on, after } => {
                write!(f, "version {version} of {service} {fault}")?;
                if let Some(kind) = on {
                    write!(f, " on {kind}")?;
                }
                after.map_or(Ok(()), |after| write!(f, " after {}", time(after)))
            }
            Self::Store(event) => write!(f, "store {event}"),
            Self::Cut { from, to, lasting } => {
                write!(f, "cut {to} from {from}")?;
                print_lasting(f, *lasting)
            }
            Self::Heal(one, other) => write!(f, "heal {one} from {other}"),
            Self::Delay { from, to, by, lasting } => {
                write!(f, "delay {from} to {to} by {}", time(*by))?;
                print_lasting(f, *lasting)
            }
            Self::Load(load) => load.fmt(f),
            Self::Command(command) => command.fmt(f),
        }
    }
}

fn print_lasting(f: &mut fmt::Formatter<'_>, lasting: Option<Duration>) -> fmt::Result {
    lasting.map_or(Ok(()), |lasting| write!(f, " for {}", time(lasting)))
}

impl fmt::Display for Behaviour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Normal => f.write_str("normal"),
            Self::ColdAgain => f.write_str("cold again"),
            Self::Faulty(fault) => fault.fmt(f),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slow(factor) => write!(f, "slow {factor}"),
            Self::Fails(ppm) => write!(f, "fails {}", percent(*ppm)),
            Self::FailsFast => f.write_str("fails fast"),
        }
    }
}

impl fmt::Display for StoreEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Down => f.write_str("down"),
            Self::Up => f.write_str("up"),
            Self::Slow(by) => write!(f, "slow {}", time(*by)),
            Self::LosesAnswers(count) => write!(f, "loses {count} answers"),
        }
    }
}

impl fmt::Display for Expectation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoNewWorkInZone(zone, after) => {
                write!(f, "no new work in zone {zone} after {}", time(*after))
            }
            Self::NoNewWorkOnUpstream(node, after) => {
                write!(f, "no new work on upstream {node} after {}", time(*after))
            }
            Self::Count(count, comparison, number) => write!(f, "{count} {comparison} {number}"),
            Self::Share(share, comparison, ppm) => {
                write!(f, "{share} {comparison} {}", percent(*ppm))
            }
            Self::P99(kind, comparison, limit) => {
                write!(f, "p99 of {kind} {comparison} {}", time(*limit))
            }
            Self::Rollout(service, completed, by) => {
                let end = if *completed { "completed" } else { "rolled back" };
                write!(f, "rollout {service} {end} by {}", time(*by))
            }
            Self::SameRevision(by) => write!(f, "same revision everywhere by {}", time(*by)),
        }
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RunTwice => "run twice",
            Self::WrongAnswers => "wrong answers",
            Self::FalseNotRun => "false not-run",
            Self::CutByStop => "cut by stop",
            Self::OverColdLimit => "over cold limit",
        })
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Goodput(None) => f.write_str("goodput"),
            Self::Goodput(Some(kind)) => write!(f, "goodput of {kind}"),
            Self::Measuring => f.write_str("measuring"),
        }
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Equal => "=",
            Self::Less => "<",
            Self::AtMost => "<=",
            Self::More => ">",
            Self::AtLeast => ">=",
        })
    }
}
