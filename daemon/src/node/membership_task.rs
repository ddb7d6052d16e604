//! The task that keeps this node in the group while the node is a candidate for
//! ownership. The store chooses the owner among the members of the group.

use cowslipport_lib::time::TimeMs;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::node::messages::CoreMessage;
use crate::node::platform::Store;
use crate::node::settings::JOIN_INTERVAL;
use crate::node::settings::MEMBERS_INTERVAL_MS;

/// Keeps a node in the group.
pub(crate) struct MembershipTask<S> {
    pub(crate) store: S,
    pub(crate) member: String,
    pub(crate) ttl_ms: u64,
    pub(crate) clock: Clock,
    pub(crate) core: mpsc::Sender<CoreMessage>,
    /// Whether the node is a candidate for ownership.
    pub(crate) is_candidate: watch::Receiver<bool>,
    pub(crate) logger: Logger,
}

/// State of the node's membership.
#[derive(Clone, Copy, Debug, Default)]
struct Membership {
    generation: u64,
    is_member: bool,
    is_failing: bool,
    members_read_at: Option<TimeMs>,
}

/// The core has ended.
struct CoreEnded;

impl<S> MembershipTask<S>
where
    S: Store,
{
    /// Renews the membership while the node is a candidate. Ends with the core.
    pub(crate) async fn run(mut self) {
        let mut membership = Membership::default();
        loop {
            let next_call = Instant::now() + JOIN_INTERVAL;
            let is_candidate = *self.is_candidate.borrow_and_update();
            let done = match (is_candidate, membership.is_member) {
                (true, _) => self.join(&mut membership).await,
                (false, true) => self.leave(&mut membership).await,
                (false, false) => match self.is_candidate.changed().await {
                    Ok(()) => continue,
                    Err(_) => return,
                },
            };
            if done.is_err() {
                return;
            }
            // A call without an answer is followed by the next one at once.
            tokio::select! {
                () = sleep_until(next_call) => {}
                changed = self.is_candidate.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    async fn join(&mut self, membership: &mut Membership) -> Result<(), CoreEnded> {
        let sent_at = self.clock.now();
        // The node may become a member even if no answer arrives.
        membership.is_member = true;
        match self.store.join(&self.member, membership.generation, self.ttl_ms).await {
            Ok(answer) => {
                membership.generation = answer.generation;
                if std::mem::take(&mut membership.is_failing) {
                    info!(self.logger, "joined the group again"; "generation" => answer.generation);
                }
                self.send(CoreMessage::Joined { sent_at, answer }).await?;
                if answer.is_owner {
                    self.read_members(membership, sent_at).await?;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut membership.is_failing, true) {
                    warn!(self.logger, "joining the group failed; retrying"; "error" => %error);
                }
            }
        }
        Ok(())
    }

    /// Reads the other candidates: the owner steps down for a larger node.
    async fn read_members(
        &mut self,
        membership: &mut Membership,
        now: TimeMs,
    ) -> Result<(), CoreEnded> {
        let read_at = membership.members_read_at;
        if read_at.is_some_and(|read_at| now.since(read_at) < MEMBERS_INTERVAL_MS) {
            return Ok(());
        }
        membership.members_read_at = Some(now);
        match self.store.members().await {
            Ok(members) => self.send(CoreMessage::Members { members }).await,
            Err(error) => {
                warn!(self.logger, "reading the members of the group failed"; "error" => %error);
                Ok(())
            }
        }
    }

    async fn leave(&mut self, membership: &mut Membership) -> Result<(), CoreEnded> {
        match self.store.leave(&self.member).await {
            Ok(()) => {
                membership.is_member = false;
                info!(self.logger, "left the group"; "reason" => "the node is not a candidate");
                self.send(CoreMessage::LeftGroup).await
            }
            Err(error) => {
                warn!(self.logger, "leaving the group failed"; "error" => %error);
                Ok(())
            }
        }
    }

    async fn send(&self, message: CoreMessage) -> Result<(), CoreEnded> {
        self.core.send(message).await.map_err(|_| CoreEnded)
    }
}

/// Leaves the group, so that another node becomes the owner at once.
pub(crate) async fn leave<S>(mut store: S, member: &str, logger: &Logger)
where
    S: Store,
{
    match store.leave(member).await {
        Ok(()) => info!(logger, "left the group"; "reason" => "the process is shutting down"),
        // Another node becomes the owner once the time to live is over.
        Err(error) => warn!(logger, "leaving the group failed"; "error" => %error),
    }
}
