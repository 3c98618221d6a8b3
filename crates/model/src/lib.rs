//! Domain types, error kinds and messages shared by the oleandertiller crates.

pub mod clock;
pub mod codec;
pub mod error;
pub mod intent;
pub mod key;
pub mod kind;
pub mod load;
pub mod message;
pub mod name;
pub mod request;

pub use clock::{Clock, ManualClock, SystemClock};
pub use error::{Answer, ErrorKind, Outcome};
pub use intent::{Action, Change, Intent, Revision};
pub use key::IdempotencyKey;
pub use kind::{KindSpec, Safety, ServiceSpec};
pub use load::{Lifecycle, LoadReport};
pub use name::{KindName, NodeName, RegionName, ServiceName, VersionName, ZoneName};
pub use request::RequestId;
