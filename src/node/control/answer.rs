//! Answers to operators, as text or JSON.

use std::{fmt::Write, time::SystemTime};

use oleandertiller_language::units::print_percent;
use oleandertiller_model::{Action, intent::ZoneIntent};
use serde_json::{Map, Value, json};
use tide::{Response, StatusCode};

/// State that an answer is based on: its revision, its age and the nodes not heard from.
#[derive(Clone, Debug)]
pub(super) struct AsOf {
    /// Revision of the intent in force.
    pub revision: u64,
    /// Time since the store last confirmed the intent, in milliseconds.
    pub confirmed_ms: Option<u64>,
    /// Why the node is stale; `None` while it is fresh.
    pub stale: Option<&'static str>,
    /// Names of the nodes not heard from; a long list is cut and ends with the number of the rest.
    pub unheard: Vec<String>,
}

/// A table: named columns and rows of values.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

/// Answer to one statement.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    status: StatusCode,
    text: String,
    json: Value,
}

impl Table {
    pub fn new<const N: usize>(columns: [&'static str; N]) -> Self {
        Self { columns: columns.into(), rows: Vec::new() }
    }

    pub fn push<const N: usize>(&mut self, row: [Value; N]) {
        self.rows.push(row.into());
    }

    fn to_json(&self) -> Value {
        let object = |row: &Vec<Value>| {
            let names = self.columns.iter().map(|name| (*name).to_owned());
            Value::Object(names.zip(row.iter().cloned()).collect::<Map<_, _>>())
        };
        self.rows.iter().map(object).collect()
    }

    fn to_text(&self) -> String {
        let head = self.columns.iter().map(|name| (*name).to_owned()).collect();
        let cells: Vec<Vec<String>> =
            std::iter::once(head).chain(self.rows.iter().map(|row| cell_texts(row))).collect();
        let width = |column: usize| cells.iter().map(|row| row[column].len()).max().unwrap_or(0);
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        let mut text = String::new();
        for row in &cells {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}

fn cell_texts(row: &[Value]) -> Vec<String> {
    let text = |value: &Value| match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        value => value.to_string(),
    };
    row.iter().map(text).collect()
}

impl AsOf {
    fn to_text(&self) -> String {
        let confirmed = match self.confirmed_ms {
            Some(ms) => format!("confirmed by the store {}.{} s ago", ms / 1_000, ms % 1_000 / 100),
            None => "not confirmed by the store since the start of the node".to_owned(),
        };
        let mut text = format!("as of r{}, {confirmed}", self.revision);
        if let Some(why) = self.stale {
            let _ = write!(text, "; this node is stale ({why})");
        }
        if !self.unheard.is_empty() {
            let _ = write!(text, "; not heard: {}", self.unheard.join(", "));
        }
        text
    }

    fn to_json(&self) -> Value {
        json!({
            "revision": self.revision,
            "confirmed-ms-ago": self.confirmed_ms,
            "stale": self.stale,
            "not-heard": self.unheard,
        })
    }
}

impl Answer {
    /// Answers a query with a table.
    pub fn table(table: &Table, as_of: &AsOf) -> Self {
        Self {
            status: StatusCode::Ok,
            text: format!("{}{}\n", table.to_text(), as_of.to_text()),
            json: json!({ "rows": table.to_json(), "as-of": as_of.to_json() }),
        }
    }

    /// Answers a query with one sentence.
    pub fn sentence(text: &str, as_of: &AsOf) -> Self {
        Self {
            status: StatusCode::Ok,
            text: format!("{text}\n{}\n", as_of.to_text()),
            json: json!({ "text": text, "as-of": as_of.to_json() }),
        }
    }

    /// Answers with `text` alone, for what doesn't depend on the state of the fleet.
    pub fn plain(text: &str) -> Self {
        Self { status: StatusCode::Ok, text: text.to_owned(), json: json!({ "text": text }) }
    }

    /// Answers a statement that could not be executed.
    pub fn failure(status: StatusCode, text: &str) -> Self {
        Self { status, text: format!("{text}\n"), json: json!({ "error": text }) }
    }

    /// Answers with the result of a command, as text and as JSON.
    pub fn result(status: StatusCode, text: &str, json: Value) -> Self {
        Self { status, text: format!("{text}\n"), json }
    }

    /// Returns the response as JSON or as text.
    pub fn into_response(self, as_json: bool) -> Response {
        let response = Response::builder(self.status);
        match as_json {
            true => response.body(self.json).build(),
            false => response.content_type("text/plain; charset=utf-8").body(self.text).build(),
        }
    }
}

/// Describes an action for operators.
pub(super) fn action_text(action: &Action) -> String {
    match action {
        Action::SetZone(zone, ZoneIntent::In) => format!("zone {zone} in"),
        Action::SetZone(zone, ZoneIntent::Out) => format!("zone {zone} out"),
        Action::PutService(service) => format!("put service {}", service.name),
        Action::SetMeasuring(ppm) => format!("budget measuring {}", print_percent(*ppm)),
        Action::StartRollout { service, to, .. } => format!("rollout {service} to {to}"),
        Action::TakeRollout { service, node } => format!("rollout of {service} taken by {node}"),
        Action::StepRollout { service, share_ppm, reason, .. } => {
            format!("rollout of {service} at {}: {reason}", print_percent(*share_ppm))
        }
        Action::CancelRollout { service } => format!("cancel rollout {service}"),
        Action::PutKeeper(service, keeper) => format!("keeper {} of {service} added", keeper.node),
        Action::LeaveKeeper(service, keeper) => {
            format!("keeper {} of {service} leaves", keeper.node)
        }
        Action::FinishLeave(service, keeper) => format!("keeper {} of {service} left", keeper.node),
        Action::LoseKeeper { service, keeper, .. } => {
            format!("keeper {} of {service} lost", keeper.node)
        }
    }
}

/// Returns a time as milliseconds since the epoch.
pub(super) fn epoch_ms(at: SystemTime) -> u64 {
    at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
