//! Conversion of the entities in control records and snapshots between the
//! generated and the validated types.

use std::sync::Arc;

use crate::findings::Findings;
use crate::ids::SessionId;
use crate::ids::VmId;
use crate::protos::control as raw;
use crate::record::Health;
use crate::record::SessionOpen;
use crate::record::VmJoined;
use crate::record::VmObservation;
use crate::record::WavePhase;
use crate::resources::Resources;
use crate::wire::control::missing_field;

impl From<&raw::SessionOpen> for SessionOpen {
    fn from(raw: &raw::SessionOpen) -> Self {
        Self {
            session: SessionId(raw.session),
            name: raw.name.clone(),
            data_centre: raw.data_centre.clone(),
            peer_address: raw.peer_address.clone(),
            lease_ms: raw.lease_ms,
        }
    }
}

impl From<&SessionOpen> for raw::SessionOpen {
    fn from(open: &SessionOpen) -> Self {
        Self {
            session: open.session.0,
            name: open.name.clone(),
            data_centre: open.data_centre.clone(),
            peer_address: open.peer_address.clone(),
            lease_ms: open.lease_ms,
        }
    }
}

impl TryFrom<&raw::VmObservation> for VmObservation {
    type Error = Findings;

    fn try_from(raw: &raw::VmObservation) -> Result<Self, Findings> {
        use raw::vm_observation::Observation;
        Ok(match raw.observation.as_ref().ok_or_else(|| missing_field("observation"))? {
            Observation::Joined(joined) => Self::Joined(Arc::new(joined.into())),
            Observation::Health(health) => {
                Self::Health { vm: VmId(health.vm), health: health.health().try_into()? }
            }
            Observation::Left(left) => Self::Left { vm: VmId(left.vm) },
        })
    }
}

impl From<&VmObservation> for raw::VmObservation {
    fn from(observation: &VmObservation) -> Self {
        use raw::vm_observation::Observation;
        let observation = match observation {
            VmObservation::Joined(joined) => Observation::Joined((&**joined).into()),
            VmObservation::Health { vm, health } => Observation::Health(raw::VmHealth {
                vm: vm.0,
                health: raw::Health::from(*health).into(),
            }),
            VmObservation::Left { vm } => Observation::Left(raw::VmLeft { vm: vm.0 }),
        };
        Self { observation: Some(observation) }
    }
}

impl From<&raw::VmJoined> for VmJoined {
    fn from(raw: &raw::VmJoined) -> Self {
        Self {
            name: raw.name.clone(),
            data_centre: raw.data_centre.clone(),
            rack: raw.rack.clone(),
            pool: raw.pool.clone(),
            worker_address: raw.worker_address.clone(),
            upstream_address: raw.upstream_address.clone(),
            capacity: raw.capacity.unwrap_or_default().into(),
        }
    }
}

impl From<&VmJoined> for raw::VmJoined {
    fn from(joined: &VmJoined) -> Self {
        Self {
            name: joined.name.clone(),
            data_centre: joined.data_centre.clone(),
            rack: joined.rack.clone(),
            pool: joined.pool.clone(),
            worker_address: joined.worker_address.clone(),
            upstream_address: joined.upstream_address.clone(),
            capacity: Some(joined.capacity.into()),
        }
    }
}

impl TryFrom<raw::Health> for Health {
    type Error = Findings;

    fn try_from(raw: raw::Health) -> Result<Self, Findings> {
        match raw {
            raw::Health::Unspecified => Err(missing_field("health")),
            raw::Health::Up => Ok(Self::Up),
            raw::Health::Down => Ok(Self::Down),
            raw::Health::Unknown => Ok(Self::Unknown),
            raw::Health::Leaving => Ok(Self::Leaving),
        }
    }
}

impl From<Health> for raw::Health {
    fn from(health: Health) -> Self {
        match health {
            Health::Up => Self::Up,
            Health::Down => Self::Down,
            Health::Unknown => Self::Unknown,
            Health::Leaving => Self::Leaving,
        }
    }
}

impl TryFrom<raw::WavePhase> for WavePhase {
    type Error = Findings;

    fn try_from(raw: raw::WavePhase) -> Result<Self, Findings> {
        match raw {
            raw::WavePhase::Unspecified => Err(missing_field("phase")),
            raw::WavePhase::Running => Ok(Self::Running),
            raw::WavePhase::Halted => Ok(Self::Halted),
            raw::WavePhase::Finished => Ok(Self::Finished),
        }
    }
}

impl From<WavePhase> for raw::WavePhase {
    fn from(phase: WavePhase) -> Self {
        match phase {
            WavePhase::Running => Self::Running,
            WavePhase::Halted => Self::Halted,
            WavePhase::Finished => Self::Finished,
        }
    }
}

impl From<raw::Resources> for Resources {
    fn from(raw: raw::Resources) -> Self {
        Self {
            cpu_milli: raw.cpu_milli,
            memory_bytes: raw.memory_bytes,
            accelerators: raw.accelerators,
        }
    }
}

impl From<Resources> for raw::Resources {
    fn from(resources: Resources) -> Self {
        Self {
            cpu_milli: resources.cpu_milli,
            memory_bytes: resources.memory_bytes,
            accelerators: resources.accelerators,
        }
    }
}
