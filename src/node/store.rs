//! The platform's key-value store, as the control services call it.

mod http;

use std::future::Future;

use oleandertiller_fleet::{StoreAnswer, StoreCall};

pub use self::http::HttpStore;

/// Executes calls to the store.
pub trait Store: Send + Sync + 'static {
    /// Makes one call. Every failure is an answer: [`StoreAnswer::NotSent`] only when the call
    /// certainly did not reach the store, [`StoreAnswer::Lost`] otherwise.
    fn call(&self, call: &StoreCall) -> impl Future<Output = StoreAnswer> + Send;
}
