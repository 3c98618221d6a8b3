//! `GET /report`: the outcomes of requests at this node's ingress since its start, and the error
//! budget burned.

use std::sync::Arc;

use oleandertiller_model::{Clock, KindSpec, ServiceSpec};
use serde_json::{Value, json};
use tide::{Response, StatusCode};

use super::{Control, answer::epoch_ms};
use crate::node::{metrics::Metrics, operator::OperatorApp, store::Store};

/// Adds the route `GET /report` to the operator port.
pub(super) fn add_route<C: Clock, S: Store>(
    control: &Arc<Control<C, S>>,
    app: &mut OperatorApp<C>,
) {
    let control = control.clone();
    app.at("/report").get(move |_| {
        let control = control.clone();
        async move { Ok(Response::builder(StatusCode::Ok).body(control.report()).build()) }
    });
}

impl<C: Clock, S: Store> Control<C, S> {
    fn report(&self) -> Value {
        let Some(handles) = self.handles.get() else { return json!({}) };
        let intent = self.view.load().intent.clone();
        let services = intent.services.values();
        let kinds = services.flat_map(|service| service.kinds.iter().map(move |k| (service, k)));
        let kinds = kinds.map(|(service, kind)| kind_report(&handles.metrics, service, kind));
        let rejected = counts(&handles.metrics, "", "");
        let now = self.clock.now();
        let burn = handles.metrics.burn.report(handles.node.name.clone(), &intent, now);
        json!({
            "node": burn.node,
            "since-seconds": burn.since_seconds,
            "services": burn.services,
            "zone": handles.node.zone,
            "started-ms": epoch_ms(self.started),
            "now-ms": epoch_ms(self.clock.wall()),
            "revision": intent.revision,
            "kinds": kinds.collect::<Vec<_>>(),
            "rejected": rejected,
        })
    }
}

fn kind_report(metrics: &Metrics, service: &ServiceSpec, kind: &KindSpec) -> Value {
    json!({
        "service": service.name,
        "kind": kind.name,
        "weight": kind.weight,
        "objective-ppm": kind.objective_ppm,
        "counts": counts(metrics, service.name.as_str(), kind.name.as_str()),
    })
}

fn counts(metrics: &Metrics, service: &str, kind: &str) -> Vec<Value> {
    let counts = metrics.counts(service, kind).into_iter();
    let row = |(outcome, count): (oleandertiller_model::Outcome, u64)| {
        let reason = outcome.kind().map(|kind| kind.answer().name);
        json!({ "outcome": outcome.label(), "reason": reason, "count": count })
    };
    counts.map(row).collect()
}
