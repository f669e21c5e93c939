//! Retries in an outage and in deep calls, against "three tries at each level".

use std::time::Duration;

use geranium_decisions::retry::{HopDeadline, RetryBudget, RetryCase, RetryDecision, RetryRule};
use geranium_model::Outcome;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

const NAIVE_TRIES: u64 = 3;

fn failed(tries: u8) -> RetryCase {
    RetryCase {
        outcome: Outcome::NotRun,
        idempotent: true,
        hops: 0,
        tries,
        suspect: false,
        untried: true,
        left: Duration::from_secs(1),
        expected: Duration::from_millis(20),
    }
}

/// Retries that one request makes while a share of all tries fails.
fn retries(failing: f64, budget: &mut RetryBudget, rng: &mut StdRng) -> (u64, bool) {
    for tries in 1.. {
        if !rng.random_bool(failing) {
            if tries == 1 {
                budget.succeeded();
            }
            return (u64::from(tries) - 1, true);
        }
        if RetryRule.decide(&failed(tries), budget, rng) == RetryDecision::Final {
            return (u64::from(tries) - 1, false);
        }
    }
    unreachable!("tries are bounded")
}

/// A service is out for a minute. A node's 56 requests a second all fail;
/// three tries each triple the load on what is left of the service.
#[test]
fn a_total_outage_earns_no_retries() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut budget = RetryBudget::new(0.1);
    for _calm in 0..1_000 {
        retries(0.0, &mut budget, &mut rng);
    }
    let first_tries = 56 * 60;
    let made: u64 = (0..first_tries)
        .map(|_| retries(1.0, &mut budget, &mut rng).0)
        .sum();
    let naive = first_tries * (NAIVE_TRIES - 1);
    println!("outage: {made} retries of {first_tries} first tries, naive {naive}");
    assert!(made * 10 < first_tries);
    let share = |failing: f64, rng: &mut StdRng| {
        let mut budget = RetryBudget::new(0.1);
        let tries = (0..20_000).map(|_| retries(failing, &mut budget, rng));
        let (made, good) = tries.fold((0, 0), |(made, good), (more, answered)| {
            (made + more, good + u64::from(answered))
        });
        (made as f64 / 20_000.0, good as f64 / 20_000.0)
    };
    for failing in [0.01, 0.05, 0.3, 0.9] {
        let (made, good) = share(failing, &mut rng);
        println!("failing {failing}: retries {made:.4} a request, answered {good:.4}");
        assert!(made < 0.105);
        assert!(failing > 0.05 || good > 0.997);
    }
}

/// A call nine deep ends at a service that is out. Each level that tries three
/// times multiplies the ones above it.
#[test]
fn only_the_first_hop_retries() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut budgets = [RetryBudget::new(1.0); 9];
    let mut at_the_end = 1;
    for (hops, budget) in budgets.iter_mut().enumerate() {
        let tries = (1..).take_while(|&tries| {
            let case = RetryCase {
                hops: hops as u8,
                ..failed(tries)
            };
            RetryRule.decide(&case, budget, &mut rng) != RetryDecision::Final
        });
        at_the_end *= tries.count() + 1;
    }
    let naive = NAIVE_TRIES.pow(9);
    println!("nine deep: {at_the_end} tries at the end, naive {naive}");
    assert_eq!(at_the_end, 3);
}

/// Nine hops each take their time. An inner server whose deadline is later
/// than the outer one's would work for a caller who has left.
#[test]
fn deadlines_shrink_to_the_end_of_a_deep_call() {
    let mut deadline = HopDeadline::new(Duration::from_millis(250));
    let mut hops = 0;
    while let Some(next) = deadline.next_hop(Duration::from_millis(5)) {
        assert!(next.left() + Duration::from_millis(5) < deadline.left());
        deadline = next;
        hops += 1;
    }
    assert_eq!(hops, 31);
    assert!(
        HopDeadline::new(Duration::MAX)
            .next_hop(Duration::ZERO)
            .is_some()
    );
    assert_eq!(
        HopDeadline::new(Duration::ZERO).next_hop(Duration::MAX),
        None
    );
}

fn cases() -> impl Strategy<Value = RetryCase> {
    let outcome = prop_oneof![
        Just(Outcome::NotRun),
        Just(Outcome::MaybeRun),
        Just(Outcome::Ran)
    ];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let times = (0..400u64, 0..400u64);
    (outcome, flags, 0..3u8, 1..5u8, times).prop_map(
        |(outcome, (idempotent, suspect, untried), hops, tries, (left, expected))| RetryCase {
            outcome,
            idempotent,
            hops,
            tries,
            suspect,
            untried,
            left: Duration::from_millis(left),
            expected: Duration::from_millis(expected),
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(5_000) })]

    /// No retry may run work twice, meet the same server, follow a crash,
    /// multiply down a deep call or come too late. Where all is well there is
    /// one.
    #[test]
    fn retries_keep_every_rule(case in cases(), seed in any::<u64>()) {
        let mut rng = StdRng::seed_from_u64(seed);
        let decision = RetryRule.decide(&case, &mut RetryBudget::new(0.1), &mut rng);
        let may_repeat = case.outcome == Outcome::NotRun
            || (case.outcome == Outcome::MaybeRun && case.idempotent);
        let sound = may_repeat && !case.suspect && case.untried && case.hops == 0 && case.tries < 3;
        if let RetryDecision::Retry { after } = decision {
            prop_assert!(sound);
            prop_assert!(after + case.expected <= case.left);
            prop_assert!(after <= Duration::from_millis(20));
        } else {
            prop_assert!(!sound || case.left < case.expected + Duration::from_millis(20));
        }
        let unpaid = RetryRule.decide(&case, &mut RetryBudget::new(0.0), &mut rng);
        prop_assert_eq!(unpaid, RetryDecision::Final);
    }
}
