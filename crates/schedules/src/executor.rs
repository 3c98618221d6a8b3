//! An executor in virtual time, whose tasks belong to processes that can be paused and killed.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BinaryHeap,
    future::Future,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant, SystemTime},
};

use rand::{Rng, seq::SliceRandom};

type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Process of the tasks outside any node, which is never paused.
pub(crate) const SIMULATION_PROCESS: usize = 0;

/// Slot of a task and its generation, so that an old id does not abort a later task in the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskId(usize, u64);

struct TaskSlot {
    work: Option<TaskFuture>,
    process: usize,
    generation: u64,
}

#[derive(Default)]
struct Process {
    paused: bool,
    dead: bool,
    /// Tasks that became due during the pause.
    deferred: Vec<usize>,
}

struct Core {
    now_us: u64,
    /// Number of scheduled polls; orders those that are due at the same time.
    sequence: u64,
    /// Polls to come: time in microseconds, sequence number and task.
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    slots: Vec<TaskSlot>,
    /// Indices of the slots without a task.
    free: Vec<usize>,
    processes: Vec<Process>,
    /// Task that is being polled.
    current: usize,
    /// Number of polls since the virtual time last advanced.
    polls: u32,
}

/// Largest number of polls at one instant; more mean that a task loops without waiting.
const MAX_POLLS_PER_INSTANT: u32 = 200_000;

/// The executor; clones share its state.
#[derive(Clone)]
pub(crate) struct Executor {
    core: Rc<RefCell<Core>>,
    origin: Instant,
}

impl Executor {
    pub fn new() -> Self {
        let core = Core {
            now_us: 0,
            sequence: 0,
            due: BinaryHeap::new(),
            slots: Vec::new(),
            free: Vec::new(),
            processes: vec![Process::default()],
            current: 0,
            polls: 0,
        };
        // Leaves room for instants before the start of the schedule.
        let origin = Instant::now() + Duration::from_secs(1_000);
        Self { core: Rc::new(RefCell::new(core)), origin }
    }

    pub fn now(&self) -> Instant {
        self.origin + self.elapsed()
    }

    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.core.borrow().now_us)
    }

    /// Returns the virtual time as a wall clock shows it.
    pub fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + self.elapsed()
    }

    pub fn add_process(&self) -> usize {
        let mut core = self.core.borrow_mut();
        core.processes.push(Process::default());
        core.processes.len() - 1
    }

    pub fn spawn(&self, process: usize, work: impl Future<Output = ()> + 'static) -> TaskId {
        self.spawn_in(Duration::ZERO, process, work)
    }

    /// Spawns a task of a process that is first polled after `delay`.
    pub fn spawn_in(
        &self,
        delay: Duration,
        process: usize,
        work: impl Future<Output = ()> + 'static,
    ) -> TaskId {
        let mut core = self.core.borrow_mut();
        let index = match core.free.pop() {
            Some(index) => index,
            None => {
                core.slots.push(TaskSlot { work: None, process, generation: 0 });
                core.slots.len() - 1
            }
        };
        let slot = &mut core.slots[index];
        slot.work = Some(Box::pin(work));
        slot.process = process;
        slot.generation += 1;
        let id = TaskId(index, slot.generation);
        let due = core.now_us + delay.as_micros() as u64;
        core.schedule(due, index);
        id
    }

    /// Aborts a task if it is still running.
    pub fn abort(&self, id: TaskId) {
        let mut core = self.core.borrow_mut();
        if core.slots[id.0].generation != id.1 {
            return;
        }
        let work = core.slots[id.0].work.take();
        if work.is_some() {
            core.retire(id.0);
        }
        drop(core);
        drop(work);
    }

    pub fn pause(&self, process: usize) {
        self.core.borrow_mut().processes[process].paused = true;
    }

    /// Resumes a process. Tasks that became due meanwhile run in random order, as threads would.
    pub fn resume(&self, process: usize, rng: &mut impl Rng) {
        let mut core = self.core.borrow_mut();
        core.processes[process].paused = false;
        let now = core.now_us;
        let mut deferred = std::mem::take(&mut core.processes[process].deferred);
        deferred.shuffle(rng);
        for task in deferred {
            core.schedule(now, task);
        }
    }

    pub fn is_paused(&self, process: usize) -> bool {
        self.core.borrow().processes[process].paused
    }

    pub fn is_dead(&self, process: usize) -> bool {
        self.core.borrow().processes[process].dead
    }

    /// Ends a process and drops all its tasks.
    pub fn kill(&self, process: usize) {
        let mut core = self.core.borrow_mut();
        core.processes[process].dead = true;
        let mut ended = Vec::new();
        for index in 0..core.slots.len() {
            if core.slots[index].process == process
                && let Some(work) = core.slots[index].work.take()
            {
                ended.push(work);
                core.retire(index);
            }
        }
        drop(core);
        drop(ended);
    }

    /// Runs the tasks that become due until `end`.
    pub fn run_until(&self, end: Duration) {
        let end = end.as_micros() as u64;
        loop {
            let mut core = self.core.borrow_mut();
            match core.due.peek() {
                Some(Reverse((at, ..))) if *at <= end => {}
                _ => return,
            }
            let Some(Reverse((at, _, task))) = core.due.pop() else { return };
            core.polls = if at > core.now_us { 0 } else { core.polls + 1 };
            assert!(
                core.polls < MAX_POLLS_PER_INSTANT,
                "a task loops without waiting for virtual time to advance"
            );
            core.now_us = core.now_us.max(at);
            let process = core.slots[task].process;
            if core.processes[process].paused {
                core.processes[process].deferred.push(task);
                continue;
            }
            let Some(work) = core.slots[task].work.take() else { continue };
            core.current = task;
            drop(core);
            self.poll(task, process, work);
        }
    }

    /// Drops all tasks, whose references to the simulation would otherwise keep it alive.
    pub fn clear(&self) {
        let slots = std::mem::take(&mut self.core.borrow_mut().slots);
        let work: Vec<_> = slots.into_iter().filter_map(|slot| slot.work).collect();
        self.core.borrow_mut().due.clear();
        CLEARING.set(true);
        drop(work);
        CLEARING.set(false);
    }

    fn poll(&self, task: usize, process: usize, mut work: TaskFuture) {
        let done = work.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_ready();
        let mut core = self.core.borrow_mut();
        if done || core.processes[process].dead {
            core.retire(task);
            drop(core);
            drop(work);
        } else {
            core.slots[task].work = Some(work);
        }
    }

    fn wake(&self, task: usize) {
        let mut core = self.core.borrow_mut();
        let now = core.now_us;
        core.schedule(now, task);
    }

    fn current(&self) -> usize {
        self.core.borrow().current
    }

    pub fn sleep(&self, time: Duration) -> Sleep {
        self.sleep_until(self.now() + time)
    }

    pub fn sleep_until(&self, at: Instant) -> Sleep {
        Sleep { executor: self.clone(), at, armed: false }
    }

    /// Runs `work` until `at`; drops it and returns `None` when it has not finished by then.
    pub async fn within<T>(&self, at: Instant, work: impl Future<Output = T>) -> Option<T> {
        let mut work = pin!(work);
        let mut end = self.sleep_until(at);
        std::future::poll_fn(|cx| {
            if let Poll::Ready(output) = work.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            Pin::new(&mut end).poll(cx).map(|()| None)
        })
        .await
    }
}

