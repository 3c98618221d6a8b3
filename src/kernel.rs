//! Micro-kernel: the registry of a process's services, which also closes them.
//!
//! Services look each other up by name while they start, never on the request path.

use std::{any::Any, fmt, future::Future, pin::Pin, sync::Arc};

type CloseFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
type CloseFn = Box<dyn FnOnce() -> CloseFuture + Send + Sync>;

/// A service that can be closed by the kernel.
pub trait Service: Send + Sync + 'static {
    /// Closes the service after its work in flight has ended.
    fn close(self: Arc<Self>) -> impl Future<Output = ()> + Send;
}

/// Why a service could not be registered or found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KernelError {
    /// No service has the name.
    NotFound(&'static str),
    /// The service with the name is not of the requested type.
    OtherType(&'static str),
    /// A service with the name is already registered.
    Duplicate(&'static str),
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound(name) => write!(f, "no service named {name}"),
            Self::OtherType(name) => write!(f, "service {name} is not of the requested type"),
            Self::Duplicate(name) => write!(f, "a service named {name} is already registered"),
        }
    }
}

impl std::error::Error for KernelError {}

struct Entry {
    name: &'static str,
    service: Arc<dyn Any + Send + Sync>,
    close_fn: CloseFn,
}

/// Registry of the services of a process, in the order of their start.
#[derive(Default)]
pub struct Kernel {
    entries: Vec<Entry>,
}

impl Kernel {
    /// Registers a started service under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`KernelError::Duplicate`] when a service with the name is already registered.
    pub fn register<S: Service>(
        &mut self,
        name: &'static str,
        service: Arc<S>,
    ) -> Result<(), KernelError> {
        if self.entries.iter().any(|entry| entry.name == name) {
            return Err(KernelError::Duplicate(name));
        }
        let to_close = service.clone();
        let close_fn: CloseFn = Box::new(move || Box::pin(to_close.close()));
        self.entries.push(Entry { name, service, close_fn });
        Ok(())
    }

    /// Finds the service registered under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`KernelError::NotFound`] when there is none, and [`KernelError::OtherType`] when it
    /// is not an `S`.
    pub fn find<S: Service>(&self, name: &'static str) -> Result<Arc<S>, KernelError> {
        let entry = self.entries.iter().find(|entry| entry.name == name);
        let entry = entry.ok_or(KernelError::NotFound(name))?;
        entry.service.clone().downcast().map_err(|_| KernelError::OtherType(name))
    }

    /// Closes all services in the reverse order of their start.
    pub async fn close(self) {
        for entry in self.entries.into_iter().rev() {
            (entry.close_fn)().await;
        }
    }
}
