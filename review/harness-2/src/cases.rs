//! The cases.

mod drill;
mod frozen;
mod limit;
mod rollout;
mod stalled;

use crate::Case;

/// Plays a case; returns whether the rule was broken.
pub fn play(name: &str, case: &Case) -> bool {
    match name {
        "drill" => drill::play(case),
        "rollout" => rollout::play(case),
        "stalled" => stalled::play(case),
        "frozen" => frozen::play(case),
        "limit" => limit::play(case),
        _ => crate::cannot_run("unknown case"),
    }
}
