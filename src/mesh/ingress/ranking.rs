//! The owners that are offered a request, in the order in which they are asked.

use std::{sync::Arc, time::Instant, vec};

use oleandertiller_mesh::{
    admission_queue::{OwnerState, PriorityClass},
    members::NodeRecord,
    placement::{Candidate, Position, order_by_cost},
    rollout::AllowedVersions,
};
use oleandertiller_model::Clock;

use super::{
    Ingress,
    attempts::{AttemptState, Attempts},
    request::ClientRequest,
};

/// Maximum number of owners that are offered a request in one round.
const MAX_OWNERS_PER_ROUND: usize = 6;

/// An owner that may get an offer.
pub(super) struct RankedOwner {
    /// Record of its node.
    pub(super) record: Arc<NodeRecord>,
    /// Its recent state, if that shows that it would refuse the offer for want of capacity.
    pub(super) refusing: Option<OwnerState>,
}

/// Owners that may get an offer, the best first.
pub(super) struct RankedOwners {
    pub(super) preferred: vec::IntoIter<RankedOwner>,
    /// Owners that are asked instead once one of the first refuses for its version.
    pub(super) fallback: Option<vec::IntoIter<RankedOwner>>,
    /// Maximum number of owners to ask in one round.
    pub(super) max_offers: usize,
}

impl RankedOwners {
    fn new(preferred: Vec<RankedOwner>, fallback: Option<Vec<RankedOwner>>) -> Self {
        let fallback = fallback.map(Vec::into_iter);
        Self { preferred: preferred.into_iter(), fallback, max_offers: MAX_OWNERS_PER_ROUND }
    }
}

impl<C: Clock> Ingress<C> {
    /// Returns the owners that may get an offer of a request of this class.
    pub(super) fn rank_owners(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        version_draw: f64,
        class: PriorityClass,
    ) -> RankedOwners {
        let now = self.shared.clock.now();
        let own = &self.shared.settings.node.name;
        // Before the lock of the deployment, which the owner takes before its own.
        let own_state = self.shared.owner.state_for(class, request.route.rank);
        let mut deployment = self.shared.deployment();
        deployment.on_own_state(own, own_state, now);
        let mut owners = deployment.owners(&request.service, now);
        {
            let AttemptState { excluded, in_flight, .. } = &*attempts.lock();
            owners.retain(|(owner, _)| {
                !excluded.contains(&owner.node) && !in_flight.contains(&owner.node)
            });
        }
        let allowed_versions = deployment.allowed_versions(&request.service);
        let zone = &self.shared.settings.node.zone;
        let (room, max_offers) = match deployment.zone_capacity(&request.service) {
            Some(zones) => (zones.room(zone, now), zones.max_offers(MAX_OWNERS_PER_ROUND, now)),
            None => (1.0, MAX_OWNERS_PER_ROUND),
        };
        drop(deployment);
        let AllowedVersions::Share(version, share) = allowed_versions else {
            let ranked = RankedOwners::new(self.sort_owners(owners, room, class, now), None);
            return RankedOwners { max_offers, ..ranked };
        };
        let is_new = |record: &NodeRecord| {
            record.upstream.as_ref().is_some_and(|upstream| upstream.version == version)
        };
        let (mut new, old): (Vec<_>, Vec<_>) =
            owners.into_iter().partition(|(_, record)| is_new(record));
        if version_draw >= share {
            // The new version is asked only if no owner of the old one is left, and serves what its
            // leader has granted.
            let owners = if old.is_empty() { new } else { old };
            return RankedOwners::new(self.sort_owners(owners, room, class, now), None);
        }
        let new = match share < 1.0 {
            true => {
                // Some versions fail only under load, so the upstreams are filled one after the
                // other, in the same order at all nodes.
                new.sort_by(|(one, _), (other, _)| one.node.cmp(&other.node));
                new.into_iter().map(|(_, record)| RankedOwner { record, refusing: None }).collect()
            }
            false => self.sort_owners(new, room, class, now),
        };
        let old = self.sort_owners(old, room, class, now);
        if new.is_empty() {
            RankedOwners::new(old, None)
        } else {
            RankedOwners::new(new, Some(old))
        }
    }

    /// Sorts owners by their expected cost, the cheapest first.
    fn sort_owners(
        &self,
        owners: Vec<(Candidate, Arc<NodeRecord>)>,
        room: f64,
        class: PriorityClass,
        now: Instant,
    ) -> Vec<RankedOwner> {
        let settings = &self.shared.settings.node;
        let position = Position { node: &settings.name, zone: &settings.zone, room };
        let (candidates, records): (Vec<_>, Vec<_>) = owners.into_iter().unzip();
        let order = order_by_cost(&candidates, position, now, &mut rand::rng());
        let ranked = order.into_iter().map(|index| {
            // Nested calls may use slots that the state does not count as free.
            let may_skip = class != PriorityClass::Nested;
            let refusing = candidates[index].refusing_state(now).filter(|_| may_skip);
            RankedOwner { record: records[index].clone(), refusing }
        });
        ranked.collect()
    }
}
