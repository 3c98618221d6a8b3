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
    executor::{SIMULATION_PROCESS, TaskId, is_clearing, oneshot},
    simulation::Simulation,
};

/// Longest time for opening a connection; equals the default of `NodeConfig`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a caller waits past the deadline for the owner's own answer.
const DEADLINE_GRACE: Duration = Duration::from_millis(25);

/// One-way latency between a client and a node.
const CLIENT_LATENCY: Duration = Duration::from_millis(3);

/// Time for which TCP retransmits on a broken path before it gives up.
const TCP_RETRY_TIMEOUT: Duration = Duration::from_secs(15);

/// The calling end of a connection: a process of a node, or a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    /// Index of the node; `None` for a client.
    pub index: Option<usize>,
    pub process: usize,
}

impl Caller {
    pub const CLIENT: Self = Self { index: None, process: SIMULATION_PROCESS };

    fn connects(self, sim: &Simulation, to: usize) -> bool {
        self.index.is_none_or(|caller| sim.net.borrow().connects(caller, to))
    }

    fn latency(self, sim: &Simulation, to: usize) -> Duration {
        self.index.map_or(CLIENT_LATENCY, |caller| sim.latency(caller, to))
    }

    /// Transmits data in either direction; returns whether it arrives.
    async fn transmit(self, sim: &Simulation, to: usize) -> bool {
        sim.executor.sleep(self.latency(sim, to)).await;
        let end = sim.now() + TCP_RETRY_TIMEOUT;
        while !self.connects(sim, to) {
            if sim.now() >= end {
                return false;
            }
            sim.executor.sleep(Duration::from_millis(20)).await;
        }
        true
    }
}

/// A stream of the caller; dropping it before its end resets it, which cancels the work.
struct Stream {
    sim: Rc<Simulation>,
    caller: Caller,
    to: usize,
    /// Task that serves the request at the receiver, once it has arrived there.
    work: Rc<Cell<Option<TaskId>>>,
    ended: bool,
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.ended || is_clearing() {
            return;
        }
        let (sim, work, caller, to) = (self.sim.clone(), self.work.clone(), self.caller, self.to);
        self.sim.executor.spawn(SIMULATION_PROCESS, async move {
            if caller.transmit(&sim, to).await
                && let Some(task) = work.take()
            {
                sim.executor.abort(task);
            }
        });
    }
}

/// Ends the count of a stream in work at the receiving node when dropped.
struct StreamGuard(Rc<Node>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

/// Returns whether the address of a node refuses connections, which it does only while no process
/// runs there.
pub(crate) async fn is_refused(sim: &Simulation, caller: Caller, to: usize) -> bool {
    if !caller.connects(sim, to) {
        sim.executor.sleep(Duration::from_millis(300)).await;
        return false;
    }
    sim.executor.sleep(caller.latency(sim, to) * 2).await;
    caller.connects(sim, to) && !sim.is_up(to)
}

/// Returns the running process of a node, after opening a connection unless there is one.
async fn connect(
    sim: &Simulation,
    caller: Caller,
    to: usize,
    deadline: Instant,
) -> Result<Rc<Node>, ErrorKind> {
    let known = sim.node(to);
    let is_connected =
        |node: &Rc<Node>| sim.net.borrow().connected.contains(&(caller.process, node.process));
    if let Some(node) = known.filter(is_connected) {
        return Ok(node);
    }
    let until = deadline.min(sim.now() + CONNECT_TIMEOUT);
    if !caller.connects(sim, to) {
        sim.executor.sleep_until(until).await;
        let late = until == deadline;
        return Err(if late { ErrorKind::DeadlineExceeded } else { ErrorKind::ConnectFailed });
    }
    sim.executor.sleep(caller.latency(sim, to) * 2).await;
    let node = sim.node(to).ok_or(ErrorKind::ConnectFailed)?;
    if caller.index.is_some() {
        sim.net.borrow_mut().connected.insert((caller.process, node.process));
    }
    Ok(node)
}

/// Sends a request to a node, which `serve` answers there, and waits for the answer.
///
/// # Errors
///
/// Returns how the request ended when no answer arrived.
pub(crate) async fn request<T: 'static, F: Future<Output = T> + 'static>(
    sim: &Rc<Simulation>,
    caller: Caller,
    to: usize,
    deadline: Instant,
    serve: impl FnOnce(Rc<Node>) -> F + 'static,
) -> Result<T, Outcome> {
    let node = connect(sim, caller, to, deadline).await.map_err(Outcome::NotRun)?;
    let (tx, rx) = oneshot(&sim.executor);
    let work = Rc::new(Cell::new(None));
    let mut stream = Stream { sim: sim.clone(), caller, to, work: work.clone(), ended: false };
    let stopping = Rc::new(RefCell::new(false));
    let (task_sim, set_stopping, process) = (sim.clone(), stopping.clone(), node.process);
    sim.executor.spawn(SIMULATION_PROCESS, async move {
        if !caller.transmit(&task_sim, to).await || task_sim.executor.is_dead(node.process) {
            // The GOAWAY of a planned stop says that the stream was not processed.
            *set_stopping.borrow_mut() =
                node.stopping.get() && task_sim.executor.is_dead(node.process);
            return;
        }
        node.streams.set(node.streams.get() + 1);
        let (process, sim) = (node.process, task_sim.clone());
        let task = task_sim.executor.spawn(process, async move {
            let guard = StreamGuard(node.clone());
            let answer = serve(node).await;
            drop(guard);
            sim.clone().executor.spawn(SIMULATION_PROCESS, async move {
                if caller.transmit(&sim, to).await {
                    tx.send(answer);
                }
            });
        });
        work.set(Some(task));
    });
    let answer = sim.executor.within(deadline + DEADLINE_GRACE, rx).await;
    stream.ended = answer.is_some();
    match answer {
        Some(Some(answer)) => Ok(answer),
        Some(None) if *stopping.borrow() => Err(Outcome::NotRun(ErrorKind::Draining)),
        Some(None) => Err(Outcome::Unknown(ErrorKind::ConnectionLost)),
        None => {
            sim.net.borrow_mut().connected.remove(&(caller.process, process));
            Err(Outcome::Unknown(ErrorKind::UpstreamTimeout))
        }
    }
}
