//! Applies membership records to the control state and assigns partitions to
//! their owners.

use std::collections::BTreeMap;

use crate::control::ControlState;
use crate::control::Ownership;
use crate::control::Session;
use crate::fold::ControlChange;
use crate::fold::VoidReason;
use crate::fold::missing;
use crate::ids::Epoch;
use crate::ids::Offset;
use crate::ids::PartitionId;
use crate::ids::RegionId;
use crate::ids::SessionId;
use crate::record::SessionOpen;
use crate::rendezvous;

/// Whether a session confirmed, when it ended, that neither it nor an earlier
/// owner of its partitions can still start work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Release {
    /// The session confirmed it.
    Complete,
    /// There is no confirmation.
    Unknown,
}

impl ControlState {
    pub(crate) fn open_session(
        &mut self,
        offset: Offset,
        open: &SessionOpen,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        if self.sessions.contains_key(&open.session) {
            return Err(VoidReason::SessionExists(open.session));
        }
        // A session of the same name belongs to an earlier incarnation of the
        // process, which can no longer start work.
        let mut changes = Vec::new();
        let mut sessions = self.sessions.iter();
        let former = sessions.find(|(_, session)| session.open.name == open.name);
        if let Some(former) = former.map(|(id, _)| *id) {
            changes.extend(self.end_session(offset, former, Release::Unknown)?);
        }
        if !self.membership_confirmed() {
            let pending = VoidReason::MembershipPending(self.quorum_epoch);
            return if changes.is_empty() { Err(pending) } else { Ok(changes) };
        }
        let next_offset = Offset(0);
        let session = Session { open: open.clone(), renewal: 0, next_offset, opened_at: offset };
        self.sessions.insert(open.session, session);
        self.membership_epoch = offset;
        self.quorum_epoch = offset;
        changes.push(ControlChange::Session(open.session));
        changes.extend(self.assign_partitions(offset, Release::Unknown));
        Ok(changes)
    }

    pub(crate) fn renew_session(
        &mut self,
        id: SessionId,
        renewal: u64,
        next_offset: Offset,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        let session =
            self.sessions.get_mut(&id).ok_or_else(|| missing("session", &id.to_string()))?;
        session.renewal = session.renewal.max(renewal);
        session.next_offset = session.next_offset.max(next_offset);
        Ok(vec![ControlChange::Session(id)])
    }

    pub(crate) fn expire_session(
        &mut self,
        offset: Offset,
        id: SessionId,
        seen_renewal: u64,
        vm_gone: bool,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        match self.sessions.get(&id) {
            Some(session) if session.renewal == seen_renewal => {}
            Some(_) | None => return Err(VoidReason::SessionNotExpired(id)),
        }
        if !vm_gone {
            if !self.membership_confirmed() {
                return Err(VoidReason::MembershipPending(self.quorum_epoch));
            }
            self.quorum_epoch = offset;
        }
        self.end_session(offset, id, Release::Unknown)
    }

    pub(crate) fn end_session(
        &mut self,
        offset: Offset,
        id: SessionId,
        release: Release,
    ) -> Result<Vec<ControlChange>, VoidReason> {
        self.sessions.remove(&id).ok_or_else(|| missing("session", &id.to_string()))?;
        self.membership_epoch = offset;
        let mut changes = vec![ControlChange::Session(id)];
        changes.extend(self.assign_partitions(offset, release));
        Ok(changes)
    }

    /// Assigns each partition to a session by rendezvous hashing over the
    /// sessions of its region, or over all sessions if the region has none.
    pub(crate) fn assign_partitions(
        &mut self,
        offset: Offset,
        release: Release,
    ) -> Vec<ControlChange> {
        let mut changes = Vec::new();
        let members = self.members_by_region();
        for partition in self.all_partitions() {
            let local = members.get(&partition.region).map_or(&[][..], Vec::as_slice);
            let winner = self.partition_winner(partition, local);
            let current = self.owners.get(&partition).copied();
            if current.is_some_and(|ownership| ownership.owner == winner) {
                continue;
            }
            let no_owner_before = current.is_none_or(|ownership| ownership.owner.is_none());
            // A partition that has no owner at present stays released or
            // unreleased as its last owner left it.
            let released = match current {
                Some(ownership) if no_owner_before => ownership.released,
                Some(ownership) => {
                    release == Release::Complete
                        && !ownership.owner.is_some_and(|owner| self.sessions.contains_key(&owner))
                }
                None => true,
            };
            let epoch = Epoch(offset.0);
            self.owners.insert(partition, Ownership { owner: winner, epoch, released });
            changes.push(ControlChange::Partition(partition));
        }
        changes
    }

    fn all_partitions(&self) -> Vec<PartitionId> {
        let mut partitions = Vec::new();
        for (pool, _) in self.pools.iter() {
            for (region, _) in self.regions.iter() {
                partitions.push(PartitionId { pool, region });
            }
        }
        partitions
    }

    /// Groups the members by the region of their data centre, once for all
    /// partitions.
    fn members_by_region(&self) -> BTreeMap<RegionId, Vec<SessionId>> {
        let mut members: BTreeMap<RegionId, Vec<SessionId>> = BTreeMap::new();
        for (id, session) in &self.sessions {
            let data_centre = self.data_centre_by_name(&session.open.data_centre);
            if let Some(data_centre) = data_centre.and_then(|id| self.data_centres.get(id)) {
                members.entry(data_centre.region).or_default().push(*id);
            }
        }
        members
    }

    fn partition_winner(&self, partition: PartitionId, local: &[SessionId]) -> Option<SessionId> {
        let key = (u64::from(partition.pool.0) << 32) | u64::from(partition.region.0);
        rendezvous::winner(key, local.iter().copied())
            .or_else(|| rendezvous::winner(key, self.sessions.keys().copied()))
    }
}
