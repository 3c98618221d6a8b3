//! The cases of this review that are scripts. Exit status: 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run.

mod deadly_answer;
mod fleet;
mod held_bytes;
mod http;
mod json;
mod late_heartbeat;
mod next_order;
mod server;
mod store;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else { fleet::cannot_run("usage: standin-3 CASE RECORD") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::create(record);
    let run = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "deadly-answer" => deadly_answer::run(&record, trouble),
        "next-order" => next_order::run(&record, trouble),
        "held-bytes" => held_bytes::run(&record, trouble),
        "late-heartbeat" => late_heartbeat::run(&record, trouble),
        _ => fleet::cannot_run("no such case"),
    }));
    let Ok(broken) = run else {
        record.line("the case could not run");
        std::process::exit(2);
    };
    record.line(if broken { "RULE BROKEN" } else { "rule held" });
    println!("{}", if broken { "rule broken" } else { "rule held" });
    std::process::exit(i32::from(broken));
}

/// Returns a configuration with one service and its routes: host, name, kind, path, objective,
/// timeout.
pub fn config(service: &str, routes: &[(&str, &str, &str, u64, u64)]) -> String {
    let rule = |(name, kind, prefix, aim, timeout): &(&str, &str, &str, u64, u64)| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"targetLatencyMs\":{aim},\"priority\":1,\
             \"match\":{{\"pathPrefix\":\"{prefix}\"}},\
             \"action\":{{\"service\":\"{service}\",\"timeoutMs\":{timeout},\"retryAttempts\":2}}}}"
        )
    };
    let rules: Vec<String> = routes.iter().map(rule).collect();
    format!(
        "{{\"version\":3,\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"listeners\":[{{\"host\":\"shop.example\",\"ruleSet\":[{}]}}],\
         \"clusters\":[{{\"name\":\"{service}\",\"healthCheckPath\":\"/health\",\
         \"connectionLimit\":220,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\
         \"coldPerS\":5.3}}]}}",
        rules.join(",")
    )
}
