//! A request that crashes each backend server that runs it.

use geranium_model::{Outcome, ResultCode};
use geranium_rig::PairPart;

use crate::{
    caller::Call,
    fleet::{Fleet, wait_until},
};

/// A till asks something that kills the backend server, and keeps asking
/// through other nodes. After two crashes in the whole fleet it is refused
/// everywhere, and what others ask is still answered.
#[test]
fn a_request_that_crashes_servers_stops_after_two() {
    let mut fleet = Fleet::small();
    let nodes = ["verdskra-1", "verdskra-2", "pantanir-1", "pantanir-2"];
    let mut crashes = 0;
    for turn in 0..8 {
        let node = fleet.node(nodes[turn % nodes.len()]);
        let answer = Call::get(node, "/verdskra/bad?crash=1")
            .send()
            .expect("an answer");
        assert_ne!(answer.outcome, Outcome::Ran, "{answer:?}");
        for instance in ["verdskra-1", "verdskra-2"] {
            let pair = fleet.pair_mut(instance);
            let process = pair.process(PairPart::Backend).expect("it was started");
            if !process.is_running() {
                crashes += 1;
                pair.start(PairPart::Backend).expect("it starts");
            }
        }
        fleet.wait_ready();
    }
    assert!(crashes <= 2, "{crashes} crashes");
    let refused = Call::get(fleet.node("pantanir-1"), "/verdskra/bad?crash=1").send();
    let refused = refused.expect("an answer");
    assert_eq!(refused.code, ResultCode::Poisoned.number(), "{refused:?}");
    assert_eq!(refused.outcome, Outcome::NotRun);
    wait_until("an innocent request", || {
        let answer = Call::get(fleet.node("pantanir-1"), "/verdskra/good").send();
        answer.is_ok_and(|answer| answer.outcome == Outcome::Ran)
    });
}
