//! Updates the owners of each service in the view from the member table.

use std::collections::{BTreeMap, HashMap};

use oleandertiller_fleet::{Agent, Record};
use oleandertiller_model::ServiceName;

use super::Shared;
use crate::node::view::{OwnerInfo, ViewCell};

type Owners = BTreeMap<ServiceName, Vec<OwnerInfo>>;

impl Shared {
    /// Updates the owners of services whose members have changed. Runs under the lock, so that an
    /// older list never replaces a newer one.
    pub(super) fn refresh_owners(&mut self, view: &ViewCell) {
        let all = std::mem::take(&mut self.all_services_changed);
        if !all && self.changed_services.is_empty() {
            return;
        }
        let before = view.load();
        let mut next = if all { HashMap::new() } else { before.owners.clone() };
        for (service, list) in self.changed_owners(all) {
            match before.owners.get(&service).filter(|known| known[..] == list[..]) {
                // The same list is kept, so that the ingress keeps its route.
                Some(known) => next.insert(service, known.clone()),
                None => next.insert(service, list.into()),
            };
        }
        view.update(|view| view.owners = next.clone());
    }

    fn changed_owners(&mut self, all: bool) -> Owners {
        let changed_services = std::mem::take(&mut self.changed_services);
        let agent = &self.agent;
        let table = agent.membership().table();
        let mut owners = Owners::new();
        if all {
            for entry in table.after(None).filter(|entry| entry.record.is_present()) {
                let list = owners.entry(entry.record.service.clone()).or_default();
                list.push(owner(agent, &entry.record));
            }
            return owners;
        }
        for service in changed_services {
            let present = table.of_service(&service).filter(|entry| entry.record.is_present());
            let mut list: Vec<_> = present.map(|entry| owner(agent, &entry.record)).collect();
            list.sort_by(|one, other| one.node.cmp(&other.node));
            owners.insert(service, list);
        }
        owners
    }
}

fn owner(agent: &Agent, record: &Record) -> OwnerInfo {
    OwnerInfo {
        node: record.node.clone(),
        incarnation: record.incarnation,
        zone: record.zone.clone(),
        region: record.region.clone(),
        inner: record.addresses.inner,
        version: record.version.clone(),
        lifecycle: record.lifecycle,
        reachable: agent.membership().is_selectable(&record.node),
    }
}
