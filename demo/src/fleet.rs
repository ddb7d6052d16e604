//! Starts the stand-ins of the platform and the entry processes.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cowslipport_daemon::app::Daemon;
use cowslipport_daemon::app::DaemonConfig;
use cowslipport_daemon::app::PlatformClients;
use cowslipport_daemon::app::StartError;
use cowslipport_daemon::clients::platform::GrpcLog;
use cowslipport_daemon::clients::platform::GrpcVmList;
use cowslipport_daemon::clients::worker::GrpcWorkers;
use cowslipport_lib::settings::Limits;
use cowslipport_standin::fleet::Fleet;
use cowslipport_standin::fleet::FleetSpec;
use cowslipport_standin::fleet::RackSpec;
use cowslipport_standin::serve;
use cowslipport_standin::upstream_model::UpstreamSettings;
use cowslipport_standin::vm_inventory::InventorySettings;
use slog::Logger;

/// Token of operators, also for the command line tool.
pub(crate) const OPERATOR_TOKEN: &str = "demo-operator";

const PEER_TOKEN: &str = "demo-peer";

/// Starts a platform with two data centres. Each has two VMs of pool `web`, two
/// of `batch` and one of `spare`.
pub(crate) async fn start_platform() -> Result<Fleet, serve::Error> {
    let rack = |data_centre: &str, rack: &str, pool: &str, vms: u32| RackSpec {
        data_centre: data_centre.to_owned(),
        rack: rack.to_owned(),
        pool: pool.to_owned(),
        vms,
    };
    let racks = ["dc1", "dc2"]
        .iter()
        .flat_map(|data_centre| {
            [
                rack(data_centre, "r1", "web", 2),
                rack(data_centre, "r2", "batch", 2),
                rack(data_centre, "r3", "spare", 1),
            ]
        })
        .collect();
    let spec = FleetSpec {
        inventory: InventorySettings { lag_ms: 1_000, reboot_ms: 1_500, lists_rebooting: true },
        upstream: Some(UpstreamSettings { service_ms: 20, ..UpstreamSettings::default() }),
        racks,
        ..FleetSpec::default()
    };
    cowslipport_standin::fleet::start(spec).await
}

/// Starts an entry process on free ports.
pub(crate) async fn start_process(
    name: &str,
    data_centre: &str,
    fleet: &Fleet,
    logger: Logger,
) -> Result<Daemon, StartError> {
    let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    let config = DaemonConfig {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        callers: any_port,
        peers: any_port,
        health: any_port,
        seeds: Vec::new(),
        peer_token: PEER_TOKEN.to_owned(),
        operator_token: OPERATOR_TOKEN.to_owned(),
        limits: Limits { shutdown_timeout_ms: 5_000, ..Limits::default() },
    };
    let platform = PlatformClients {
        log: GrpcLog::new(fleet.log.address()),
        vm_list: GrpcVmList::new(fleet.vm_list.address()),
        workers: GrpcWorkers,
    };
    Daemon::start(config, platform, None, logger).await
}
