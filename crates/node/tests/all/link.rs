//! How much of the link is spoken for.

use std::{cell::RefCell, rc::Rc, time::Duration};

use geranium_node::link_meter::{LinkMeter, LinkPromise};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Ten files are promised while the backend server makes them. The link isn't
/// busy yet, but spoken for; a broken one is taken back, a sent one drains.
#[test]
fn promises_count_until_they_are_sent_or_broken() {
    let link = Rc::new(RefCell::new(LinkMeter::new(8.0)));
    let mut sent = LinkPromise::new(&link, 90_000);
    let broken = LinkPromise::new(&link, 90_000);
    assert_eq!(link.borrow().wait(at(0)), at(200));
    assert_eq!(link.borrow().wait(at(5_000)), at(200));
    drop(broken);
    assert_eq!(link.borrow().wait(at(5_000)), at(100));
    sent.sent(at(5_000), 45_000);
    assert_eq!(link.borrow().wait(at(5_000)), at(100));
    assert_eq!(link.borrow().wait(at(5_050)), at(50));
    sent.sent(at(5_050), 100_000);
    drop(sent);
    assert!(link.borrow().wait(at(5_200)) < at(1));
}
