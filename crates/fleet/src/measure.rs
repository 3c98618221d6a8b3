//! Measurement of how the cost of membership and agreement grows with the size of the fleet.

pub mod network;

use oleandertiller_model::{
    NodeName, Revision,
    codec::{self, PROTOCOL_VERSION},
};

use crate::{
    datagram::{Body, Datagram},
    measure::network::Traffic,
    membership::ViewChange,
    record::MemberState,
};

impl Traffic {
    fn note(&mut self, change: &ViewChange) {
        self.changes += 1;
        if let ViewChange::Updated(record) = change {
            self.failures += u64::from(record.state == MemberState::Failed);
        }
    }
}

/// Returns the answer of a member that is only a record, so that few full nodes can be measured
/// in a fleet of many.
fn phantom_answer(name: &NodeName, bytes: &[u8]) -> Option<Vec<u8>> {
    let question = Datagram::decode(bytes).ok()?;
    let Body::Ping { sequence } = question.body else { return None };
    let answer = Datagram {
        protocol: PROTOCOL_VERSION,
        from: name.clone(),
        revision: Revision(0),
        confirmed: None,
        fresh: true,
        body: Body::Ack { sequence, indirect: false },
        changes: Vec::new(),
        rumours: Vec::new(),
    };
    Some(codec::encode(&answer))
}
