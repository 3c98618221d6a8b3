//! The template that the platform fills in for each mesh node.

use std::collections::BTreeMap;

use oleandertiller::settings::mesh::MeshSettings;

const TEMPLATE: &str = include_str!("../../deploy/settings.ini.template");

/// Values that every deployment has; all others may be left out.
const MANDATORY: [(&str, &str); 10] = [
    ("nodeName", "node-1"),
    ("zone", "z1"),
    ("service", "kettle"),
    ("applicationAddress", "127.0.0.1:1"),
    ("listenAddresses.outbound", "127.0.0.1:2"),
    ("listenAddresses.inbound", "127.0.0.1:3"),
    ("listenAddresses.ready", "127.0.0.1:4"),
    ("listenAddresses.control", "127.0.0.1:5"),
    ("ipAddress", "127.0.0.1"),
    ("platform.address", "127.0.0.1:6"),
];

/// Returns the names of the placeholders.
fn placeholders() -> Vec<&'static str> {
    let parts = TEMPLATE.split("{{").skip(1);
    parts.map(|part| part.split("}}").next().unwrap()).collect()
}

/// Fills in the template; a placeholder without a value becomes nothing.
fn render(values: &BTreeMap<&str, &str>) -> String {
    placeholders().into_iter().fold(TEMPLATE.to_owned(), |text, name| {
        text.replace(&format!("{{{{{name}}}}}"), values.get(name).copied().unwrap_or(""))
    })
}

/// Guards against a node that does not start where the platform has no value for an optional term.
#[test]
fn absent_optional_value_does_not_stop_a_node_from_starting() {
    let mandatory: BTreeMap<&str, &str> = MANDATORY.into();
    let optional: Vec<&str> =
        placeholders().into_iter().filter(|name| !mandatory.contains_key(name)).collect();
    let mut all = mandatory.clone();
    let value = |name: &str| match name {
        "limits.memoryMb" => "160",
        "limits.fdLimit" => "4100",
        _ => "1",
    };
    all.extend(optional.iter().map(|name| (*name, value(name))));
    for left_out in &optional {
        let mut values = all.clone();
        values.remove(left_out);
        let settings = MeshSettings::parse(&render(&values));
        let settings = settings.unwrap_or_else(|errors| panic!("{left_out}: {errors:?}"));
        let rollouts = settings.terms.exposure_share.zip(settings.terms.exposure_extra);
        assert_eq!(rollouts.is_none(), left_out.contains("exposure"), "{left_out}");
    }
    assert!(MeshSettings::parse(&render(&mandatory)).is_ok());
}
