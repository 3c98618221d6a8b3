//! Adds the services of the settings to the intent.

use std::{sync::Arc, time::Duration};

use async_std::task;
use oleandertiller_model::{Action, Clock, ServiceSpec};
use uuid::{Builder, Uuid};
use xxhash_rust::xxh3::xxh3_128;

use super::Control;
use crate::node::store::Store;

/// Interval at which a stale node checks whether it has become fresh.
const FRESHNESS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a command, and mean wait before it is repeated, for instance while the store is down.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Author of the changes, as the history shows it.
const AUTHOR: &str = "settings";

/// Adds the services of the settings that the intent lacks.
///
/// Nodes that start together compete for this. They derive the same operation id for a service, so
/// the first node's change settles the commands of all others. A service that an operator has added
/// in the meantime is left unchanged.
pub(super) async fn add_services<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    for service in control.cfg.services.clone() {
        // Before the first intent is received, every service seems to be missing.
        while control.is_stale() {
            task::sleep(FRESHNESS_POLL_INTERVAL).await;
        }
        while control.lacks(&service) {
            let action = Action::PutService(service.clone());
            let missing = |intent: &oleandertiller_model::Intent| {
                !intent.services.contains_key(&service.name)
            };
            let operation = operation(&service);
            let deadline = control.clock.now() + RETRY_INTERVAL;
            control.command_while(operation, AUTHOR.into(), action, deadline, missing).await;
            if control.lacks(&service) {
                task::sleep(RETRY_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }
}

fn operation(service: &ServiceSpec) -> Uuid {
    let text = format!("initial service {}", service.name);
    Builder::from_custom_bytes(xxh3_128(text.as_bytes()).to_be_bytes()).into_uuid()
}

impl<C: Clock, S: Store> Control<C, S> {
    fn lacks(&self, service: &ServiceSpec) -> bool {
        self.read(|agent, _| !agent.replica().intent().services.contains_key(&service.name))
    }
}
