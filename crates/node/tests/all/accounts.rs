//! Tests of the decisions about client accounts.

use std::{rc::Rc, time::Duration};

use geranium_node::{
    accounts::{
        AccountError, AccountHeader, AccountHeaderError, AccountId, AccountInput, AccountLabels,
        AccountTable, BearerKey, CallerIdentityError, KeyDigest, KeyProof, PeerIdentity,
        PeerIdentityQuery, identify_caller, request_rank,
    },
    config::{ConfigDelta, ConfigError, ConfigInput, ConfigVersion, MeshConfig, RouteInput},
    event_log::EventLog,
    header_names::{PEER_ACCOUNT_HEADER, strip_peer_headers},
    inbound::RefusalReason,
    node_core::NodeCore,
    transport::PeerRequestHeader,
};
use http::{HeaderMap, HeaderValue, Request, header, request::Parts};
use proptest::prelude::*;
use slog::{Discard, Logger, o};

use crate::config::{document, headers, route, settings};

fn account(name: &str, keys: &[&str]) -> AccountInput {
    AccountInput {
        name: name.to_owned(),
        digests: keys.iter().map(|key| digest(key)).collect(),
        rank: None,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

fn digest(key: &str) -> KeyDigest {
    KeyProof::of_key(key).digest()
}

/// Returns a document with a keyed and an anonymous route, and these accounts.
fn account_input(version: u64, accounts: Vec<AccountInput>) -> ConfigInput {
    let open = RouteInput {
        anonymous: true,
        ..route("open", "/open/", &[("a", 1)])
    };
    let mut input = document(version, vec![route("keyed", "/k/", &[("a", 1)]), open]);
    input.accounts = accounts;
    input
}

fn config(version: u64, accounts: Vec<AccountInput>) -> MeshConfig {
    let input = account_input(version, accounts);
    MeshConfig::checked(Rc::new(input), None).expect("the document is good")
}

fn two_accounts() -> Vec<AccountInput> {
    vec![account("till", &["k1", "k2"]), account("desk", &["k3"])]
}

#[test]
fn each_bad_account_refuses_the_whole_document_with_its_reason() {
    let refusal = |accounts: Vec<AccountInput>| {
        let input = Rc::new(account_input(1, accounts));
        match MeshConfig::checked(input, None) {
            Err(ConfigError::Account { source }) => source,
            other => panic!("{other:?}"),
        }
    };
    let with = |name: &str, rate_per_s: f64, burst: f64| {
        let good = account(name, &["k9"]);
        vec![
            account("good", &["k0"]),
            AccountInput {
                rate_per_s,
                burst,
                ..good
            },
        ]
    };
    let shared = vec![account("till", &["k1"]), account("desk", &["k2", "k1"])];
    assert!(
        matches!(refusal(shared), AccountError::SharedKey { account, other } if account == "desk" && other == "till")
    );
    let twice = vec![account("till", &["k1"]), account("till", &["k2"])];
    assert!(matches!(refusal(twice), AccountError::DuplicateName { account } if account == "till"));
    for name in ["", " till", "till ", "a\r\nb: c", "a\0"] {
        let refused = refusal(with(name, 0.0, 0.0));
        assert!(matches!(refused, AccountError::BadName { .. }), "{name:?}");
    }
    for bad in [-1.0, -1e-9, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        for accounts in [with("till", bad, 0.0), with("till", 1.0, bad)] {
            let refused = refusal(accounts);
            assert!(matches!(refused, AccountError::BadQuota { .. }), "{bad}");
        }
    }
    let good = vec![
        account(&"n".repeat(257), &["k1", "k1"]),
        account("s\u{f8}lu", &[]),
    ];
    let good = config(1, good);
    assert!(good.accounts.find(&digest("k1")).is_some());
}

/// Guards against a configuration between nodes that loses accounts, or that shows a key.
#[test]
fn accounts_are_sent_between_nodes_without_keys() {
    let secret = "secret-4f1";
    let from = account_input(3, two_accounts());
    let to = account_input(4, vec![account("till", &["k1", secret])]);
    let delta = ConfigDelta::between(&from, &to);
    let text = serde_json::to_string(&delta).expect("a delta can be written as JSON");
    let read: ConfigDelta = serde_json::from_str(&text).expect("the delta was just written");
    assert_eq!(read.apply(&from), Some(to));
    assert!(!text.contains(secret));
    assert!(!text.contains(&KeyProof::of_key(secret).to_hex()));
}

#[test]
fn every_key_finds_its_own_account() {
    let name = |number: usize| format!("account-{number}");
    let key = |number: usize, key: usize| format!("key-{number}-{key}");
    let inputs = (0..500).map(|number| {
        let keys = [key(number, 0), key(number, 1)];
        account(&name(number), &keys.each_ref().map(|key| &**key))
    });
    let table = AccountTable::try_from(&*inputs.collect::<Vec<_>>()).expect("good accounts");
    for number in 0..500 {
        for turn in 0..2 {
            let id = table.find(&digest(&key(number, turn))).expect("known");
            assert_eq!(*table.rule(id).name, *name(number));
        }
        assert_eq!(table.find(&digest(&key(number, 2))), None);
        assert_eq!(
            table.find_name(&name(number)).map(AccountId::index),
            Some(number)
        );
    }
}

fn authorization(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).expect("a header value");
        headers.append(header::AUTHORIZATION, value);
    }
    headers
}

