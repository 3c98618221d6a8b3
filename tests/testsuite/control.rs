//! Control services of node processes: membership, intent, operators and planned stops.

mod operators;
mod stops;
mod zones;

use async_std::task;

use crate::processes::{Fleet, NodeOptions};

/// Guards against components that work alone but not together: zone entries, gossip across zones,
/// the initial intent, announcements and the inner port.
#[test]
fn a_request_is_served_through_two_nodes() {
    task::block_on(async {
        let options = [
            NodeOptions::new("kettle-1", "khan-uul", "kettle"),
            NodeOptions::new("recipe-1", "bayangol", "recipe"),
        ];
        let fleet = Fleet::start(&options).await;
        let [kettle, recipe] = &fleet.nodes[..] else { panic!() };
        let reply = recipe.get("/kettle/temper").await;
        assert_eq!((reply.status(), reply.header("x-outcome")), (200, Some("done")));
        assert_eq!(kettle.record().await.run, 1);
    });
}
