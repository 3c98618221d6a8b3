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

/// Writes a settings file. The keys are the ones assumed here until the node's settings exist;
/// this function is the only place that names them.
pub fn settings_text(node: &NodeSettings) -> String {
    let [client, inner, gossip, operator] = node.addrs;
    let seeds: Vec<String> = node.seeds.iter().map(SocketAddr::to_string).collect();
    let mut text = format!(
        "[node]\nname = {}\nregion = local\nzone = {}\nservice = {}\nthreads = {}\n\n\
         [listen]\nclient = {client}\ninner = {inner}\ngossip = {gossip}\n\
         operator = {operator}\n\n\
         [store]\naddress = {}\n\n\
         [membership]\nseeds = {}\n\n\
         [selection]\npolicy = {}\n",
        node.name,
        node.zone,
        node.service,
        node.threads,
        node.store,
        seeds.join(", "),
        node.policy,
    );
    for kind in node.deployment.kinds() {
        let safety = if kind.at_most_once { "at-most-once" } else { "idempotent" };
        let deadline = kind.deadline.as_millis();
        let _ = write!(
            text,
            "\n[kind {} {}]\nweight = {}\nsafety = {safety}\ndeadline-ms = {deadline}\n",
            kind.service, kind.kind, kind.weight,
        );
    }
    for (service, kind) in node.deployment.internal_kinds() {
        let _ = write!(
            text,
            "\n[kind {service} {kind}]\nweight = 1\nsafety = idempotent\ninternal = true\n",
        );
    }
    text
}
