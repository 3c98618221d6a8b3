//! The deadline of a rollout, as operators write it.

use std::{
    fmt,
    time::{Duration, SystemTime},
};

use chrono::{DateTime, Days, NaiveDateTime, NaiveTime, Utc};

use crate::units::print_duration;

/// Format of a date and time, in UTC.
const DATE_TIME_FORMAT: &str = "%Y-%m-%dT%H:%MZ";

/// When a rollout is due. All times are UTC, since a fleet may span time zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The next occurrence of this time of day.
    Clock(NaiveTime),
    /// A date and time, to the minute.
    At(NaiveDateTime),
    /// This long after the command is given.
    In(Duration),
}

impl Due {
    /// Parses `18:00`.
    pub fn parse_clock(text: &str) -> Option<Self> {
        NaiveTime::parse_from_str(text, "%H:%M").ok().map(Self::Clock)
    }

    /// Parses `2026-12-04T18:00Z`.
    pub fn parse_date_time(text: &str) -> Option<Self> {
        NaiveDateTime::parse_from_str(text, DATE_TIME_FORMAT).ok().map(Self::At)
    }

    /// Returns the deadline of a command given at `now`, or `None` when it cannot be represented.
    pub fn resolve(self, now: SystemTime) -> Option<SystemTime> {
        match self {
            Self::In(wait) => now.checked_add(wait),
            Self::At(at) => Some(at.and_utc().into()),
            Self::Clock(time) => {
                let now = DateTime::<Utc>::from(now).naive_utc();
                let today = now.date().and_time(time);
                let next =
                    if today > now { today } else { today.checked_add_days(Days::new(1))? };
                Some(next.and_utc().into())
            }
        }
    }
}

impl fmt::Display for Due {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Clock(time) => write!(f, "by {}", time.format("%H:%M")),
            Self::At(at) => write!(f, "by {}", at.format(DATE_TIME_FORMAT)),
            Self::In(wait) => write!(f, "in {}", print_duration(*wait)),
        }
    }
}
