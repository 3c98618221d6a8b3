//! `POST /ask`: executes statements of the operators' language.

use std::{sync::Arc, time::SystemTime};

use futures_util::AsyncReadExt;
use oleandertiller_fleet::{CommandOutcome, NotAccepted};
use oleandertiller_language::{ActionContext, Command, Statement, complete, parse};
use oleandertiller_model::{
    Action, Change, Clock, ErrorKind, Intent, Revision, ServiceName, VersionName,
    intent::ChangeError,
};
use serde_json::json;
use tide::{Request, StatusCode};
use uuid::{Builder, Uuid};

use super::{Control, answer::Answer};
use crate::node::{
    operator::{OperatorApp, OperatorState},
    store::Store,
};

/// Largest accepted line, in bytes; it is also the language's limit.
const MAX_LINE_BYTES: u64 = 8_192;

/// Author of commands when no operators are configured.
const ANONYMOUS_AUTHOR: &str = "anybody";

/// Adds the route `POST /ask` to the operator port.
pub(super) fn add_route<C: Clock, S: Store>(
    control: &Arc<Control<C, S>>,
    app: &mut OperatorApp<C>,
) {
    let control = control.clone();
    app.at("/ask").post(move |req| {
        let control = control.clone();
        async move { ask(&control, req).await }
    });
}

async fn ask<C: Clock, S: Store>(
    control: &Control<C, S>,
    mut req: Request<OperatorState<C>>,
) -> tide::Result {
    let header = |name: &str| req.header(name).map(|values| values.last().as_str().to_owned());
    let as_json = header("accept").is_some_and(|accept| accept.contains("application/json"));
    let token = header("authorization");
    let mut line = Vec::new();
    let body = req.take_body().into_reader();
    body.take(MAX_LINE_BYTES + 1).read_to_end(&mut line).await?;
    let answer = match String::from_utf8(line) {
        Ok(line) => control.answer(line.trim(), token.as_deref()).await,
        Err(_) => Answer::failure(StatusCode::BadRequest, "the line is not UTF-8 text"),
    };
    Ok(answer.into_response(as_json))
}

impl<C: Clock, S: Store> Control<C, S> {
    async fn answer(&self, line: &str, token: Option<&str>) -> Answer {
        match parse(line) {
            Err(error) => Answer::failure(StatusCode::BadRequest, &error.to_string()),
            Ok(Statement::Help) => Answer::plain(complete::HELP),
            Ok(Statement::Query(query)) => self.query(&query).await,
            Ok(Statement::Command(command)) => match self.author(token) {
                Some(author) => self.execute(&command, author).await,
                None => {
                    Answer::failure(StatusCode::Unauthorized, ErrorKind::Unauthorized.answer().text)
                }
            },
        }
    }

    /// Returns the author of a command; `None` when the token is no operator's.
    fn author(&self, token: Option<&str>) -> Option<Arc<str>> {
        if self.cfg.operators.is_empty() {
            return Some(ANONYMOUS_AUTHOR.into());
        }
        let given = token?.strip_prefix("Bearer ")?;
        let known = self.cfg.operators.iter().find(|operator| operator.token.matches(given));
        known.map(|operator| operator.name.clone())
    }

    async fn execute(&self, command: &Command, author: Arc<str>) -> Answer {
        let intent = self.view.load().intent.clone();
        let announced = match command {
            Command::Rollout { service, .. } => self.announced_version(service),
            _ => None,
        };
        let cx = ActionContext {
            intent: &intent,
            announced: announced.as_ref(),
            now: self.clock.wall(),
        };
        let action = match command.action(cx) {
            Ok(action) => action,
            Err(error) => return not_accepted(&error.to_string(), StatusCode::Conflict),
        };
        let operation = Builder::from_random_bytes(rand::random()).into_uuid();
        match self.command(operation, author, action.clone()).await {
            CommandOutcome::Accepted(revision) => accepted(revision, operation),
            CommandOutcome::NotAccepted(why) => self.refused(why, action),
            CommandOutcome::Unknown(operation) => unknown(operation),
        }
    }

    fn refused(&self, why: NotAccepted, action: Action) -> Answer {
        match why {
            NotAccepted::Contention => {
                not_accepted("other commands were faster; try again", StatusCode::Conflict)
            }
            NotAccepted::StoreUnavailable => not_accepted(
                "the store cannot be reached; nothing was written",
                StatusCode::ServiceUnavailable,
            ),
            NotAccepted::StoreCorrupt => not_accepted(
                "the store holds a configuration that cannot be used",
                StatusCode::ServiceUnavailable,
            ),
            // The command has updated the intent in force to the one that refused it.
            NotAccepted::Refused(_) => {
                let intent = self.view.load().intent.clone();
                not_accepted(refusal(&intent, action), StatusCode::Conflict)
            }
        }
    }

    /// Returns the version that this node's ingress calls, from which a rollout would start.
    fn announced_version(&self, service: &ServiceName) -> Option<VersionName> {
        self.handles.get()?.ingress.serving_version(service)
    }
}

fn accepted(revision: Revision, operation: Uuid) -> Answer {
    let json = json!({ "result": "accepted", "revision": revision, "operation": operation });
    Answer::result(StatusCode::Ok, &format!("accepted as {revision}"), json)
}

fn unknown(operation: Uuid) -> Answer {
    let text = format!("unknown; ask later with `operation {operation}`");
    let json = json!({ "result": "unknown", "operation": operation });
    Answer::result(StatusCode::GatewayTimeout, &text, json)
}

fn not_accepted(reason: &str, status: StatusCode) -> Answer {
    let json = json!({ "result": "not-accepted", "reason": reason });
    Answer::result(status, &format!("not accepted: {reason}"), json)
}

/// Returns why the intent in force refuses an action.
fn refusal(intent: &Intent, action: Action) -> &'static str {
    let change = Change {
        revision: intent.revision.next(),
        operation: Uuid::nil(),
        author: "".into(),
        at: SystemTime::UNIX_EPOCH,
        action,
    };
    match Intent::clone(intent).apply(&change) {
        Err(ChangeError::NotFound) => "no such zone, service or rollout",
        Err(ChangeError::RolloutUnderWay) => "a rollout of the service is under way",
        Err(ChangeError::RolloutEnded) => "the rollout has ended",
        Err(ChangeError::StaleFence) => "the rollout has another controller",
        Err(ChangeError::OtherIncarnation) => "the keeper has another incarnation",
        Err(ChangeError::OutOfRange) => "a value is out of its range",
        Err(ChangeError::WrongRevision) | Ok(()) => {
            "the configuration did not allow it and has changed since"
        }
    }
}
