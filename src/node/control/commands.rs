//! Commands: changes of the intent that are written to the store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_fleet::{Command, CommandOutcome, Step, StoreCall};
use oleandertiller_model::{Action, Clock, Intent};
use rand::{SeedableRng, rngs::StdRng};
use uuid::{Builder, Uuid};

use super::Control;
use crate::node::{keeper::CommandSubmitter, store::Store};

/// Longest time to settle a command. One store call may end after it, and the answer still comes
/// within the 15 s for which `ask` waits.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest time to settle a command of the node itself. The node repeats the command while it is
/// needed, and a planned stop must not wait long for a store that is down.
pub(super) const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

impl<C: Clock, S: Store> Control<C, S> {
    /// Executes a command and passes the changes that it has read to the agent.
    pub(super) async fn command(
        &self,
        operation: Uuid,
        author: Arc<str>,
        action: Action,
    ) -> CommandOutcome {
        let deadline = self.clock.now() + COMMAND_TIMEOUT;
        let outcome = self.command_while(operation, author, action, deadline, |_| true).await;
        outcome.unwrap_or(CommandOutcome::Unknown(operation))
    }

    /// Executes a command as long as `wanted` holds for the intent that it would change. Returns
    /// `None` when it was abandoned because `wanted` no longer held.
    pub(super) async fn command_while(
        &self,
        operation: Uuid,
        author: Arc<str>,
        action: Action,
        deadline: Instant,
        wanted: impl Fn(&Intent) -> bool,
    ) -> Option<CommandOutcome> {
        let mut rng = StdRng::from_rng(&mut rand::rng());
        let replica = self.read(|agent, _| agent.replica().clone());
        let at = self.clock.wall();
        let mut command = Command::new(operation, author, at, action, &replica, deadline);
        let mut step = command.start();
        let outcome = loop {
            step = match step {
                Step::Call(StoreCall::Put { .. }) if !wanted(command.replica().intent()) => {
                    break None;
                }
                Step::Call(call) => {
                    let answer = self.call_store(&call).await;
                    command.answer(answer, self.clock.now(), &mut rng)
                }
                Step::Wait(at) => {
                    self.sleep_until(at).await;
                    command.wake(self.clock.now())
                }
                Step::Done(outcome) => break Some(outcome),
            };
        };
        self.update(|agent, now| agent.adopt_replica(command.replica(), now));
        outcome
    }
}

impl<C: Clock, S: Store> CommandSubmitter for Control<C, S> {
    async fn submit(&self, action: Action) -> bool {
        let author = self.read(|agent, _| agent.membership().local().node.to_string());
        let operation = Builder::from_random_bytes(rand::random()).into_uuid();
        let deadline = self.clock.now() + SUBMIT_TIMEOUT;
        let outcome = self.command_while(operation, author.into(), action, deadline, |_| true);
        matches!(outcome.await, Some(CommandOutcome::Accepted(_)))
    }
}
