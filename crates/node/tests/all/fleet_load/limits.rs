//! Simulations of backend servers that name the rate of requests that they take.

use std::time::Duration;

use geranium_node::rate_limit::RequestRate;

use super::simulated_fleet::{Fleet, LoadResult, Picker, RECEIVERS, SIMULATED_TIME};

/// Length of the windows in which starts are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Starts in a window beyond what the limit allows.
const WINDOW_SLACK: f64 = 5.0;
/// Rate that limited backend servers take, a fifth to a half of what their slots allow.
const RATE: RequestRate = RequestRate::from_millis(12_000);
/// Share of the limit that is used while more is asked for.
const USED_SHARE_MIN: f64 = 0.9;

/// Returns the largest number of starts in any window.
fn most_in_window(starts: &[Duration]) -> usize {
    let counts = starts.iter().enumerate().map(|(index, &first)| {
        let later = starts[index..].iter();
        later.filter(|&&next| next < first + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

fn simulate(load: f64, limited: usize, tells_limits: bool) -> (LoadResult, Vec<Vec<Duration>>) {
    Fleet::new(Picker::Node, load)
        .with_limits(limited, RATE, tells_limits)
        .simulate_starts()
}

fn assert_bounds(starts: &[Vec<Duration>], limited: usize) {
    let allowed = RATE.per_second() * WINDOW.as_secs_f64() + WINDOW_SLACK;
    for starts in &starts[..limited] {
        let most = most_in_window(starts);
        assert!(most as f64 <= allowed, "{most} starts in {WINDOW:?}");
    }
}

/// Guards against limited backend servers that take more than they can, or whose share makes their
/// callers late.
#[test]
fn limited_servers_share_goes_to_others() {
    let (told, starts) = simulate(0.6, 6, true);
    assert_bounds(&starts, 6);
    let (untold, _) = simulate(0.6, 6, false);
    assert!(told.share_in_time() > 0.95, "{told:?} {untold:?}");
    assert!(
        told.attempts_per_request() < untold.attempts_per_request(),
        "{told:?} {untold:?}"
    );
}

/// Guards against limits that aren't used while callers are refused.
#[test]
fn limits_are_used_while_more_is_asked_for() {
    let (result, starts) = simulate(0.6, RECEIVERS, true);
    assert_bounds(&starts, RECEIVERS);
    let total: usize = starts.iter().map(Vec::len).sum();
    let usable = RATE.per_second() * SIMULATED_TIME.as_secs_f64() * RECEIVERS as f64;
    let used_share = total as f64 / usable;
    assert!(used_share >= USED_SHARE_MIN, "{used_share} {result:?}");
    let useful_share = f64::from(result.in_time) / total as f64;
    assert!(useful_share > 0.9, "{useful_share} {result:?}");
}
