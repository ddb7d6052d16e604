//! Messages between the owner of a listener, its connections and their requests.
//!
//! The mailboxes have no capacity of their own: a connection has at most one request
//! and one question under way, so the number of connections bounds what they hold.

use cowslipport_lib::intake::ConnectionKey;
use cowslipport_lib::intake::framing::BodyLength;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// What a connection tells the owner.
pub(super) enum Event {
    /// A whole head has arrived. A request with a body can be refused until its body is
    /// whole, and the connection of any can be closed after its answer.
    Began { key: ConnectionKey, refuse: Option<oneshot::Sender<()>>, leave: oneshot::Sender<()> },
    /// A whole body has arrived.
    BodyWhole { key: ConnectionKey },
    /// The request was answered.
    Ended { key: ConnectionKey },
    /// The connection has received this many bytes since it last asked, and may hold no
    /// more.
    Asks { key: ConnectionKey, received_bytes: u64 },
    /// The connection has ended.
    Closed { key: ConnectionKey },
}

/// What a stream is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamOrder {
    /// A whole head has arrived.
    Began { body: BodyLength },
    /// A whole body has arrived.
    BodyWhole,
    /// The request was answered. If `closes`, the connection takes no further request.
    Ended { closes: bool },
    /// The connection may hold this many bytes more.
    Granted { bytes: u64 },
}

/// How the requests of a connection reach its stream and the owner.
#[derive(Clone)]
pub(super) struct ConnectionHandle {
    pub(super) key: ConnectionKey,
    pub(super) events: mpsc::UnboundedSender<Event>,
    pub(super) orders: mpsc::UnboundedSender<StreamOrder>,
}

impl ConnectionHandle {
    pub(super) fn tell_owner(&self, event: Event) {
        // The owner outlives its connections, except when the process ends.
        let _ = self.events.send(event);
    }

    pub(super) fn tell_stream(&self, order: StreamOrder) {
        // The stream is gone if the caller has disconnected.
        let _ = self.orders.send(order);
    }
}
