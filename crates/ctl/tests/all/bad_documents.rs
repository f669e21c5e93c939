//! Bad documents: each with its code, line and field.

use std::{fmt::Write, fs};

use clap::Parser;
use geranium_ctl::{Invocation, Session, exit_status, run};

use crate::support::directory;

const ROUTE: &str = r#"{"name": "prices", "path_prefix": "/p/", "service": "verdskra", "class": "short", "deadline_ms": 2000}"#;

fn document(services: &str, routes: &str, fleet: &str) -> String {
    format!(
        "{{\n  \"services\": [\n    {services}\n  ],\n  \"routes\": [\n    {routes}\n  ],\n  \"fleet\": {fleet}\n}}\n"
    )
}

fn cases() -> Vec<(&'static str, String)> {
    let service = r#"{"name": "verdskra"}"#;
    let fleet = "{}";
    let twice = |text: &str| format!("{text},\n    {text}");
    vec![
        ("not-json", "{\"services\": [\n".to_owned()),
        (
            "unknown-field",
            document(r#"{"name": "verdskra", "qeue": 3}"#, "", fleet),
        ),
        (
            "wrong-type",
            document(r#"{"name": "verdskra", "queue": "many"}"#, "", fleet),
        ),
        (
            "unknown-class",
            document(service, &ROUTE.replace("short", "fast"), fleet),
        ),
        (
            "bad-service-name",
            document(r#"{"name": "Verð skrá"}"#, "", fleet),
        ),
        (
            "bad-route-name",
            document(service, &ROUTE.replace("prices", ""), fleet),
        ),
        (
            "queue-too-long",
            document("{\"name\": \"verdskra\",\n     \"queue\": 5000}", "", fleet),
        ),
        (
            "no-slots",
            document(r#"{"name": "verdskra", "slots": 0}"#, "", fleet),
        ),
        (
            "availability-of-one",
            document(
                "{\"name\": \"verdskra\", \"objective\": {\n      \"availability\": 1.0, \"latency_ms\": 9, \"latency_share\": 0.9}}",
                "",
                fleet,
            ),
        ),
        (
            "relative-prefix",
            document(service, &ROUTE.replace("\"/p/\"", "\"p/\""), fleet),
        ),
        (
            "nodes-own-prefix",
            document(service, &ROUTE.replace("/p/", "/.geranium/"), fleet),
        ),
        (
            "no-deadline",
            document(service, &ROUTE.replace("2000", "0"), fleet),
        ),
        (
            "no-hops",
            document(
                service,
                ROUTE,
                "{\"poison_crashes\": 2,\n    \"hops_max\": 0}",
            ),
        ),
        ("service-twice", document(&twice(service), "", fleet)),
        ("route-twice", document(service, &twice(ROUTE), fleet)),
        (
            "prefix-twice",
            document(
                service,
                &format!("{ROUTE},\n    {}", ROUTE.replace("prices", "other")),
                fleet,
            ),
        ),
        (
            "missing-service",
            document(service, &ROUTE.replace("verdskra", "pantanir"), fleet),
        ),
        (
            "too-large",
            document(service, &format!("{ROUTE}{}", " ".repeat(1_000_000)), fleet),
        ),
    ]
}

#[test]
fn each_bad_document_is_told_with_code_line_and_field() {
    let directory = directory("bad_documents");
    let mut told = String::new();
    for (case, text) in cases() {
        let path = directory.join(format!("{case}.json"));
        fs::write(&path, text).unwrap();
        let invocation =
            Invocation::try_parse_from(["geranium-ctl", "check", path.to_str().unwrap()]).unwrap();
        let session = Session::try_from(&invocation).unwrap();
        let error = run(&session, &invocation.command, invocation.output).unwrap_err();
        let message = invocation.output.error(&error);
        let message = message.replace(&format!("{}/", directory.display()), "");
        writeln!(told, "{message} [exit {}]", exit_status(error.code())).unwrap();
    }
    insta::assert_snapshot!(told);
}