thread_local! {
    static CLEARING: Cell<bool> = const { Cell::new(false) };
}

/// Returns whether [`Executor::clear`] is dropping the tasks, so that guards must do nothing.
pub(crate) fn is_clearing() -> bool {
    CLEARING.get()
}

impl Core {
    fn schedule(&mut self, at: u64, task: usize) {
        self.sequence += 1;
        self.due.push(Reverse((at, self.sequence, task)));
    }

    /// Frees the slot of a task that has ended.
    fn retire(&mut self, task: usize) {
        self.slots[task].generation += 1;
        self.free.push(task);
    }
}

/// A future that waits in virtual time.
pub(crate) struct Sleep {
    executor: Executor,
    at: Instant,
    /// Whether the poll at the end of the wait is scheduled.
    armed: bool,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<()> {
        let mut core = self.executor.core.borrow_mut();
        let at = self.at.saturating_duration_since(self.executor.origin).as_micros() as u64;
        // Rounds up to whole microseconds; rounding down could let a task loop at one instant.
        let exact = self.executor.origin + Duration::from_micros(at) >= self.at;
        let at = if exact { at } else { at + 1 };
        if core.now_us >= at {
            return Poll::Ready(());
        }
        if !self.armed {
            let task = core.current;
            core.schedule(at, task);
        }
        drop(core);
        self.armed = true;
        Poll::Pending
    }
}

/// State that a [`Sender`] and its [`Receiver`] share.
struct Shared<T> {
    value: Option<T>,
    closed: bool,
    /// Task that waits for the value.
    waiter: Option<usize>,
}

/// Sends one value; dropping it unsent completes the receiver with `None`.
pub(crate) struct Sender<T> {
    executor: Executor,
    shared: Rc<RefCell<Shared<T>>>,
}

/// Future of the value, or of `None` when the sender was dropped without sending.
pub(crate) struct Receiver<T> {
    executor: Executor,
    shared: Rc<RefCell<Shared<T>>>,
}

pub(crate) fn oneshot<T>(executor: &Executor) -> (Sender<T>, Receiver<T>) {
    let shared = Shared { value: None, closed: false, waiter: None };
    let shared = Rc::new(RefCell::new(shared));
    let sender = Sender { executor: executor.clone(), shared: shared.clone() };
    (sender, Receiver { executor: executor.clone(), shared })
}

impl<T> Sender<T> {
    pub fn send(self, value: T) {
        self.shared.borrow_mut().value = Some(value);
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        if is_clearing() {
            return;
        }
        let mut shared = self.shared.borrow_mut();
        shared.closed = true;
        let waiter = shared.waiter.take();
        drop(shared);
        if let Some(task) = waiter {
            self.executor.wake(task);
        }
    }
}

impl<T> Future for Receiver<T> {
    type Output = Option<T>;

    fn poll(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<T>> {
        let mut shared = self.shared.borrow_mut();
        if let Some(value) = shared.value.take() {
            return Poll::Ready(Some(value));
        }
        if shared.closed {
            return Poll::Ready(None);
        }
        shared.waiter = Some(self.executor.current());
        Poll::Pending
    }
}
