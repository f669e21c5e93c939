//! The cases.

mod frozen;
mod leaving;
mod rollout;
mod stalled;

use crate::Case;

/// Plays a case; returns whether the rule was broken.
pub fn play(name: &str, case: &Case) -> bool {
    match name {
        "lease" => leaving::play_lease(case),
        "drill" => leaving::play_drill(case),
        "rollout" => rollout::play(case),
        "stalled" => stalled::play(case),
        "frozen" => frozen::play(case),
        _ => crate::cannot_run("unknown case"),
    }
}
