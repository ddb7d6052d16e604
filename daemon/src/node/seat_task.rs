//! The task that keeps this node in the group, from which the store chooses
//! the owner, while the node stands for the seat.

use cowslipport_lib::time::TimeMs;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::node::messages::CoreMessage;
use crate::node::platform::Store;
use crate::node::settings::JOIN_PAUSE;
use crate::node::settings::MEMBERS_INTERVAL_MS;

/// Keeps a node in the group.
pub(crate) struct SeatTask<S> {
    pub(crate) store: S,
    pub(crate) member: String,
    pub(crate) ttl_ms: u64,
    pub(crate) clock: Clock,
    pub(crate) core: mpsc::Sender<CoreMessage>,
    /// Whether the node stands for the seat.
    pub(crate) stands: watch::Receiver<bool>,
    pub(crate) logger: Logger,
}

/// How far the node is in the group.
#[derive(Clone, Copy, Debug, Default)]
struct Membership {
    generation: u64,
    is_member: bool,
    is_away: bool,
    members_asked_at: Option<TimeMs>,
}

/// The core has ended.
struct CoreGone;

impl<S> SeatTask<S>
where
    S: Store,
{
    /// Joins again and again while the node stands, until the core ends.
    pub(crate) async fn run(mut self) {
        let mut membership = Membership::default();
        loop {
            let stands = *self.stands.borrow_and_update();
            let done = match (stands, membership.is_member) {
                (true, _) => self.join(&mut membership).await,
                (false, true) => self.step_back(&mut membership).await,
                (false, false) => match self.stands.changed().await {
                    Ok(()) => continue,
                    Err(_) => return,
                },
            };
            if done.is_err() {
                return;
            }
            sleep(JOIN_PAUSE).await;
        }
    }

    async fn join(&mut self, membership: &mut Membership) -> Result<(), CoreGone> {
        let sent_at = self.clock.now();
        // The call may take effect without an answer.
        membership.is_member = true;
        match self.store.join(&self.member, membership.generation, self.ttl_ms).await {
            Ok(answer) => {
                membership.generation = answer.generation;
                if std::mem::take(&mut membership.is_away) {
                    info!(self.logger, "group is back"; "generation" => answer.generation);
                }
                self.tell(CoreMessage::Seat { sent_at, answer }).await?;
                if answer.is_owner {
                    self.look_at_members(membership, sent_at).await?;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut membership.is_away, true) {
                    warn!(self.logger, "group is lost"; "error" => %error);
                }
            }
        }
        Ok(())
    }

    /// Looks at who else stands, since a larger node may.
    async fn look_at_members(
        &mut self,
        membership: &mut Membership,
        now: TimeMs,
    ) -> Result<(), CoreGone> {
        let asked_at = membership.members_asked_at;
        if asked_at.is_some_and(|asked_at| now.since(asked_at) < MEMBERS_INTERVAL_MS) {
            return Ok(());
        }
        membership.members_asked_at = Some(now);
        match self.store.members().await {
            Ok(members) => self.tell(CoreMessage::Members { members }).await,
            Err(error) => {
                warn!(self.logger, "members of the group are not known"; "error" => %error);
                Ok(())
            }
        }
    }

    async fn step_back(&mut self, membership: &mut Membership) -> Result<(), CoreGone> {
        match self.store.leave(&self.member).await {
            Ok(()) => {
                membership.is_member = false;
                info!(self.logger, "left the group"; "reason" => "a larger node stands");
                self.tell(CoreMessage::SeatLeft).await
            }
            Err(error) => {
                warn!(self.logger, "could not leave the group"; "error" => %error);
                Ok(())
            }
        }
    }

    async fn tell(&self, message: CoreMessage) -> Result<(), CoreGone> {
        self.core.send(message).await.map_err(|_| CoreGone)
    }
}

/// Takes a node out of the group, so that another gets the seat at once.
pub(crate) async fn leave<S>(mut store: S, member: &str, logger: &Logger)
where
    S: Store,
{
    match store.leave(member).await {
        Ok(()) => info!(logger, "left the group"; "reason" => "the process stops"),
        // The seat passes on once the time to live is over.
        Err(error) => warn!(logger, "could not leave the group"; "error" => %error),
    }
}