/// Guards against a request that is taken for another account's, or served without a key.
#[test]
fn only_one_known_bearer_key_identifies_a_caller() {
    let config = config(1, two_accounts());
    let name = |values: &[&str], anonymous: bool| {
        let identity = identify_caller(&config.accounts, anonymous, &authorization(values));
        identity.map(|identity| identity.map(|identity| identity.account.name.to_string()))
    };
    for value in ["Bearer k1", "bearer k2", "BEARER  k1"] {
        assert_eq!(
            name(&[value], false),
            Ok(Some("till".to_owned())),
            "{value}"
        );
        assert_eq!(name(&[value], true), Ok(Some("till".to_owned())), "{value}");
    }
    for values in [
        &[][..],
        &["k1"],
        &["Bearer"],
        &["Bearer "],
        &["Bearer\tk1"],
        &["Bearerk1"],
        &["Basic k1"],
        &["Bearer K1"],
        &["Bearer k1,k3"],
        &["Bearer k1", "Bearer k1"],
        &["Bearer k1", "Bearer k3"],
        &["", "Bearer k1"],
        &["Bearer unknown"],
    ] {
        assert!(name(values, false).is_err(), "{values:?}");
        assert_eq!(name(values, true), Ok(None), "{values:?}");
    }
    let unknown = name(&["Bearer unknown"], false).expect_err("unknown");
    let fingerprint = digest("unknown").fingerprint();
    assert_eq!(unknown, CallerIdentityError::UnknownKey { fingerprint });
    let none = AccountTable::default();
    let identity = identify_caller(&none, false, &authorization(&["Bearer k1"]));
    assert!(matches!(identity, Ok(None)));
}

#[test]
fn ranks_are_ordered_by_account_and_then_by_route() {
    let mut ranks: Vec<u8> = Vec::new();
    for account in 0..16 {
        ranks.extend((0..16).map(|route| request_rank(Some(account), route)));
    }
    assert!(ranks.is_sorted_by(|a, b| a < b));
    assert_eq!(request_rank(None, 2), 2 * 16 + 2);
    assert_eq!(request_rank(Some(255), 1), 15 * 16 + 1);
    assert_eq!(request_rank(Some(0), 255), 15);
}

/// What the second node decided, for comparisons.
#[derive(Debug, PartialEq)]
enum Decision {
    Runs(Option<String>),
    Waits,
    Refused,
}

fn decide(
    config: Option<&MeshConfig>,
    header: Result<Option<AccountHeader>, AccountHeaderError>,
    sender_version: u64,
    path: &str,
    expects_accounts: bool,
) -> Decision {
    let query = PeerIdentityQuery {
        header,
        sender_version: ConfigVersion(sender_version),
        host: Some("till.example"),
        path,
        expects_accounts,
    };
    match query.decide(config) {
        PeerIdentity::Known(account) => {
            Decision::Runs(account.map(|account| account.name.to_string()))
        }
        PeerIdentity::Behind => Decision::Waits,
        PeerIdentity::Refused => Decision::Refused,
    }
}

fn account_header(key: &str) -> AccountHeader {
    AccountHeader {
        proof: KeyProof::of_key(key),
        remaining: None,
    }
}

