//! API keys, tenants and their priority.

use oleandertiller_mesh::tenants::{
    ApiKey, Credential, KeyDigest, Salt, Tenant, Tenants, UnknownKey,
};
use proptest::{collection::vec, prelude::*};

fn tenants(keys: &[&str]) -> Tenants {
    let salt = Salt::random();
    let tenant = |key: &&str| Tenant {
        name: format!("tenant of {key}").into(),
        priority: None,
        keys: vec![KeyDigest::new(&salt, &ApiKey::new(key))],
    };
    let tenants = keys.iter().map(tenant).collect();
    Tenants::new(salt, tenants)
}

fn key(text: &str) -> Credential {
    Credential::Key(ApiKey::new(text))
}

/// Guards against a request that runs without a known key, or is refused with one.
#[test]
fn only_known_keys_are_accepted_unless_the_route_is_anonymous() {
    let tenants = tenants(&["one", "two"]);
    let check = |credential: &Credential, anonymous, nested| {
        let tenant = tenants.check(credential, anonymous, nested);
        tenant.map(|tenant| tenant.map(|tenant| tenant.name.to_string()))
    };
    let two = Ok(Some("tenant of two".to_owned()));
    assert_eq!(check(&key("two"), false, false), two);
    assert_eq!(check(&key("two"), true, true), two);
    for credential in [key("thre"), key("TWO"), Credential::Malformed, Credential::Absent] {
        assert_eq!(check(&credential, false, false), Err(UnknownKey), "{credential:?}");
        assert_eq!(check(&credential, true, false), Ok(None), "{credential:?}");
    }
    assert_eq!(check(&Credential::Absent, false, true), Ok(None));
    // The id of a revoked client's request may look like that of a nested call.
    assert_eq!(check(&key("three"), false, true), Err(UnknownKey));
}

/// Guards against keys, digests or salts in log lines.
#[test]
fn debug_output_shows_no_key() {
    let tenants = tenants(&["secret"]);
    let digest = tenants.all()[0].keys[0].as_bytes();
    let text = format!("{tenants:?} {:?}", key("secret"));
    let without_name = text.replace("tenant of secret", "");
    assert!(!without_name.contains("secret"), "{text}");
    assert!(!text.contains(&format!("{digest:?}")), "{text}");
}

proptest! {
    /// Guards against keys that are taken for each other, as lists of keys change.
    #[test]
    fn a_key_is_known_exactly_while_it_is_listed(
        listed in vec("[a-c]{1,3}", 0..8),
        presented in "[a-c]{1,3}",
    ) {
        let names: Vec<&str> = listed.iter().map(String::as_str).collect();
        let tenants = tenants(&names);
        prop_assert_eq!(
            tenants.find(&ApiKey::new(&presented)).is_some(),
            listed.contains(&presented)
        );
    }
}
