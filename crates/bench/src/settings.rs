//! Settings of a node that a run starts.

use std::fmt::Write;
use std::net::SocketAddr;

use crate::workload::Deployment;

/// What a run sets in a node's settings.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Service of the upstream beside it.
    pub service: String,
    /// Client, inner, gossip and operator address.
    pub addrs: [SocketAddr; 4],
    /// Address of the store.
    pub store: SocketAddr,
    /// Gossip addresses of nodes started before.
    pub seeds: Vec<SocketAddr>,
    /// Selection policy.
    pub policy: String,
    /// Executor threads.
    pub threads: usize,
    /// Kinds of request of the deployment.
    pub deployment: Deployment,
}

/// Writes a settings file.
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

/// Declares the kinds of one service.
fn write_service(text: &mut String, deployment: Deployment, service: &str) {
    // Writing to a string does not fail.
    let _ = write!(text, "\n[service {service}]\n");
    for kind in deployment.kinds().iter().filter(|kind| kind.service == service) {
        let safety = if kind.at_most_once { "at most once" } else { "idempotent" };
        let (name, weight, deadline) = (kind.kind, kind.weight, kind.deadline.as_millis());
        let _ = writeln!(text, "kind {name} = weight {weight}, {safety}, deadline {deadline}ms");
    }
    let internal = deployment.internal_kinds().iter().filter(|(of, _)| *of == service);
    for (_, name) in internal {
        let _ = writeln!(text, "kind {name} = weight 1, idempotent, internal, deadline 500ms");
    }
}