/// Guards against a second node that runs a request for which its configuration has no key, or
/// that refuses one for good by an older configuration.
#[test]
fn the_second_node_decides_by_its_own_configuration() {
    let runs = |name: &str| Decision::Runs(Some(name.to_owned()));
    let with = config(5, two_accounts());
    let (older, same, newer) = (4, 5, 6);
    let on = |header, sender, path| decide(Some(&with), header, sender, path, true);
    for sender in [older, same, newer] {
        assert_eq!(
            on(Ok(Some(account_header("k2"))), sender, "/k/x"),
            runs("till")
        );
        assert_eq!(
            on(Ok(Some(account_header("k3"))), sender, "/open/x"),
            runs("desk")
        );
        assert_eq!(on(Ok(None), sender, "/open/x"), Decision::Runs(None));
        for path in ["/k/x", "/open/x"] {
            assert_eq!(on(Err(AccountHeaderError), sender, path), Decision::Refused);
        }
    }
    for sender in [older, same] {
        assert_eq!(
            on(Ok(Some(account_header("k9"))), sender, "/k/x"),
            Decision::Refused
        );
        assert_eq!(
            on(Ok(Some(account_header("k9"))), sender, "/open/x"),
            Decision::Runs(None)
        );
        assert_eq!(on(Ok(None), sender, "/k/x"), Decision::Refused);
        assert_eq!(on(Ok(None), sender, "/no-route"), Decision::Refused);
    }
    for path in ["/k/x", "/open/x"] {
        assert_eq!(
            on(Ok(Some(account_header("k9"))), newer, path),
            Decision::Waits
        );
    }
    assert_eq!(on(Ok(None), newer, "/k/x"), Decision::Waits);
    assert_eq!(on(Ok(None), newer, "/no-route"), Decision::Waits);
    let without = config(5, Vec::new());
    let off = |header, sender| decide(Some(&without), header, sender, "/k/x", true);
    assert_eq!(off(Ok(None), newer), Decision::Runs(None));
    assert_eq!(off(Ok(Some(account_header("k1"))), newer), Decision::Waits);
    assert_eq!(
        off(Ok(Some(account_header("k1"))), same),
        Decision::Runs(None)
    );
    assert_eq!(decide(None, Ok(None), 1, "/k/x", true), Decision::Waits);
    assert_eq!(
        decide(None, Ok(Some(account_header("k1"))), 1, "/k/x", false),
        Decision::Waits
    );
    assert_eq!(
        decide(None, Ok(None), 1, "/k/x", false),
        Decision::Runs(None)
    );
}

proptest! {
    /// Guards against header bytes that stop a node, or that count as a proof of a known key.
    #[test]
    fn drawn_header_bytes_never_identify_an_account(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        text in "[0-9a-fA-F]{0,70},?[0-9-]{0,12}",
        key in "(?i)(bearer)?[ \t]?[ -~]{0,20}",
    ) {
        let config = config(5, two_accounts());
        for value in [HeaderValue::from_bytes(&bytes), HeaderValue::from_str(&text)] {
            let Ok(value) = value else { continue };
            let mut headers = HeaderMap::new();
            headers.insert(PEER_ACCOUNT_HEADER, value.clone());
            let header = AccountHeader::read(&headers);
            let decision = decide(Some(&config), header, 5, "/k/x", true);
            prop_assert_eq!(decision, Decision::Refused);
            strip_peer_headers(&mut headers);
            prop_assert!(headers.is_empty());
            let mut headers = HeaderMap::new();
            headers.insert(header::AUTHORIZATION, value);
            prop_assert!(identify_caller(&config.accounts, false, &headers).is_err());
        }
        let Ok(value) = HeaderValue::from_str(&key) else { return Ok(()) };
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, value);
        let sent = key.get(..7).filter(|scheme| scheme.eq_ignore_ascii_case("bearer "));
        let sent = sent.map(|_| key[7..].trim_start_matches(' '));
        let is_known = sent.is_some_and(|sent| ["k1", "k2", "k3"].contains(&sent));
        let identity = identify_caller(&config.accounts, false, &headers);
        prop_assert_eq!(identity.is_ok(), is_known);
        if let Ok(presented) = BearerKey::try_from(&headers) {
            prop_assert_eq!(Some(presented.proof()), sent.map(KeyProof::of_key));
        }
    }

    /// Guards against a proof that is changed on its way between nodes.
    #[test]
    fn an_account_header_survives_writing_and_reading(key in ".{1,40}", millis in any::<u32>()) {
        let proof = KeyProof::of_key(&key);
        for remaining in [None, Some(Duration::from_millis(millis.into()))] {
            let header = AccountHeader { proof, remaining };
            let value = header.value();
            prop_assert!(value.is_sensitive());
            prop_assert_eq!(value.to_str().expect("text").parse(), Ok(header));
        }
    }
}

