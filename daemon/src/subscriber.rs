//! The tasks to which the control task sends the control feed.

use cowslipport_lib::ids::Offset;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::time::TimeMs;
use tokio::sync::mpsc;

use crate::tasks::fleet::FleetMessage;
use crate::tasks::jobs::JobsMessage;
use crate::tasks::maintenance::MaintenanceMessage;
use crate::tasks::peer::PeerMessage;
use crate::tasks::placement::PlacementMessage;
use crate::tasks::router::RouterMessage;
use crate::tasks::witness::WitnessMessage;

/// Whether the last read of the log succeeded.
#[derive(Clone, Debug)]
pub(crate) enum LogStatus {
    /// The log service answered the read.
    Reachable {
        /// When the read was sent.
        sent_at: TimeMs,
        /// Offset that the next append will get.
        head: Offset,
    },
    /// The read failed.
    Unreachable {
        /// Why the read failed.
        reason: String,
    },
}

/// A task that receives the control feed.
pub(crate) enum Subscriber {
    /// The peer task, which also receives the status of the log.
    Peer(mpsc::Sender<PeerMessage>),
    /// The router task.
    Router(mpsc::Sender<RouterMessage>),
    /// The fleet task.
    Fleet(mpsc::Sender<FleetMessage>),
    /// The maintenance task.
    Maintenance(mpsc::Sender<MaintenanceMessage>),
    /// The placement task.
    Placement(mpsc::Sender<PlacementMessage>),
    /// The task for job calls.
    Jobs(mpsc::Sender<JobsMessage>),
    /// The witness task.
    Witness(mpsc::Sender<WitnessMessage>),
}

impl Subscriber {
    /// Sends a feed. A closed mailbox means that the process is shutting down.
    pub(crate) async fn send_feed(&self, feed: &ControlFeed) {
        let feed = feed.clone();
        let _ = match self {
            Self::Peer(sender) => sender.send(PeerMessage::Control(feed)).await.is_ok(),
            Self::Router(sender) => sender.send(RouterMessage::Control(feed)).await.is_ok(),
            Self::Fleet(sender) => sender.send(FleetMessage::Control(feed)).await.is_ok(),
            Self::Maintenance(sender) => {
                sender.send(MaintenanceMessage::Control(feed)).await.is_ok()
            }
            Self::Placement(sender) => sender.send(PlacementMessage::Control(feed)).await.is_ok(),
            Self::Jobs(sender) => sender.send(JobsMessage::Control(feed)).await.is_ok(),
            Self::Witness(sender) => sender.send(WitnessMessage::Control(feed)).await.is_ok(),
        };
    }

    /// Sends the status of the log to the peer task, which tracks how fresh the
    /// view is.
    pub(crate) async fn send_log_status(&self, status: &LogStatus) {
        match self {
            Self::Peer(sender) => {
                let _ = sender.send(PeerMessage::LogStatus(status.clone())).await;
            }
            Self::Router(_)
            | Self::Fleet(_)
            | Self::Maintenance(_)
            | Self::Placement(_)
            | Self::Jobs(_)
            | Self::Witness(_) => {}
        }
    }
}
