//! Decoders do not panic on any input: neither on a file of an operator, nor on a
//! record that another version wrote or a faulty disk damaged.

use cowslipport_lib::config::Manifest;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::file_kind::FileKind;
use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::Revision;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::job::JobEnd;
use cowslipport_lib::job::JobOutcome;
use cowslipport_lib::job::JobRecord;
use cowslipport_lib::job::JobRecordBody;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job_log::JobLog;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::settings::Settings;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

const MANIFEST: &str = include_str!("../../examples/demo.toml");
const SETTINGS: &str = include_str!("../../examples/prairie/settings.toml");

fn config() -> ProptestConfig {
    let failure_persistence = None;
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence,
        ..<_>::default()
    }
}

/// Replaces up to `cut` bytes of `bytes` with `insert`.
fn splice(bytes: &[u8], at: prop::sample::Index, cut: usize, insert: &[u8]) -> Vec<u8> {
    let at = at.index(bytes.len() + 1);
    let end = (at + cut).min(bytes.len());
    [&bytes[..at], insert, &bytes[end..]].concat()
}

/// Generates a valid file of which a part is replaced.
fn damaged(text: &'static str) -> impl Strategy<Value = String> {
    let pieces = ["[[", "]]", "=", "\"", "\n[[pool]]\n", "\n[a.b]\n", "{", "1e400", "\u{0}", "é"];
    let insert =
        prop_oneof![prop::sample::select(pieces.to_vec()).prop_map(str::to_owned), ".{0,8}"];
    (any::<prop::sample::Index>(), 0..40_usize, insert).prop_map(move |(at, cut, insert)| {
        let bytes = splice(text.as_bytes(), at, cut, insert.as_bytes());
        String::from_utf8_lossy(&bytes).into_owned()
    })
}

/// Generates lines of TOML syntax that combine any key with any value.
fn lines() -> impl Strategy<Value = String> {
    let key = prop::sample::select(vec![
        "name",
        "pool",
        "organisation",
        "key",
        "wave",
        "pools",
        "budget",
        "policy",
        "limits",
        "listen",
        "peers",
        "logging",
        "target_levels",
        "max_vms",
        "a.b",
        "\"\"",
    ]);
    let value = prop::sample::select(vec![
        "1",
        "-1",
        "99999999999999999999",
        "1.5",
        "true",
        "\"x\"",
        "[]",
        "[1, \"a\", {}]",
        "{}",
        "{ a = 1 }",
        "1979-05-27",
        "nan",
        "'''\n'''",
    ]);
    let line = prop_oneof![
        (key.clone(), value).prop_map(|(key, value)| format!("{key} = {value}\n")),
        key.clone().prop_map(|key| format!("[{key}]\n")),
        key.prop_map(|key| format!("[[{key}]]\n")),
    ];
    vec(line, 0..12).prop_map(|lines| lines.concat())
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![".{0,60}", lines(), damaged(MANIFEST), damaged(SETTINGS)]
}

fn sample_records() -> Vec<Vec<u8>> {
    let manifest = Manifest::from_toml(MANIFEST).expect("the example is valid");
    let changes = Manifest::default().changes_to(&manifest);
    let commit = cowslipport_lib::config::ConfigCommit {
        expected_revision: Revision(0),
        author: "ana".to_owned(),
        changes,
    };
    let health = VmObservation::Health { vm: VmId(u32::MAX), health: Health::Up };
    let bodies = [RecordBody::ConfigCommit(commit), RecordBody::VmBatch(vec![health])];
    let id = RecordId { writer: 1, sequence: 1 };
    bodies.into_iter().map(|body| ControlRecord { id, body }.encode()).collect()
}

/// Returns an encoded snapshot of the state after the sample records.
fn sample_snapshot() -> Vec<u8> {
    let mut state = ControlState::default();
    for bytes in sample_records() {
        let record = ControlRecord::decode(&bytes).expect("the sample is valid");
        state.apply(state.next_offset, &record);
    }
    state.encode()
}

fn sample_job_record() -> Vec<u8> {
    let job = JobRef { organisation: OrganisationId(1), name: "night-run".to_owned() };
    let end = JobEnd { job: job.clone(), outcome: JobOutcome::Succeeded };
    let id = RecordId { writer: 1, sequence: 1 };
    JobRecord { id, epoch: Epoch(1), body: JobRecordBody::Ended(vec![end]) }.encode()
}

fn fuzzed_bytes(samples: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    let damaged = (
        prop::sample::select(samples),
        any::<prop::sample::Index>(),
        0..8_usize,
        vec(any::<u8>(), 0..8),
    )
        .prop_map(|(bytes, at, cut, insert)| splice(&bytes, at, cut, &insert));
    prop_oneof![vec(any::<u8>(), 0..200), damaged, Just(Vec::new())]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn any_text_is_read_or_has_findings_with_lines(text in text()) {
        FileKind::detect(&text);
        let lines = text.matches('\n').count() + 1;
        let findings = [Manifest::from_toml(&text).err(), Settings::from_toml(&text).err()];
        for finding in findings.into_iter().flatten().flat_map(|findings| findings.list) {
            assert!((1..=lines).contains(&finding.location.line), "{finding}");
        }
    }

    #[test]
    fn any_record_is_decoded_or_rejected(bytes in fuzzed_bytes(sample_records())) {
        if let Ok(record) = ControlRecord::decode(&bytes) {
            let mut state = ControlState::default();
            state.apply(state.next_offset, &record);
            assert_eq!(ControlRecord::decode(&record.encode()), Ok(record));
        }
    }

    #[test]
    fn any_job_record_is_decoded_or_rejected(bytes in fuzzed_bytes(vec![sample_job_record()])) {
        if let Ok(record) = JobRecord::decode(&bytes) {
            JobLog::default().apply(Offset(0), &record);
            assert_eq!(JobRecord::decode(&record.encode()), Ok(record));
        }
    }

    #[test]
    fn any_snapshot_is_decoded_or_rejected(bytes in fuzzed_bytes(vec![sample_snapshot()])) {
        if let Ok(state) = ControlState::decode(&bytes) {
            let again = ControlState::decode(&state.encode()).expect("the encoded state is valid");
            assert_eq!(again.digest(), state.digest());
        }
    }
}
