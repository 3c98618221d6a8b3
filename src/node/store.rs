//! The interface through which the control services call the platform's key-value store.

mod http;

use std::future::Future;

use oleandertiller_fleet::{StoreAnswer, StoreCall};

pub use self::http::HttpStore;

/// A client of the store.
pub trait Store: Send + Sync + 'static {
    /// Makes one call. A failure is an answer as well: [`StoreAnswer::NotSent`] when the call
    /// certainly did not reach the store, [`StoreAnswer::Lost`] when it may have.
    fn call(&self, call: &StoreCall) -> impl Future<Output = StoreAnswer> + Send;
}
