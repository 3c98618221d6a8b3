//! Answers to operators' queries.

use std::collections::BTreeMap;

use oleandertiller_fleet::{Head, MemberState, Record, StoreAnswer, StoreCall, intent::HEAD_KEY};
use oleandertiller_language::{
    Condition, Field, Query, Show, advice::advice, kind::print_attributes, units::print_percent,
};
use oleandertiller_model::{
    Change, Clock, ErrorKind, Intent, Lifecycle, Revision, ServiceName, ZoneName,
    intent::ZoneIntent,
};
use serde_json::json;
use tide::StatusCode;
use uuid::Uuid;

use super::{
    Control,
    answer::{Answer, AsOf, Table, action_text, epoch_ms},
    freshness_label,
};
use crate::node::store::Store;

/// Number of changes that `history` shows by default.
const DEFAULT_HISTORY_CHANGES: u32 = 20;

/// Largest number of node names that an answer lists as not heard.
const MAX_UNHEARD_NAMES: usize = 20;

/// A member record, and whether requests may be sent to the member.
struct Row {
    record: Record,
    selectable: bool,
}

impl<C: Clock, S: Store> Control<C, S> {
    pub(super) async fn query(&self, query: &Query) -> Answer {
        match query {
            Query::Show(show) => self.show(show),
            Query::History { of, last } => self.history(of.as_deref(), *last).await,
            Query::ExplainRefusal(kind) => Answer::plain(&explain(*kind)),
            Query::Operation(operation) => self.operation(*operation).await,
            Query::ExplainRollout(service) => self.explain_rollout(service),
            Query::ExplainUpstream(_) => {
                Answer::failure(StatusCode::NotImplemented, "this node cannot explain that yet")
            }
        }
    }

    /// Returns the state that an answer is based on.
    pub(super) fn as_of(&self) -> AsOf {
        self.read(|agent, now| {
            let table = agent.membership().table();
            let unheard = table.after(None).filter(|entry| {
                let left = entry.record.state == MemberState::Left;
                !left && !agent.membership().is_selectable(&entry.record.node)
            });
            let mut unheard: Vec<_> = unheard.map(|entry| entry.record.node.to_string()).collect();
            if unheard.len() > MAX_UNHEARD_NAMES {
                let more = unheard.len() - MAX_UNHEARD_NAMES;
                unheard.truncate(MAX_UNHEARD_NAMES);
                unheard.push(format!("and {more} more"));
            }
            AsOf {
                revision: agent.replica().revision().0,
                confirmed_ms: agent.freshness().confirmed(now).map(|c| c.age_ms),
                stale: agent.freshness().stale().map(|why| freshness_label(Some(why))),
                unheard,
            }
        })
    }

    fn show(&self, show: &Show) -> Answer {
        let intent = self.view.load().intent.clone();
        let as_of = self.as_of();
        let table = match show {
            Show::Zones => self.zones(&intent),
            Show::Upstreams { of, conditions } => self.upstreams(of.as_ref(), conditions),
            Show::Services => services(&intent),
            Show::Nodes(conditions) => self.nodes(conditions),
            Show::Rollouts => rollouts(&intent),
            Show::Budget => self.budget(&intent),
            Show::Revision => return Answer::sentence(&intent.revision.to_string(), &as_of),
        };
        Answer::table(&table, &as_of)
    }

    fn zones(&self, intent: &Intent) -> Table {
        let mut members: BTreeMap<ZoneName, (usize, usize)> = BTreeMap::new();
        for zone in intent.zones.keys() {
            members.entry(zone.clone()).or_default();
        }
        for row in self.rows().iter().filter(|row| row.record.state != MemberState::Left) {
            let count = members.entry(row.record.zone.clone()).or_default();
            count.0 += 1;
            count.1 += usize::from(row.selectable);
        }
        let mut table = Table::new(["zone", "state", "nodes", "heard"]);
        for (zone, (nodes, heard)) in members {
            let state =
                if intent.zone_in_service(&zone) { ZoneIntent::In } else { ZoneIntent::Out };
            table.push([json!(zone), json!(state), json!(nodes), json!(heard)]);
        }
        table
    }

    fn upstreams(&self, of: Option<&ServiceName>, conditions: &[Condition]) -> Table {
        let mut table =
            Table::new(["node", "service", "zone", "version", "state", "slots", "heard"]);
        for Row { record, selectable } in self.rows() {
            if of.is_none_or(|of| *of == record.service) && satisfies(&record, conditions) {
                table.push([
                    json!(record.node),
                    json!(record.service),
                    json!(record.zone),
                    json!(record.version),
                    json!(record.lifecycle),
                    json!(record.slots),
                    json!(selectable),
                ]);
            }
        }
        table
    }

    fn nodes(&self, conditions: &[Condition]) -> Table {
        let mut table = Table::new(["node", "zone", "region", "state", "entry", "client"]);
        for Row { record, .. } in self.rows() {
            if satisfies(&record, conditions) {
                table.push([
                    json!(record.node),
                    json!(record.zone),
                    json!(record.region),
                    json!(record.state),
                    json!(record.entry),
                    json!(record.addresses.client),
                ]);
            }
        }
        table
    }

