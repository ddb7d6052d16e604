//! Tells whether the process of a test stood still, as all processes of a machine that
//! is suspended or overloaded.

#![allow(dead_code, reason = "each test uses a part")]

use std::time::Duration;

use actix_rt::task::JoinHandle;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

/// Interval of the ticks that show that the process runs.
const TICK: Duration = Duration::from_millis(20);
/// Lateness of a tick that counts as a stall: a quarter of the age at which processes
/// refuse requests (2 s).
const MIN_LATENESS: Duration = Duration::from_millis(500);
/// Time after a stall in which processes may refuse requests, until their views are
/// confirmed again. The users' pages excuse a process for as long after a freeze.
const EXCUSED_AFTER_STALL: Duration = Duration::from_secs(3);

/// Interval at which requests are repeated and conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of waits for a condition, if there is a stall in each.
const MAX_WAITS: usize = 10;

#[derive(Clone, Copy, Debug)]
struct Ticks {
    last_at: Instant,
    last_stall_ended_at: Option<Instant>,
}

impl Ticks {
    fn tick(&mut self, now: Instant) {
        if now > self.last_at + TICK + MIN_LATENESS {
            self.last_stall_ended_at = Some(now);
        }
        self.last_at = now;
    }
}

/// Watches for stalls until it is dropped.
pub(crate) struct StallMonitor {
    ticks: watch::Receiver<Ticks>,
    task: JoinHandle<()>,
}

impl StallMonitor {
    /// Starts to watch, on the runtime of the test.
    pub(crate) fn start() -> Self {
        let (sender, ticks) =
            watch::channel(Ticks { last_at: Instant::now(), last_stall_ended_at: None });
        let task = actix_rt::spawn(async move {
            loop {
                sleep(TICK).await;
                sender.send_modify(|ticks| ticks.tick(Instant::now()));
            }
        });
        Self { ticks, task }
    }

    /// Repeats a request to a process of the daemon that was refused because the process
    /// stood still. Without a stall the first answer counts.
    pub(crate) async fn repeat_if_stalled<F, R>(&self, request: F) -> (u16, String)
    where
        F: FnMut() -> R,
        R: Future<Output = (u16, String)>,
    {
        const REASONS: [&str; 2] = ["view_stale", "view of this process is stale"];
        self.repeat_while(request, |(status, body)| {
            *status == 503 && REASONS.iter().any(|reason| body.contains(reason))
        })
        .await
    }

    /// Repeats a request while its answer is one that only a stall may cause, and there
    /// was one during the request or just before.
    pub(crate) async fn repeat_while<F, R, T, C>(&self, mut request: F, is_from_stall: C) -> T
    where
        F: FnMut() -> R,
        R: Future<Output = T>,
        C: Fn(&T) -> bool,
    {
        loop {
            let began_at = Instant::now();
            let answer = request().await;
            if !is_from_stall(&answer) || !self.has_stalled_near(began_at) {
                return answer;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until `condition` holds; panics if it does not within `limit`, which begins
    /// anew after a stall: what was lost by the stall has to be recovered first.
    pub(crate) async fn wait_until<F, R>(&self, limit: Duration, what: &str, mut condition: F)
    where
        F: FnMut() -> R,
        R: Future<Output = bool>,
    {
        for _ in 0..MAX_WAITS {
            let began_at = Instant::now();
            while began_at.elapsed() < limit {
                if condition().await {
                    return;
                }
                sleep(POLL_INTERVAL).await;
            }
            assert!(self.has_stalled_near(began_at), "{what} within {limit:?}");
        }
        panic!("{what}: a stall in each of {MAX_WAITS} waits of {limit:?}");
    }

    /// Whether the process stood still after `at`, or a moment before.
    pub(crate) fn has_stalled_near(&self, at: Instant) -> bool {
        let mut ticks = *self.ticks.borrow();
        // The task of the ticks may not have run since the stall.
        ticks.tick(Instant::now());
        ticks.last_stall_ended_at.is_some_and(|ended_at| at < ended_at + EXCUSED_AFTER_STALL)
    }
}

impl Drop for StallMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}
