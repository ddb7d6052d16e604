//! `check`, `completions` and the help text, which need no server.

mod support;

use support::TempFile;
use support::ToolRun;

/// Guards against a check that rejects a valid file or detects the wrong kind.
#[test]
fn valid_files_of_both_kinds_pass() {
    insta::assert_snapshot!(ToolRun::new("check examples/predah/manifest.toml").output(), @r#"
status 0
-- stdout
examples/predah/manifest.toml: valid manifest with 4 data centres, 6 pools, 6 organisations, 11 budgets, 1 wave
-- stderr
"#);
    insta::assert_snapshot!(ToolRun::new("check examples/prairie/settings.toml").output(), @r#"
status 0
-- stdout
examples/prairie/settings.toml: valid settings of process entry-valley-1
-- stderr
"#);
    insta::assert_snapshot!(ToolRun::new("check --format json examples/demo.toml").output(), @r#"
status 0
-- stdout
{"file":"examples/demo.toml","kind":"manifest","valid":true,"findings":[]}
-- stderr
"#);
}

/// Guards against findings that are printed without file, line or next step.
#[test]
fn findings_are_listed_with_file_and_line() {
    let file = TempFile::new("m.toml", b"[[pool]]\nname = \"web\"\nslots = 8\n\n[[budget]]\n");
    insta::assert_snapshot!(ToolRun::new("check").file(&file).output(), @r#"
status 2
-- stdout
-- stderr
[folder]/m.toml: line 1: pool[0].max_vms: field is missing
[folder]/m.toml: line 1: pool[0].slots_per_vm: field is missing
[folder]/m.toml: line 3: pool[0].slots: unknown field `slots`, expected one of `name`, `slots_per_vm`, `min_vms`, `max_vms`, `spare`, `on_data_centre_out`, `drain_timeout_ms`
[folder]/m.toml: line 5: budget[0].max_unavailable: field is missing
[folder]/m.toml: line 5: budget[0].pool: field is missing
error: [folder]/m.toml has 5 findings
next: correct the file, then run `cowslipport check FILE`
"#);
    insta::assert_snapshot!(ToolRun::new("check --format json").file(&file).output(), @r#"
status 2
-- stdout
{"file":"[folder]/m.toml","kind":"manifest","valid":false,"findings":[{"line":1,"path":"pool[0].max_vms","message":"field is missing"},{"line":1,"path":"pool[0].slots_per_vm","message":"field is missing"},{"line":3,"path":"pool[0].slots","message":"unknown field `slots`, expected one of `name`, `slots_per_vm`, `min_vms`, `max_vms`, `spare`, `on_data_centre_out`, `drain_timeout_ms`"},{"line":5,"path":"budget[0].max_unavailable","message":"field is missing"},{"line":5,"path":"budget[0].pool","message":"field is missing"}]}
-- stderr
[folder]/m.toml: line 1: pool[0].max_vms: field is missing
[folder]/m.toml: line 1: pool[0].slots_per_vm: field is missing
[folder]/m.toml: line 3: pool[0].slots: unknown field `slots`, expected one of `name`, `slots_per_vm`, `min_vms`, `max_vms`, `spare`, `on_data_centre_out`, `drain_timeout_ms`
[folder]/m.toml: line 5: budget[0].max_unavailable: field is missing
[folder]/m.toml: line 5: budget[0].pool: field is missing
error: [folder]/m.toml has 5 findings
next: correct the file, then run `cowslipport check FILE`
"#);
    insta::assert_snapshot!(ToolRun::new("check --kind settings").file(&file).output(), @r#"
status 2
-- stdout
-- stderr
[folder]/m.toml: line 1: credentials.operator_token_file: field is missing; give operator_token_file or operator_token_env
[folder]/m.toml: line 1: credentials.peer_token_file: field is missing; give peer_token_file or peer_token_env
[folder]/m.toml: line 1: data_centre: field is missing
[folder]/m.toml: line 1: listen.callers: field is missing
[folder]/m.toml: line 1: listen.health: field is missing
[folder]/m.toml: line 1: listen.peers: field is missing
[folder]/m.toml: line 1: name: field is missing
[folder]/m.toml: line 1: platform.log: field is missing
[folder]/m.toml: line 1: platform.vm_list: field is missing
[folder]/m.toml: line 1: pool: unknown field `pool`, expected one of `name`, `data_centre`, `listen`, `platform`, `peers`, `credentials`, `limits`, `logging`
[folder]/m.toml: line 5: budget: unknown field `budget`, expected one of `name`, `data_centre`, `listen`, `platform`, `peers`, `credentials`, `limits`, `logging`
error: [folder]/m.toml has 11 findings
next: correct the file, then run `cowslipport check FILE`
"#);
}

/// Guards against a panic on a file that cannot be read: invalid UTF-8, a
/// missing file or a directory.
#[test]
fn unreadable_files_are_reported() {
    let file = TempFile::new("m.toml", b"name = \"\xff\xfe\"\n");
    insta::assert_snapshot!(ToolRun::new("check").file(&file).output(), @r#"
status 2
-- stdout
-- stderr
error: cannot read [folder]/m.toml: stream did not contain valid UTF-8
next: give the path of a readable file in UTF-8
"#);
    insta::assert_snapshot!(ToolRun::new("check no/such/file.toml").output(), @r#"
status 2
-- stdout
-- stderr
error: cannot read no/such/file.toml: No such file or directory (os error 2)
next: give the path of a readable file in UTF-8
"#);
    insta::assert_snapshot!(ToolRun::new("check examples").output(), @r#"
status 2
-- stdout
-- stderr
error: cannot read examples: Is a directory (os error 21)
next: give the path of a readable file in UTF-8
"#);
}

/// Guards against commands or exit statuses that are missing from the help.
#[test]
fn help_lists_commands_and_exit_statuses() {
    insta::assert_snapshot!(ToolRun::new("--help").output(), @r#"
status 0
-- stdout
Operates a fleet through any of its cowslipport daemons

Usage: cowslipport <COMMAND>

Commands:
  check        Check a manifest or settings file and report all findings
  commit       Commit a manifest and wait until it is in force everywhere
  dc           Take a data centre out of service or bring it back
  status       Show revision, data centres, pools, organisations, waves and processes
  watch        Print a line for each change of the fleet until interrupted
  submit       Submit a job with the key of an organisation
  jobs         List the jobs of the organisation to which the key belongs
  cancel       Cancel a queued or running job
  explain      Show the last decisions about a job, VM, organisation or wave, with their reasons
  preview      Show where a job would go now, and why, without submitting it
  wave         Operate a maintenance wave
  completions  Print a completion script for a shell
  help         Print this message or the help of the given subcommand(s)

Options:
  -h, --help     Print help
  -V, --version  Print version

Exit statuses:
  0  done
  1  refused, or failed for another reason
  2  invalid input
  3  another operator's commit came first
  4  the server cannot be reached
  5  recorded, but not in force everywhere in time
  6  outcome unknown; the change may have taken effect
  7  the token or the key is missing or was refused
-- stderr
"#);
}

/// Guards against arguments or environment variables that are missing from the
/// help, and against help that prints values of the environment, such as secrets.
#[test]
fn help_of_a_command_lists_its_arguments() {
    insta::assert_snapshot!(ToolRun::new("commit --help").output(), @r#"
status 0
-- stdout
Commit a manifest and wait until it is in force everywhere.

The commit is refused with exit status 3 if another operator's commit came first. The file is never changed.

Usage: cowslipport commit [OPTIONS] --server <IP:PORT> <FILE>

Arguments:
  <FILE>
          Manifest file

Options:
      --expect <REVISION>
          Revision that the manifest is based on; the revision in force if not given

      --dry-run
          Show differences and effects, and commit nothing

      --author <NAME>
          Name of the operator, recorded with the change
          
          [env: COWSLIPPORT_AUTHOR]

      --timeout-ms <MS>
          Time in milliseconds to wait until the change is in force everywhere
          
          [default: 30000]

      --server <IP:PORT>
          Address of any daemon for gRPC calls
          
          [env: COWSLIPPORT_SERVER]

      --token-file <FILE>
          File that holds the operators' token. Without it, the token is read from the environment variable COWSLIPPORT_TOKEN
          
          [env: COWSLIPPORT_TOKEN_FILE]

      --format <FORMAT>
          Output format

          Possible values:
          - text: Human-readable text
          - json: Machine-readable JSON
          
          [default: text]

  -h, --help
          Print help (see a summary with '-h')
-- stderr
"#);
    insta::assert_snapshot!(ToolRun::new("commit").output(), @r#"
status 2
-- stdout
-- stderr
error: the following required arguments were not provided:
  --server <IP:PORT>
  <FILE>

Usage: cowslipport commit --server <IP:PORT> --author <NAME> <FILE>

For more information, try '--help'.
"#);
}

/// Guards against completion scripts from which commands are missing.
#[test]
fn completions_name_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let output = ToolRun::new(&format!("completions {shell}")).output();
        assert!(output.starts_with("status 0\n"), "{output}");
        for command in ["check", "commit", "explain", "completions"] {
            assert!(output.contains(command), "{command} is missing for {shell}");
        }
    }
}
