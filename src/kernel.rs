//! Micro-kernel: starts, names and closes the services of a process.
//!
//! Services look each other up by name while they start, never on the request path.

use std::{any::Any, fmt, future::Future, pin::Pin, sync::Arc};

type Closing = Pin<Box<dyn Future<Output = ()> + Send>>;
type Closer = Box<dyn FnOnce() -> Closing + Send + Sync>;

/// A service that can be closed by the kernel.
pub trait Service: Send + Sync + 'static {
    /// Closes the service after its work in flight has ended.
    fn close(self: Arc<Self>) -> impl Future<Output = ()> + Send;
}

/// Why a service was not found or registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KernelError {
    /// No service has the name.
    NotFound(&'static str),
    /// The service of that name has another type.
    OtherType(&'static str),
    /// The name is taken.
    Duplicate(&'static str),
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound(name) => write!(f, "no service named {name}"),
            Self::OtherType(name) => write!(f, "service {name} has another type"),
            Self::Duplicate(name) => write!(f, "a service named {name} is already registered"),
        }
    }
}

impl std::error::Error for KernelError {}

struct Entry {
    name: &'static str,
    service: Arc<dyn Any + Send + Sync>,
    closer: Closer,
}

/// Services in the order in which they were started.
#[derive(Default)]
pub struct Kernel {
    entries: Vec<Entry>,
}

impl Kernel {
    /// Registers a started service under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`KernelError::Duplicate`] when the name is taken.
    pub fn register<S: Service>(
        &mut self,
        name: &'static str,
        service: Arc<S>,
    ) -> Result<(), KernelError> {
        if self.entries.iter().any(|entry| entry.name == name) {
            return Err(KernelError::Duplicate(name));
        }
        let closing = service.clone();
        let closer: Closer = Box::new(move || Box::pin(closing.close()));
        self.entries.push(Entry { name, service, closer });
        Ok(())
    }

    /// Finds the service registered under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`KernelError`] when there is none or it has another type.
    pub fn find<S: Service>(&self, name: &'static str) -> Result<Arc<S>, KernelError> {
        let entry = self.entries.iter().find(|entry| entry.name == name);
        let entry = entry.ok_or(KernelError::NotFound(name))?;
        entry.service.clone().downcast().map_err(|_| KernelError::OtherType(name))
    }

    /// Closes all services in reverse order of start.
    pub async fn close(self) {
        for entry in self.entries.into_iter().rev() {
            (entry.closer)().await;
        }
    }
}
