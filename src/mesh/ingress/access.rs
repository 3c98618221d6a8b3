//! API keys of requests: the check on arrival, and its repetition while a request waits.

use oleandertiller_mesh::{
    config::{Config, Route},
    tenants::{ApiKey, Tenant},
};
use oleandertiller_model::{Clock, ErrorKind};
use oleandertiller_platform::header;

use super::{Ingress, request::ClientRequest, version_of};
use crate::mesh::http::Headers;

/// Returns the tenant of a request with its key, or `None` if the request runs without a tenant.
///
/// # Errors
///
/// Returns [`ErrorKind::UnknownApiKey`] if the request needs a known key and has none.
pub(super) fn check_access<'a>(
    cfg: Option<&'a Config>,
    route: &Route,
    headers: &Headers,
    is_nested: bool,
) -> Result<Option<(&'a Tenant, ApiKey)>, ErrorKind> {
    let Some(tenants) = cfg.and_then(|cfg| cfg.tenants.as_ref()) else { return Ok(None) };
    let credential = header::read_credential(headers.get_all(header::AUTHORIZATION));
    let tenant = tenants
        .check(&credential, route.allow_anonymous, is_nested)
        .map_err(|_| ErrorKind::UnknownApiKey)?;
    Ok(tenant.zip(credential.key().cloned()))
}

impl<C: Clock> Ingress<C> {
    /// Returns whether the key of a request has been revoked since its arrival. Each offer is
    /// preceded by this check, so that a request that waits does not start at the next owner, or in
    /// the next round, after the configuration that revokes its key has arrived.
    pub(super) fn is_revoked(&self, request: &ClientRequest) -> bool {
        let Some(tenant) = &request.tenant else { return false };
        let Some(cfg) = self.shared.config() else { return false };
        let has_changed = version_of(Some(&cfg)) != request.config;
        let tenants =
            cfg.tenants.as_ref().filter(|_| has_changed && !request.route.allow_anonymous);
        tenants.is_some_and(|tenants| tenants.find(&tenant.key).is_none())
    }
}
