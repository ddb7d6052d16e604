//! A manifest or settings file with faults is rejected, and each fault is
//! reported at its line.

use cowslipport_lib::config::Manifest;
use cowslipport_lib::settings::Settings;

fn manifest_findings(text: &str) -> String {
    Manifest::from_toml(text).expect_err("the text has faults").to_string()
}

fn settings_findings(text: &str) -> String {
    Settings::from_toml(text).expect_err("the text has faults").to_string()
}

const VALID: &str = r#"
[[data_centre]]
name = "dc1"
region = "south"

[[pool]]
name = "web"
slots_per_vm = 8
max_vms = 10

[[organisation]]
name = "payroll"
share_milli = 500
limit_cpu_milli = 64000
limit_memory_bytes = 1000
[[organisation.key]]
name = "k1"
sha256 = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

[[budget]]
pool = "web"
max_unavailable = 1

[[wave]]
name = "w1"
pools = ["web"]
max_width = 4
"#;

const FAULTY: &str = r#"
colour = "red"
[[data_centre]]
name = "dc1"
[[pool]]
name = "web"
slots_per_vm = -1
max_vms = 5000000000
min_vm = 3
[[pool]]
name = "web"
slots_per_vm = "8"
max_vms = 3
min_vms = 4
[[organisation]]
name = "payroll"
share_milli = 0
limit_cpu_milli = 1
[[organisation.key]]
name = "k1"
sha256 = "2C"
sha1 = "2c"
[[organisation]]
name = 7
share_milli = 1.5
limit_cpu_milli = 1
limit_memory_bytes = 1
[[budget]]
pool = "batch"
scope = "row"
max_unavailable = 1
[[wave]]
name = "w 1"
pools = ["web", 4, "cache"]
max_width = 0
[polcy]
[policy]
weight_share_milli = []
"#;

#[test]
fn a_valid_manifest_is_read() {
    let manifest = Manifest::from_toml(VALID).expect("the text is valid");
    assert_eq!(manifest.organisations["payroll"].keys.len(), 1);
}