/// Guards against time series whose number grows with the accounts or with their order.
#[test]
fn metrics_name_the_largest_accounts_and_a_bounded_number() {
    let inputs: Vec<AccountInput> = (0..200).map(|n| account(&format!("a{n}"), &[])).collect();
    let table = AccountTable::try_from(&*inputs).expect("good accounts");
    let rules: Vec<_> = table.rules().cloned().collect();
    let mut labels = AccountLabels::default();
    let mut names = std::collections::HashSet::new();
    for _ in 0..100 {
        names.insert(labels.record(&rules[0]));
    }
    for (number, rule) in rules.iter().enumerate() {
        for _ in 0..=number {
            names.insert(labels.record(rule));
        }
    }
    assert!(
        names.contains("other") && names.len() <= 33,
        "{}",
        names.len()
    );
    assert_eq!(&*labels.record(&rules[0]), "a0");
}

fn node_core() -> Rc<NodeCore> {
    let log = EventLog::new(Logger::root(Discard, o!()));
    NodeCore::new(settings(), headers(), log).expect("the metrics can be registered")
}

fn head(header: &HeaderValue) -> Parts {
    let request = Request::get("/k/x").header(header::HOST, "till.example");
    let request = request.header(PEER_ACCOUNT_HEADER, header).body(());
    request.expect("a request").into_parts().0
}

fn peer_header(version: u64) -> PeerRequestHeader {
    let text = format!("1,ff,0,1,1,400,{version},10.1.0.4:7600");
    text.parse().expect("a header")
}

/// Guards against a new key that is refused by a node which gets the version a moment later.
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_version_that_knows_its_key() {
    let core = node_core();
    assert!(core.adopt_config(config(5, two_accounts()), "test"));
    let value = account_header("k9").value();
    let head = head(&value);
    let adopted = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        core.adopt_config(config(6, vec![account("till", &["k9"])]), "test")
    };
    let header = peer_header(6);
    let (caller, _) = tokio::join!(core.identify_peer_caller(&head, &header), adopted);
    let caller = caller.expect("the key is known by then");
    assert_eq!(
        caller
            .account
            .map(|account| account.name.to_string())
            .as_deref(),
        Some("till")
    );
    assert_eq!(caller.valid_until, None);
    let begun = tokio::time::Instant::now();
    let value = account_header("k1").value();
    let head = self::head(&value);
    let refusal = core.identify_peer_caller(&head, &peer_header(7)).await;
    assert_eq!(
        refusal.expect_err("behind").reason,
        RefusalReason::ConfigBehind
    );
    assert_eq!(begun.elapsed(), Duration::from_millis(500));
    let refusal = core.identify_peer_caller(&head, &peer_header(6)).await;
    assert_eq!(
        refusal.expect_err("revoked").reason,
        RefusalReason::KeyUnknown
    );
    assert_eq!(begun.elapsed(), Duration::from_millis(500));
}

/// Guards against a stranger who makes a node believe that it is behind, or fetch from him.
#[test]
fn a_version_that_a_stranger_names_is_ignored_where_there_are_accounts() {
    let core = node_core();
    let stranger = peer_header(9).from;
    core.adopt_config(config(5, two_accounts()), "test");
    core.record_peer_version(ConfigVersion(9), stranger);
    assert!(!core.may_be_behind());
    assert!(core.newer_config_at.borrow().is_none());
    let core = node_core();
    core.adopt_config(config(5, Vec::new()), "test");
    core.record_peer_version(ConfigVersion(9), stranger);
    assert!(core.may_be_behind());
    assert!(core.newer_config_at.borrow().is_some());
}
