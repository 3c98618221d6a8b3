//! Advice on each error kind, for `explain refusal` and the guide.

use std::fmt::Write;

use oleandertiller_model::ErrorKind;

/// Returns what a client or operator can do about the error, in one or two sentences.
pub fn advice(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::BadRequest => "Correct the request; sending it again as it is fails again.",
        ErrorKind::HeadTooLarge => "Send fewer or shorter headers, or raise `head-max-bytes`.",
        ErrorKind::BodyTooLarge => "Send a smaller body, or raise `body-max-bytes`.",
        ErrorKind::SlowClient => {
            "Check the client's network, or raise `head-timeout-ms` and `body-timeout-ms`."
        }
        ErrorKind::UnknownService => {
            "Check the first part of the path against `show services`; add the service with `put service`."
        }
        ErrorKind::UnknownKind => {
            "Check the second part of the path against `show services`; add the kind with `put service`."
        }
        ErrorKind::BadDeadline => {
            "Send `x-deadline-ms` as a positive whole number, or leave it out."
        }
        ErrorKind::DeadlineExceeded => {
            "Send the request again with more time. If it happens often, compare the kind's deadline with its latency in `report`."
        }
        ErrorKind::Overloaded => {
            "Send the request again after a pause. If it lasts, add upstreams or lower the load."
        }
        ErrorKind::Cold => {
            "Send the request again. If it lasts, `show upstreams where state = cold` names the upstreams that do not warm up."
        }
        ErrorKind::Draining => "Send the request again; another owner takes it.",
        ErrorKind::ZoneOut => {
            "Send the request again; an owner in another zone takes it. `show zones` says which zones are out."
        }
        ErrorKind::VersionVetoed => {
            "Send the request again. `explain rollout SERVICE` says why the version takes no traffic."
        }
        ErrorKind::CrashSuspect => {
            "Send the request again; another owner takes it. If it lasts, see `crashes-upstreams`."
        }
        ErrorKind::CrashesUpstreams => {
            "Do not send the request again. The log lines `connection lost while a request ran` name the upstreams that ended while they ran it; look there for the cause. If it is not this request, it is run again within seconds."
        }
        ErrorKind::StaleIntent => {
            "Send the request again. If it lasts at one node, that node reaches neither its peers nor the store."
        }
        ErrorKind::NoUpstream => {
            "`show upstreams of SERVICE` says why: none is announced, or all are draining, out or unreachable."
        }
        ErrorKind::ConnectFailed => {
            "Send the request again. If it lasts, the upstream has stopped, or its announced address is wrong."
        }
        ErrorKind::DepthExceeded => "Look for services that call each other in a circle.",
        ErrorKind::LedgerFull => {
            "Send the request again later, or raise `entries` in `[ledger]`; each entry takes memory for the whole window."
        }
        ErrorKind::KeyInDoubt => {
            "Do not send the request with a new key. Find out at the service whether it has run."
        }
        ErrorKind::KeyInProgress => "Wait, then send the request again with the same key.",
        ErrorKind::KeeperUnreachable => {
            "Send the request again with the same key. If it lasts, the keeper's node is partitioned or has failed."
        }
        ErrorKind::ConnectionLost => {
            "The request may have run. Send it again only if its kind is idempotent, or with the same key."
        }
        ErrorKind::UpstreamTimeout => {
            "The request may have run. `explain upstream NODE` says whether the upstream is slow."
        }
        ErrorKind::MismatchedAnswer => {
            "The request may have run. The upstream answers requests in the wrong order; take it out and correct it."
        }
        ErrorKind::TruncatedAnswer => {
            "The request may have run. Check whether the upstream stops while it answers."
        }
        ErrorKind::InvalidStatus => {
            "The request may have run. Correct the upstream: a final answer has a status from 200 to 599."
        }
        ErrorKind::PeerProtocol => "Check that all nodes run versions that understand each other.",
        ErrorKind::Cancelled => "Nothing; the client closed its connection before the answer.",
        ErrorKind::Unauthorized => "Send the operator's token from `[operators]`.",
        ErrorKind::UnknownApiKey => {
            "Send `Authorization: Bearer KEY` with a key that the configuration lists."
        }
        ErrorKind::Internal => "Report it, with the node's log lines of that time.",
    }
}

const PAGE_HEAD: &str = "\
# Error kinds

<!-- Generated from crates/model/src/error.rs; `UPDATE_GUIDE=1 cargo test --test cli` rewrites it. -->

A request that is not answered by an upstream gets one of these kinds in the header `x-reason`, and
in `x-outcome` whether it was run: `not-run` means that it was certainly not run, `unknown` that it
may have been. `explain refusal REASON` prints the same text.

| reason | status | outcome | tried elsewhere | meaning | what to do |
|---|---|---|---|---|---|
";

/// Renders the guide's page on error kinds as Markdown.
pub fn page() -> String {
    let mut page = PAGE_HEAD.to_owned();
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let outcome = kind.outcome().label();
        let elsewhere = if answer.retry_elsewhere { "yes" } else { "no" };
        let (name, status, text) = (answer.name, answer.status, answer.text);
        let advice = advice(*kind);
        let _ =
            writeln!(page, "| `{name}` | {status} | {outcome} | {elsewhere} | {text} | {advice} |");
    }
    page
}