/// Guards against a fault that hides later faults.
#[test]
fn faults_of_a_manifest_are_reported_at_their_lines() {
    insta::assert_snapshot!(manifest_findings(FAULTY), @r#"
line 2: colour: unknown field `colour`, expected one of `data_centre`, `pool`, `organisation`, `budget`, `wave`, `policy`
line 3: data_centre[0].region: field is missing
line 7: pool[0].slots_per_vm: invalid value: integer `-1`, expected u32
line 8: pool[0].max_vms: invalid value: integer `5000000000`, expected u32
line 9: pool[0].min_vm: unknown field `min_vm`, expected one of `name`, `slots_per_vm`, `min_vms`, `max_vms`, `spare`, `on_data_centre_out`, `drain_timeout_ms`
line 11: pool[1].name: name "web" is already used
line 12: pool[1].slots_per_vm: invalid type: string "8", expected u32
line 14: pool[1].min_vms: min_vms 4 is above max_vms 3
line 15: organisation[0].limit_memory_bytes: field is missing
line 17: organisation[0].share_milli: must be at least 1
line 21: organisation[0].key[0].sha256: is not a SHA-256 hash of 64 lower-case hexadecimal digits
line 22: organisation[0].key[0].sha1: unknown field `sha1`, expected `name` or `sha256`
line 24: organisation[1].name: invalid type: integer `7`, expected a string
line 25: organisation[1].share_milli: invalid type: floating point `1.5`, expected u32
line 29: budget[0].pool: pool "batch" does not exist
line 30: budget[0].scope: "row" is not one of "pool", "data_centre", "rack"
line 33: wave[0].name: "w 1" is not a name of 1 to 63 letters, digits, '-', '_' and '.'
line 34: wave[0].pools[1]: invalid type: integer `4`, expected a string
line 35: wave[0].max_width: must be at least 1
line 36: polcy: unknown field `polcy`, expected one of `data_centre`, `pool`, `organisation`, `budget`, `wave`, `policy`
line 38: policy.weight_share_milli: invalid type: sequence, expected u32
"#);
}

/// Guards against a report that stops at the first syntax error.
#[test]
fn all_syntax_errors_are_reported() {
    let text = "[[pool]]\nname = \nslots_per_vm = 8\nmax_vms = 1 2\nmax_vms = 3\n";
    insta::assert_snapshot!(manifest_findings(text), @r#"
line 2: string values must be quoted, expected literal string
line 4: string values must be quoted, expected literal string
line 5: duplicate key
"#);
}

/// Guards against accepting a wave that can never drain a VM because a budget
/// allows no unavailable VM.
#[test]
fn a_wave_that_a_budget_blocks_is_rejected() {
    let text = VALID.replace("max_unavailable = 1", "max_unavailable = 0");
    insta::assert_snapshot!(manifest_findings(&text), @r#"line 26: wave[0].pools[0]: no VM of pool "web" can be drained: max_unavailable of a budget is 0"#);
}

/// Guards against a key that authenticates calls of two organisations.
#[test]
fn a_key_of_two_organisations_is_rejected() {
    let organisation =
        VALID.split("[[budget]]").next().and_then(|text| text.split_once("[[organisation]]"));
    let (_, organisation) = organisation.expect("the manifest has an organisation");
    let text = format!("{VALID}\n[[organisation]]{}", organisation.replace("payroll", "search"));
    insta::assert_snapshot!(manifest_findings(&text), @r#"line 36: organisation[1].key[0].sha256: the key is also granted to organisation "payroll""#);
}

/// Guards against accepting a value where a table or an array is expected, or
/// one of these in place of the other.
#[test]
fn values_of_the_wrong_type_are_reported() {
    let text =
        "policy = 3\npool = 4\norganisation = [1, 2]\n[wave]\nname = \"w1\"\n[[data_centre]]\n";
    insta::assert_snapshot!(manifest_findings(text), @r#"
line 1: policy: invalid type: integer `3`, expected a table of type Policy
line 2: pool: invalid type: integer `4`, expected a sequence
line 3: organisation[0]: invalid type: integer `1`, expected a table of type Organisation
line 3: organisation[1]: invalid type: integer `2`, expected a table of type Organisation
line 4: wave: invalid type: map, expected a sequence
line 6: data_centre[0].name: field is missing
line 6: data_centre[0].region: field is missing
"#);
}

/// Guards against a fault of the settings that hides later faults.
#[test]
fn faults_of_settings_are_reported_at_their_lines() {
    let text = r#"
name = "entry-1"
peers = ["10.0.0.1:7000", "entry-2:7000"]
[listen]
callers = "0.0.0.0:8080"
peers = "0.0.0.0:8080"
health = 9090
[platform]
log = "10.0.0.9"
[credentials]
peer_token_file = "/etc/cowslipport/peer"
peer_token_env = "PEER_TOKEN"
[limits]
max_body_bytes = 0
max_bodies = 1
[logging]
format = "xml"
level = "notice"
[logging.target_levels]
router = "debug"
"peer.exchange" = "loud"
"#;
    insta::assert_snapshot!(settings_findings(text), @r#"
line 1: data_centre: field is missing
line 3: peers[1]: "entry-2:7000" is not an address such as "10.0.0.1:7000"
line 6: listen.peers: 0.0.0.0:8080 is also the address of listen.callers
line 7: listen.health: invalid type: integer `9090`, expected a string
line 8: platform.vm_list: field is missing
line 9: platform.log: "10.0.0.9" is not an address such as "10.0.0.1:7000"
line 10: credentials.operator_token_file: field is missing; give operator_token_file or operator_token_env
line 11: credentials.peer_token_file: give peer_token_file or peer_token_env, not both
line 14: limits.max_body_bytes: must be at least 1
line 15: limits.max_bodies: unknown field `max_bodies`, expected one of `max_body_bytes`, `max_connections`, `max_queued_requests`, `request_read_timeout_ms`, `default_deadline_ms`, `shutdown_timeout_ms`
line 17: logging.format: "xml" is not one of "json", "terminal"
line 18: logging.level: "notice" is not one of "error", "warning", "info", "debug", "trace"
line 21: logging.target_levels.peer.exchange: "loud" is not one of "error", "warning", "info", "debug", "trace"
"#);
}

/// Guards against a change, or an effect on running work, that an operator does
/// not see before the commit.
#[test]
fn differences_and_effects_are_listed() {
    let old = Manifest::from_toml(VALID).expect("the text is valid");
    let text = VALID
        .replace("limit_cpu_milli = 64000", "limit_cpu_milli = 32000")
        .replace("sha256 = \"2c", "sha256 = \"2d")
        .replace("max_unavailable = 1", "max_unavailable = 2\nscope = \"rack\"")
        .replace("w1", "w2")
        .replace("slots_per_vm = 8", "slots_per_vm = 4");
    let new = Manifest::from_toml(&text).expect("the text is valid");
    insta::assert_snapshot!(old.differences_to(&new).join("\n"), @r#"
pool web: slots_per_vm from 8 to 4
budgets of pool web: pool from 1 to none
budgets of pool web: rack from none to 2
organisation payroll: limit_cpu_milli from 64000 to 32000
organisation payroll: key k1 is withdrawn
effect: calls with the key are refused and its queued jobs are cancelled
organisation payroll: key k1 is granted
effect: tasks above the new limit are stopped
wave w2: added, pools = web, initial_width = 1, max_width = 4, max_failed = 1, soak_ms = 60000, reboot_timeout_ms = 600000
effect: VMs of web begin to reboot
wave w1: removed
effect: no further VM is drained for it
"#);
    assert_eq!(old.differences_to(&old), Vec::<String>::new());
}
