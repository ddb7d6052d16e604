//! Tests that the log loses no record and assigns no offset twice under
//! retention, rate limit, outages and lost replies.

use cowslipport_lib::time::TimeMs;
use cowslipport_standin::log_store::Appended;
use cowslipport_standin::log_store::LogError;
use cowslipport_standin::log_store::LogFaults;
use cowslipport_standin::log_store::LogLimits;
use cowslipport_standin::log_store::LogStore;

const SMALL_LIMITS: LogLimits =
    LogLimits { retained_records: 3, retained_ms: 1000, appends_per_second: 10 };

fn append(store: &mut LogStore, now: u64, byte: u8) -> Result<Appended, LogError> {
    store.append(TimeMs(now), "control", vec![byte])
}

/// Guards against offsets that change when old records are dropped.
#[test]
fn retention_by_count_keeps_offsets() {
    let mut store = LogStore::new(SMALL_LIMITS, 1);
    for byte in 0..5 {
        append(&mut store, 0, byte).expect("the burst is within the rate");
    }
    let page = store.read_admitted(TimeMs(0), "control", 0, 10);
    assert_eq!((page.first_offset, page.next_offset), (2, 5));
    assert_eq!(page.records, vec![(2, vec![2]), (3, vec![3]), (4, vec![4])]);
}

/// Guards against a stream that starts again at offset zero once all its
/// records have expired.
#[test]
fn retention_by_time_empties_a_stream_without_reusing_offsets() {
    let mut store = LogStore::new(SMALL_LIMITS, 1);
    append(&mut store, 0, 7).expect("the log is up");
    let page = store.read_admitted(TimeMs(1000), "control", 0, 10);
    assert_eq!((page.first_offset, page.next_offset), (1, 1));
    assert_eq!(page.records, Vec::new());
    let appended = append(&mut store, 1000, 8).expect("the log is up");
    assert_eq!(appended.offset, 1);
}

/// Guards against a rate limit that allows more appends than the burst and the
/// sustained rate.
#[test]
fn append_rate_is_bounded() {
    let mut store = LogStore::new(SMALL_LIMITS, 1);
    let written = (0..2000).filter(|now| append(&mut store, *now, 0).is_ok()).count();
    // A burst of one second and then two seconds at the sustained rate.
    assert_eq!(written, 29);
    assert_eq!(store.stats().rate_limited, 2000 - 29);
}

/// Guards against a lost reply whose record is lost too, and against more lost
/// replies than the fault asks for.
#[test]
fn append_with_lost_reply_is_written() {
    let mut store = LogStore::new(SMALL_LIMITS, 1);
    store.set_faults(LogFaults { lost_replies: 1, ..LogFaults::default() });
    assert_eq!(append(&mut store, 0, 1), Ok(Appended { offset: 0, reply_lost: true }));
    assert_eq!(append(&mut store, 0, 2), Ok(Appended { offset: 1, reply_lost: false }));
    assert_eq!(store.read_admitted(TimeMs(0), "control", 0, 10).records.len(), 2);
}

/// Guards against an append that fails but is written.
#[test]
fn failed_append_is_not_written() {
    let mut store = LogStore::new(SMALL_LIMITS, 1);
    store.set_faults(LogFaults { down: true, ..LogFaults::default() });
    assert_eq!(append(&mut store, 0, 1), Err(LogError::Down));
    store.set_faults(LogFaults { rejected_permille: 1000, ..LogFaults::default() });
    assert_eq!(append(&mut store, 0, 1), Err(LogError::Rejected));
    assert_eq!(store.read_admitted(TimeMs(0), "control", 0, 10).next_offset, 0);
}

/// Guards against pages larger than the default message limit of gRPC clients.
#[test]
fn page_is_bounded_in_bytes() {
    let mut store = LogStore::new(LogLimits::default(), 1);
    for _ in 0..3 {
        store.append(TimeMs(0), "snapshots", vec![0; 600 * 1024]).expect("the log is up");
    }
    let page = store.read_admitted(TimeMs(0), "snapshots", 0, 10);
    assert_eq!((page.records.len(), page.next_offset), (1, 3));
}
