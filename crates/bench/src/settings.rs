//! Settings files of the nodes of a test fleet.

use std::fmt::Write;
use std::net::SocketAddr;

use crate::workload::Deployment;

/// Values of a settings file that differ between nodes or runs.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Service of the node's upstream.
    pub service: String,
    /// Listen addresses: client, inner, gossip and operator, in this order.
    pub addrs: [SocketAddr; 4],
    /// Address of the store.
    pub store: SocketAddr,
    /// Gossip addresses of nodes that were started earlier.
    pub seeds: Vec<SocketAddr>,
    /// Policy by which the node selects an owner.
    pub policy: String,
    /// Number of executor threads.
    pub threads: usize,
    /// Deployment whose services and request kinds are declared.
    pub deployment: Deployment,
}

/// Returns the text of a settings file.
pub fn settings_text(node: &NodeSettings) -> String {
    let [client, inner, gossip, operator] = node.addrs;
    let seeds: Vec<String> = node.seeds.iter().map(SocketAddr::to_string).collect();
    let mut text = format!(
        "[node]\nname = {}\nzone = {}\nservice = {}\nthreads = {}\n\n\
         [listen]\nclient = {client}\ninner = {inner}\ngossip = {gossip}\n\
         operator = {operator}\n\n\
         [store]\naddress = {}\n\n\
         [peers]\nseeds = {}\n\n\
         [selection]\npolicy = {}\n\n[log]\nlevel = warn\n",
        node.name,
        node.zone,
        node.service,
        node.threads,
        node.store,
        seeds.join(", "),
        node.policy,
    );
    for size in node.deployment.services() {
        write_service(&mut text, node.deployment, size.service);
    }
    text
}

/// Appends the section of a service, which declares its request kinds.
fn write_service(text: &mut String, deployment: Deployment, service: &str) {
    // Writing to a `String` cannot fail.
    let _ = write!(text, "\n[service {service}]\n");
    for kind in deployment.kinds().iter().filter(|kind| kind.service == service) {
        let safety = if kind.at_most_once { "at most once" } else { "idempotent" };
        let (name, weight, deadline) = (kind.kind, kind.weight, kind.deadline.as_millis());
        let _ = writeln!(text, "kind {name} = weight {weight}, {safety}, deadline {deadline}ms");
    }
    let internal = deployment.internal_kinds().iter().filter(|(name, _)| *name == service);
    for (_, kind) in internal {
        let _ = writeln!(text, "kind {kind} = weight 1, idempotent, internal, deadline 500ms");
    }
}
