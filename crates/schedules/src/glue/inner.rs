//! Calls between nodes and from clients; mirrors `src/node/inner/client.rs` and `inner/server.rs`.

use std::{
    cell::{Cell, RefCell},
    future::Future,
    rc::Rc,
    time::{Duration, Instant},
};

use oleandertiller_model::{ErrorKind, Outcome};

use super::Node;
use crate::{
    exec::{TaskId, WORLD, is_clearing, oneshot},
    world::World,
};

/// Longest time for opening a connection; the default of `NodeConfig`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time past the deadline in which an owner's own answer may still come.
const DEADLINE_GRACE: Duration = Duration::from_millis(25);

/// Time between a client and a node.
const CLIENT_LATENCY: Duration = Duration::from_millis(3);

/// Time for which TCP keeps trying on a broken path.
const TCP_PATIENCE: Duration = Duration::from_secs(15);

/// One end of a connection: a node with its process, or a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct From {
    pub index: Option<usize>,
    pub process: usize,
}

impl From {
    pub const CLIENT: Self = Self { index: None, process: WORLD };

    fn connects(self, world: &World, to: usize) -> bool {
        self.index.is_none_or(|from| world.net.borrow().connects(from, to))
    }

    fn latency(self, world: &World, to: usize) -> Duration {
        self.index.map_or(CLIENT_LATENCY, |from| world.latency(from, to))
    }

    /// Carries data in either direction; returns whether it arrives.
    async fn carry(self, world: &World, to: usize) -> bool {
        world.exec.sleep(self.latency(world, to)).await;
        let end = world.now() + TCP_PATIENCE;
        while !self.connects(world, to) {
            if world.now() >= end {
                return false;
            }
            world.exec.sleep(Duration::from_millis(20)).await;
        }
        true
    }
}

/// A stream of the caller; dropping it resets the stream, which cancels the work.
struct Stream {
    world: Rc<World>,
    from: From,
    to: usize,
    work: Rc<Cell<Option<TaskId>>>,
    ended: bool,
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.ended || is_clearing() {
            return;
        }
        let (world, work, from, to) = (self.world.clone(), self.work.clone(), self.from, self.to);
        self.world.exec.spawn(WORLD, async move {
            if from.carry(&world, to).await
                && let Some(task) = work.take()
            {
                world.exec.abort(task);
            }
        });
    }
}

struct Busy(Rc<Node>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

/// Returns whether the address of a node refuses connections, as only an ended process makes it.
pub(crate) async fn is_refused(world: &World, from: From, to: usize) -> bool {
    if !from.connects(world, to) {
        world.exec.sleep(Duration::from_millis(300)).await;
        return false;
    }
    world.exec.sleep(from.latency(world, to) * 2).await;
    from.connects(world, to) && !world.is_up(to)
}

async fn connect(
    world: &World,
    from: From,
    to: usize,
    deadline: Instant,
) -> Result<Rc<Node>, ErrorKind> {
    let known = world.node(to);
    let open =
        |node: &Rc<Node>| world.net.borrow().connected.contains(&(from.process, node.process));
    if let Some(node) = known.filter(open) {
        return Ok(node);
    }
    let until = deadline.min(world.now() + CONNECT_TIMEOUT);
    if !from.connects(world, to) {
        world.exec.sleep_until(until).await;
        let late = until == deadline;
        return Err(if late { ErrorKind::DeadlineExceeded } else { ErrorKind::ConnectFailed });
    }
    world.exec.sleep(from.latency(world, to) * 2).await;
    let node = world.node(to).ok_or(ErrorKind::ConnectFailed)?;
    if from.index.is_some() {
        world.net.borrow_mut().connected.insert((from.process, node.process));
    }
    Ok(node)
}

/// Has a node answer a message.
///
/// # Errors
///
/// Returns how the call ended when no answer arrived.
pub(crate) async fn ask<T: 'static, F: Future<Output = T> + 'static>(
    world: &Rc<World>,
    from: From,
    to: usize,
    deadline: Instant,
    serve: impl FnOnce(Rc<Node>) -> F + 'static,
) -> Result<T, Outcome> {
    let node = connect(world, from, to, deadline).await.map_err(Outcome::NotRun)?;
    let (tx, rx) = oneshot(&world.exec);
    let work = Rc::new(Cell::new(None));
    let mut stream = Stream { world: world.clone(), from, to, work: work.clone(), ended: false };
    let planned = Rc::new(RefCell::new(false));
    let (at, sent, process) = (world.clone(), planned.clone(), node.process);
    world.exec.spawn(WORLD, async move {
        if !from.carry(&at, to).await || at.exec.is_dead(node.process) {
            // A planned stop says with GOAWAY that it has not processed the stream.
            *sent.borrow_mut() = node.planned.get() && at.exec.is_dead(node.process);
            return;
        }
        node.streams.set(node.streams.get() + 1);
        let (process, world) = (node.process, at.clone());
        let task = at.exec.spawn(process, async move {
            let busy = Busy(node.clone());
            let answer = serve(node).await;
            drop(busy);
            world.clone().exec.spawn(WORLD, async move {
                if from.carry(&world, to).await {
                    tx.send(answer);
                }
            });
        });
        work.set(Some(task));
    });
    let answer = world.exec.within(deadline + DEADLINE_GRACE, rx).await;
    stream.ended = answer.is_some();
    match answer {
        Some(Some(answer)) => Ok(answer),
        Some(None) if *planned.borrow() => Err(Outcome::NotRun(ErrorKind::Draining)),
        Some(None) => Err(Outcome::Unknown(ErrorKind::ConnectionLost)),
        None => {
            world.net.borrow_mut().connected.remove(&(from.process, process));
            Err(Outcome::Unknown(ErrorKind::UpstreamTimeout))
        }
    }
}