    fn budget(&self, intent: &Intent) -> Table {
        let columns = [
            "budget",
            "share",
            "calls",
            "probes-earned",
            "probes",
            "probe-bytes",
            "probes-refused",
            "retries",
            "retries-refused",
        ];
        let mut table = Table::new(columns);
        let Some(handles) = self.handles.get() else { return table };
        let (cost, metrics) = (handles.ingress.measuring_cost(), &handles.metrics);
        table.push([
            json!("measuring"),
            json!(print_percent(intent.measuring_ppm())),
            json!(cost.calls),
            json!(cost.earned),
            json!(cost.probes),
            json!(metrics.probe_bytes.get()),
            json!(cost.refused),
            json!(metrics.retries.get()),
            json!(metrics.retries_refused.get()),
        ]);
        table
    }

    fn rows(&self) -> Vec<Row> {
        self.read(|agent, _| {
            let membership = agent.membership();
            let entries = membership.table().after(None);
            let row = |entry: &oleandertiller_fleet::membership::table::Entry| Row {
                record: entry.record.clone(),
                selectable: membership.is_selectable(&entry.record.node),
            };
            entries.map(row).collect()
        })
    }

    /// Lists changes: those that this node has, and those in the store's head if it answers.
    async fn history(&self, of: Option<&str>, last: Option<u32>) -> Answer {
        let known = self.read(|agent, _| agent.replica().tail().cloned().collect::<Vec<_>>());
        let mut changes: BTreeMap<Revision, Change> =
            known.into_iter().map(|change| (change.revision, change)).collect();
        let answer = self.call_store(&StoreCall::Get { key: HEAD_KEY.into() }).await;
        if let StoreAnswer::Found { value, .. } = answer {
            let head = Head::parse(&value).map(|head| head.changes).unwrap_or_default();
            changes.extend(head.into_iter().map(|change| (change.revision, change)));
        }
        let wanted = changes.into_values().filter(|c| of.is_none_or(|of| mentions(c, of)));
        let wanted: Vec<_> = wanted.collect();
        let skip = wanted.len().saturating_sub(last.unwrap_or(DEFAULT_HISTORY_CHANGES) as usize);
        let mut table = Table::new(["revision", "at-ms", "author", "change", "operation"]);
        for change in &wanted[skip..] {
            table.push([
                json!(change.revision.to_string()),
                json!(epoch_ms(change.at)),
                json!(change.author),
                json!(action_text(&change.action)),
                json!(change.operation),
            ]);
        }
        Answer::table(&table, &self.as_of())
    }

    /// Returns the result of a command, reading the store when this node doesn't have it.
    async fn operation(&self, operation: Uuid) -> Answer {
        let known = || self.read(|agent, _| agent.replica().intent().revision_of(operation));
        let mut revision = known();
        let confirmed = revision.is_none() && self.refresh_intent().await;
        revision = revision.or_else(known);
        let (text, result) = match (revision, confirmed) {
            (Some(revision), _) => (format!("accepted as {revision}"), "accepted"),
            (None, true) => {
                ("not among the last 1024 operations in the store".to_owned(), "not-found")
            }
            (None, false) => ("unknown; the store does not answer".to_owned(), "unknown"),
        };
        let json = json!({ "result": result, "revision": revision, "operation": operation });
        Answer::result(StatusCode::Ok, &text, json)
    }
}

fn services(intent: &Intent) -> Table {
    let mut table = Table::new(["service", "kind", "attributes"]);
    for service in intent.services.values() {
        for kind in &service.kinds {
            table.push([json!(service.name), json!(kind.name), json!(print_attributes(kind))]);
        }
    }
    table
}

fn rollouts(intent: &Intent) -> Table {
    let mut table =
        Table::new(["service", "from", "to", "phase", "share", "deadline-ms", "controller", "why"]);
    for (service, rollout) in &intent.rollouts {
        table.push([
            json!(service),
            json!(rollout.from),
            json!(rollout.to),
            json!(rollout.phase),
            json!(print_percent(rollout.share_ppm)),
            json!(epoch_ms(rollout.deadline)),
            json!(rollout.controller),
            json!(rollout.reason),
        ]);
    }
    table
}

fn explain(kind: ErrorKind) -> String {
    let row = kind.answer();
    let outcome = kind.outcome().label();
    format!("{}: {} (outcome {outcome})\n{}\n", row.name, row.text, advice(kind))
}

fn satisfies(record: &Record, conditions: &[Condition]) -> bool {
    conditions.iter().all(|condition| {
        let value = match condition.field {
            Field::Zone => record.zone.as_str(),
            Field::Version => record.version.as_str(),
            Field::Node => record.node.as_str(),
            Field::State => lifecycle_name(record.lifecycle),
        };
        *condition.value == *value
    })
}

fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Absent => "absent",
        Lifecycle::Cold => "cold",
        Lifecycle::Serving => "serving",
        Lifecycle::Draining => "draining",
    }
}

/// Returns whether the description of a change contains the word `subject`.
fn mentions(change: &Change, subject: &str) -> bool {
    let text = action_text(&change.action);
    text.split([' ', ':']).any(|word| word == subject)
}
