//! Tests that the stand-ins work together as one platform.

use std::time::Duration;

use cowslipport_lib::protos::platform::ListRequest;
use cowslipport_lib::protos::platform::PollRequest;
use cowslipport_lib::protos::platform::RebootRequest;
use cowslipport_lib::protos::platform::StartRequest;
use cowslipport_lib::protos::platform::StartResult;
use cowslipport_lib::protos::platform::vm_list_client::VmListClient;
use cowslipport_lib::protos::platform::worker_client::WorkerClient;
use cowslipport_standin::fleet;
use cowslipport_standin::fleet::FleetSpec;
use cowslipport_standin::fleet::RackSpec;
use cowslipport_standin::upstream_model::UpstreamSettings;
use cowslipport_standin::vm_inventory::InventorySettings;

fn rack(data_centre: &str, pool: &str) -> RackSpec {
    RackSpec {
        data_centre: data_centre.to_owned(),
        rack: "r1".to_owned(),
        pool: pool.to_owned(),
        vms: 2,
    }
}

fn start(epoch: u64, ticket: u64) -> StartRequest {
    StartRequest {
        epoch,
        ticket,
        task: "job-1".to_owned(),
        organisation: 1,
        request: None,
        payload: "run_ms=60000 cpu_milli=1000".to_owned(),
        lease_ms: 30_000,
    }
}

/// Guards against a reboot that leaves tasks running or changes the addresses
/// of the VM, and against a start request sent before the reboot that takes
/// effect after it.
#[actix_rt::test]
async fn reboot_ends_tasks_and_keeps_addresses() {
    let spec = FleetSpec {
        inventory: InventorySettings { lag_ms: 0, reboot_ms: 50, lists_rebooting: true },
        upstream: Some(UpstreamSettings::default()),
        racks: vec![rack("dc1", "p1"), rack("dc2", "p2")],
        ..FleetSpec::default()
    };
    let fleet = fleet::start(spec).await.expect("the fleet starts");
    let list = VmListClient::connect(format!("http://{}", fleet.vm_list.address()));
    let mut list = list.await.expect("the list accepts connections");
    let vms = list.list(ListRequest {}).await.expect("the list is up").into_inner().vms;
    let vm = vms[0].vm.clone().expect("an entry has a VM");
    assert_eq!((vms.len(), vm.name.as_str()), (4, "dc1-r1-p1-0"));

    let worker_address = format!("http://{}", vm.worker_address);
    let mut worker = WorkerClient::connect(worker_address.clone())
        .await
        .expect("the worker accepts connections");
    let poll = PollRequest { epoch: 1, renew_ms: 30_000, acknowledged: Vec::new() };
    let ticket = worker.poll(poll.clone()).await.expect("the worker is up").into_inner().ticket;
    let started = worker.start(start(1, ticket)).await.expect("the worker is up").into_inner();
    assert_eq!(started.result(), StartResult::Started);

    let reboot = RebootRequest { vm: vm.name.clone(), token: "t1".to_owned() };
    for _ in 0..2 {
        list.reboot(reboot.clone()).await.expect("the VM exists");
    }
    tokio::time::pause();
    tokio::time::sleep(Duration::from_millis(51)).await;
    tokio::time::resume();
    assert!(fleet.mailboxes(&vm.name).await.is_some(), "the VM has restarted");

    let mut worker =
        WorkerClient::connect(worker_address).await.expect("the worker has kept its address");
    let reply = worker.poll(poll).await.expect("the worker is up").into_inner();
    assert_eq!(reply.tasks, Vec::new());
    let late = worker.start(start(1, ticket)).await.expect("the worker is up").into_inner();
    assert_eq!(late.result(), StartResult::OldTicket);
    let summary = fleet.summary().await;
    assert_eq!((summary.interrupted_tasks, summary.interrupted_requests), (1, 0));
    fleet.shutdown().await;
}
