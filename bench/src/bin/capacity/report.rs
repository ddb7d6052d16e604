//! The report: costs at each fleet size, and linear fits over each dimension.

use std::fmt;

use serde::Serialize;

use crate::cost::Fit;
use crate::cost::as_f64;
use crate::message_size;
use crate::message_size::MessageSize;
use crate::model::FULL;
use crate::model::FleetSize;
use crate::model::Model;
use crate::record_cost;
use crate::record_cost::RecordCost;
use crate::role_cost;
use crate::role_cost::RoleCost;
use crate::state_cost;
use crate::state_cost::StateCost;
use crate::wire_cost;
use crate::wire_cost::CallCost;

/// Configuration commits per second, on an ordinary day and in a burst.
const COMMITS_PER_SECOND: [f64; 2] = [0.6, 60.0];

/// Costs at one fleet size.
#[derive(Debug, Serialize)]
pub(crate) struct SizeCost {
    size: FleetSize,
    state: StateCost,
    records: Vec<RecordCost>,
}

/// A linear fit over one dimension, with the others as in section 1.6 of the
/// design.
#[derive(Debug, Serialize)]
pub(crate) struct Line {
    what: String,
    unit: &'static str,
    dimension: &'static str,
    fit: Fit,
}

/// Share of one core that commits of one organisation take in each copy of the
/// state.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CommitLoad {
    size: FleetSize,
    commits_per_second: f64,
    core_permille: f64,
}

#[derive(Debug, Serialize)]
pub(crate) struct Report {
    sizes: Vec<SizeCost>,
    lines: Vec<Line>,
    commit_loads: Vec<CommitLoad>,
    roles: Vec<RoleCost>,
    messages: Vec<MessageSize>,
    calls: Vec<CallCost>,
}

/// Runs all measurements.
pub(crate) fn measure() -> Result<Report, wire_cost::Error> {
    let calls = wire_cost::measure()?;
    let sizes: Vec<SizeCost> = [
        FleetSize { workers: 1000, ..FULL },
        FleetSize { workers: 5000, ..FULL },
        FULL,
        FleetSize { organisations: 72, ..FULL },
        FleetSize { pools: 15, ..FULL },
        FleetSize { sessions: 8, ..FULL },
    ]
    .map(measure_size)
    .into();
    Ok(Report {
        lines: lines(&sizes),
        commit_loads: sizes.iter().flat_map(commit_loads).collect(),
        sizes,
        roles: role_cost::measure(&Model::new(FULL).state),
        messages: message_size::measure(),
        calls,
    })
}

/// Fits over each dimension, through the sizes that differ only in it.
fn lines(sizes: &[SizeCost]) -> Vec<Line> {
    let [small, middle, full, few_organisations, few_pools, few_sessions] = sizes else {
        return Vec::new();
    };
    let mut lines = fit("workers", &[small, middle, full], |size| size.workers);
    lines.extend(fit("organisations", &[few_organisations, full], |size| size.organisations));
    lines.extend(fit("pools", &[few_pools, full], |size| size.pools));
    lines.extend(fit("sessions", &[few_sessions, full], |size| size.sessions));
    lines
}

fn measure_size(size: FleetSize) -> SizeCost {
    let model = Model::new(size);
    let records = record_cost::measure(&model, size);
    SizeCost { size, state: state_cost::measure(&model.state), records }
}

fn commit_loads(cost: &SizeCost) -> Vec<CommitLoad> {
    let commit = cost.records.iter().find(|record| record.kind == "commit of one organisation");
    let Some(commit) = commit else { return Vec::new() };
    let load = |commits_per_second: f64| CommitLoad {
        size: cost.size,
        commits_per_second,
        core_permille: commits_per_second * (commit.decode_ns + commit.apply_ns) / 1e6,
    };
    COMMITS_PER_SECOND.map(load).to_vec()
}

