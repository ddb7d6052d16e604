//! Tests that the VM list shows changes after its lag, and that a reboot takes
//! effect once.

use cowslipport_lib::record::VmJoined;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;
use cowslipport_standin::vm_inventory::InventorySettings;
use cowslipport_standin::vm_inventory::RebootError;
use cowslipport_standin::vm_inventory::RebootOutcome;
use cowslipport_standin::vm_inventory::VmInventory;
use cowslipport_standin::vm_inventory::VmListFaults;

const SETTINGS: InventorySettings =
    InventorySettings { lag_ms: 2000, reboot_ms: 3000, lists_rebooting: true };

fn vm(name: &str) -> VmJoined {
    VmJoined {
        name: name.to_owned(),
        data_centre: "dc1".to_owned(),
        rack: "r1".to_owned(),
        pool: "p1".to_owned(),
        worker_address: "127.0.0.1:1".to_owned(),
        upstream_address: String::new(),
        capacity: Resources::ZERO,
    }
}

/// Guards against a list that shows changes at once, with which tests could not
/// reproduce the races that the lag of the platform causes.
#[test]
fn list_shows_changes_after_its_lag() {
    let mut inventory = VmInventory::new(SETTINGS);
    inventory.add(TimeMs(0), vm("a"));
    inventory.set_leaving(TimeMs(1000), "a", true);
    inventory.remove(TimeMs(1500), "a");
    let mut leaving_marks = |now| {
        let list = inventory.list(TimeMs(now));
        list.iter().map(|entry| entry.leaving).collect::<Vec<_>>()
    };
    assert_eq!(leaving_marks(1999), []);
    assert_eq!(leaving_marks(2000), [false]);
    assert_eq!(leaving_marks(3000), [true]);
    assert_eq!(leaving_marks(3500), []);
}

/// Guards against a retried reboot request that reboots the VM a second time.
#[test]
fn reboot_token_takes_effect_once() {
    let mut inventory = VmInventory::new(SETTINGS);
    inventory.add(TimeMs(0), vm("a"));
    inventory.add(TimeMs(0), vm("b"));
    assert_eq!(inventory.reboot(TimeMs(0), "a", "t1"), Ok(RebootOutcome::Started));
    assert_eq!(inventory.next_event(), Some(TimeMs(3000)));
    assert_eq!(inventory.reboot(TimeMs(2000), "a", "t1"), Ok(RebootOutcome::Repeated));
    let other = inventory.reboot(TimeMs(2000), "b", "t1");
    assert_eq!(other, Err(RebootError::TokenReused("a".to_owned())));
    assert_eq!(inventory.advance(TimeMs(3000)), ["a"]);
    assert_eq!(inventory.reboot(TimeMs(9000), "a", "t1"), Ok(RebootOutcome::Repeated));
    assert_eq!((inventory.next_event(), inventory.reboots()), (None, 1));
}

/// Guards against a VM that restarts although its reboot is to fail, and
/// against more failed reboots than the fault asks for.
#[test]
fn failed_reboot_never_ends() {
    let mut inventory = VmInventory::new(SETTINGS);
    inventory.set_faults(VmListFaults { failed_reboots: 1, ..VmListFaults::default() });
    inventory.add(TimeMs(0), vm("a"));
    inventory.add(TimeMs(0), vm("b"));
    inventory.reboot(TimeMs(0), "a", "t1").expect("the VM exists");
    inventory.reboot(TimeMs(0), "b", "t2").expect("the VM exists");
    assert_eq!(inventory.advance(TimeMs(600_000)), ["b"]);
}
