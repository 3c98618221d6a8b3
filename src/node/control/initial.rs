//! The services of the settings, which become the initial intent.

use std::{sync::Arc, time::Duration};

use async_std::task;
use oleandertiller_model::{Action, Clock, ServiceSpec};
use uuid::{Builder, Uuid};
use xxhash_rust::xxh3::xxh3_128;

use super::Control;
use crate::node::store::Store;

/// Interval of looks at whether the intent has the services.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Wait after a command that did not settle, such as with the store down.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Author of the changes in the history.
const AUTHOR: &str = "settings";

/// Adds the services of the settings that the intent lacks.
///
/// Nodes that start together race for this. They use the same operation id for a service, so the
/// first one's change settles the commands of all others, and a service that an operator has put
/// meanwhile is left alone.
pub(super) async fn settle<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    for service in control.cfg.services.clone() {
        // The intent in force says nothing about missing services before it was heard.
        while control.is_stale() {
            task::sleep(LOOK_INTERVAL).await;
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
