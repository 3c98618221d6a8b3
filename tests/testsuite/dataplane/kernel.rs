//! Lookup and closing order of services in the kernel.

use std::sync::{Arc, Mutex};

use async_std::task::block_on;
use oleandertiller::kernel::{Kernel, KernelError, Service};

type Log = Arc<Mutex<Vec<&'static str>>>;

struct Named(&'static str, Log);
struct Other;

impl Service for Named {
    async fn close(self: Arc<Self>) {
        self.1.lock().unwrap().push(self.0);
    }
}

impl Service for Other {
    async fn close(self: Arc<Self>) {}
}

/// Guards against services that are closed before those that use them.
#[test]
fn services_close_in_reverse_order() {
    let log = Log::default();
    let mut kernel = Kernel::default();
    for name in ["store", "owner", "ingress"] {
        kernel.register(name, Arc::new(Named(name, log.clone()))).unwrap();
    }
    block_on(kernel.close());
    assert_eq!(*log.lock().unwrap(), ["ingress", "owner", "store"]);
}

/// Guards against a service that is found under another's name or type.
#[test]
fn services_are_found_by_name_and_type() {
    let mut kernel = Kernel::default();
    kernel.register("owner", Arc::new(Named("owner", Log::default()))).unwrap();
    assert_eq!(kernel.find::<Named>("owner").map(|found| found.0), Ok("owner"));
    assert_eq!(kernel.find::<Named>("store").map(|_| ()), Err(KernelError::NotFound("store")));
    assert_eq!(kernel.find::<Other>("owner").map(|_| ()), Err(KernelError::OtherType("owner")));
    let again = kernel.register("owner", Arc::new(Other));
    assert_eq!(again, Err(KernelError::Duplicate("owner")));
}
