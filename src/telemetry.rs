//! Logging: log lines report changes of state only; frequent events are counted in metrics.

use std::{fmt, io};

use log::{Level, LevelFilter};
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Root},
    encode::{Encode, json::JsonEncoder, pattern::PatternEncoder},
};

use crate::settings::{LogFormat, LogSettings};

/// Layout of plain log lines: time in UTC to the millisecond, level, message.
const PLAIN_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

const CONSOLE_APPENDER: &str = "console";

/// Starts logging to standard error in the format and at the level of `settings`.
///
/// # Errors
///
/// Returns an error when a logger is already installed.
pub fn init(settings: &LogSettings) -> io::Result<()> {
    let config = config(settings.format, settings.level).map_err(io::Error::other)?;
    log4rs::init_config(config).map(drop).map_err(io::Error::other)
}

fn config(
    format: LogFormat,
    level: LevelFilter,
) -> Result<Config, log4rs::config::runtime::ConfigErrors> {
    let encoder: Box<dyn Encode> = match format {
        LogFormat::Plain => Box::new(PatternEncoder::new(PLAIN_PATTERN)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    Config::builder()
        .appender(Appender::builder().build(CONSOLE_APPENDER, Box::new(console)))
        .build(Root::builder().appender(CONSOLE_APPENDER).build(level))
}

/// A change of state, as a log line.
///
/// The JSON format also writes the four fields as attributes of the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// What changed, such as `zone khan-uul`.
    pub what: String,
    /// State before the change.
    pub from: String,
    /// State after the change.
    pub to: String,
    /// Cause, in one sentence.
    pub why: String,
}

impl StateChange {
    /// Describes that `what` went from one state to another.
    pub fn new(what: impl fmt::Display, from: impl fmt::Display, to: impl fmt::Display) -> Self {
        let why = String::new();
        Self { what: what.to_string(), from: from.to_string(), to: to.to_string(), why }
    }

    /// Sets the cause, in one sentence.
    pub fn with_why(mut self, why: impl fmt::Display) -> Self {
        self.why = why.to_string();
        self
    }

    /// Logs the change at level `info`, unless both states are equal.
    pub fn log(&self) {
        self.log_at(Level::Info);
    }

    /// Logs the change at level `warn`, for operators to look at, unless both states are equal.
    pub fn warn(&self) {
        self.log_at(Level::Warn);
    }

    fn log_at(&self, level: Level) {
        if self.from == self.to {
            return;
        }
        let (what, from, to, why) =
            (self.what.as_str(), self.from.as_str(), self.to.as_str(), self.why.as_str());
        log::log!(level, what, from, to, why; "{self}");
    }
}

impl fmt::Display for StateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Quoting escapes line breaks in the fields, which would split the log line.
        write!(f, "what={:?} from={:?} to={:?} why={:?}", self.what, self.from, self.to, self.why)
    }
}