fn fit<F>(dimension: &'static str, sizes: &[&SizeCost], entities: F) -> Vec<Line>
where
    F: Fn(&FleetSize) -> usize,
{
    let line = |what: String, unit, value: &dyn Fn(&SizeCost) -> f64| {
        let points: Vec<(f64, f64)> =
            sizes.iter().map(|cost| (as_f64(entities(&cost.size)), value(cost))).collect();
        Line { what, unit, dimension, fit: Fit::through(&points) }
    };
    let state = |what: &str, unit, value: fn(&StateCost) -> f64| {
        line(what.to_owned(), unit, &|cost| value(&cost.state))
    };
    let mut lines = vec![
        state("state on the heap", "B", |state| as_f64(state.heap_bytes)),
        state("further copy of the state", "B", |state| as_f64(state.copy_bytes)),
        state("snapshot", "B", |state| as_f64(state.snapshot_bytes)),
        state("copy of the state", "ns", |state| state.clone_ns),
        state("snapshot encode", "ns", |state| state.encode_ns),
        state("snapshot decode", "ns", |state| state.decode_ns),
        state("digest", "ns", |state| state.digest_ns),
    ];
    for (index, record) in sizes[0].records.iter().enumerate() {
        let what = format!("apply {}", record.kind);
        lines.push(line(what, "ns", &|cost| cost.records[index].apply_ns));
    }
    lines
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for cost in &self.sizes {
            write_size(f, cost)?;
        }
        writeln!(f, "\nlines, the other dimensions as in design 1.6")?;
        writeln!(
            f,
            "  {:<10} {:<36} {:>14} {:>14} {:>6}",
            "over", "cost", "at zero", "for each", "R²"
        )?;
        for line in &self.lines {
            let Fit { intercept, slope, r_squared } = line.fit;
            writeln!(
                f,
                "  {:<10} {:<36} {intercept:>11.0} {:<2} {slope:>11.2} {:<2} {r_squared:>6.3}",
                line.dimension, line.what, line.unit, line.unit
            )?;
        }
        writeln!(f, "\ncommits of one organisation, in each copy of the state")?;
        for load in &self.commit_loads {
            let FleetSize { workers, organisations, pools, sessions } = load.size;
            writeln!(
                f,
                "  {workers} workers, {organisations} organisations, {pools} pools, {sessions} sessions, \
                 {:>4} a second: {:.3} permille of a core",
                load.commits_per_second, load.core_permille
            )?;
        }
        writeln!(f, "\ndecisions")?;
        for RoleCost { decision, each_ns } in &self.roles {
            writeln!(f, "  {decision:<60} {each_ns:>10.0} ns")?;
        }
        writeln!(f, "\nmessages, bytes without frames")?;
        for MessageSize { message, bytes } in &self.messages {
            writeln!(f, "  {message:<48} {bytes:>6}")?;
        }
        writeln!(f, "\ncalls, with frames, without TCP headers")?;
        for call in &self.calls {
            writeln!(
                f,
                "  {:<34} {:>5.0} B sent {:>5.0} B received, caller {:>6.0} ns, {:>8.0} ns in all",
                call.call, call.sent_bytes, call.received_bytes, call.caller_ns, call.wall_ns
            )?;
        }
        Ok(())
    }
}

fn write_size(f: &mut fmt::Formatter<'_>, cost: &SizeCost) -> fmt::Result {
    let FleetSize { workers, organisations, pools, sessions } = cost.size;
    writeln!(
        f,
        "\n{workers} workers, {organisations} organisations, {pools} pools, {sessions} sessions"
    )?;
    let state = &cost.state;
    writeln!(
        f,
        "  state {} B, each further copy {} B in {:.1} ms",
        state.heap_bytes,
        state.copy_bytes,
        state.clone_ns / 1e6
    )?;
    writeln!(
        f,
        "  snapshot {} B, encode {:.1} ms, decode {:.1} ms, digest {:.1} ms",
        state.snapshot_bytes,
        state.encode_ns / 1e6,
        state.decode_ns / 1e6,
        state.digest_ns / 1e6
    )?;
    writeln!(f, "  {:<30} {:>8} {:>12} {:>12}", "record", "bytes", "decode ns", "apply ns")?;
    for record in &cost.records {
        writeln!(
            f,
            "  {:<30} {:>8.0} {:>12.0} {:>12.0}",
            record.kind, record.bytes, record.decode_ns, record.apply_ns
        )?;
    }
    Ok(())
}
