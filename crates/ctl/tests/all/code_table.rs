//! Check that `docs/CODES.md` matches the source of the result codes.
//!
//! With `GERANIUM_UPDATE=1` the test writes the page.

use std::{fmt::Write, fs, path::Path};

use geranium_ctl::exit_status;
use geranium_node::result_code::ResultCode;
use strum::VariantArray;

const HEAD: &str = "\
# Result codes

Every refusal, error and log line carries one of these numbers. A number never
gets another meaning. The HTTP status is what callers see; the exit status is
that of `geranium-ctl` and `geranium-burn` (first and last digit of the number;
2 stands for a bad command line). This table is made from the code:
`GERANIUM_UPDATE=1 cargo test -p geranium-ctl code_table`.

| number | name | HTTP status | exit status | meaning |
| --- | --- | --- | --- | --- |
";

/// Returns the number and the doc comment of each variant.
fn meanings(source: &str) -> Vec<(u16, String)> {
    let mut found = Vec::new();
    let mut comment = String::new();
    for line in source.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("///") {
            comment.push_str(text);
        } else if let Some((_, number)) = line
            .strip_suffix(',')
            .and_then(|line| line.split_once(" = "))
        {
            found.push((number.parse().unwrap(), comment.trim().to_owned()));
            comment.clear();
        } else {
            comment.clear();
        }
    }
    found
}

fn table() -> String {
    let model = Path::new(env!("CARGO_MANIFEST_DIR")).join("../node/src/result_code.rs");
    let meanings = meanings(&fs::read_to_string(model).unwrap());
    assert_eq!(
        meanings.len(),
        ResultCode::VARIANTS.len(),
        "a variant has no comment or number"
    );
    let mut text = HEAD.to_owned();
    for (code, (number, meaning)) in ResultCode::VARIANTS.iter().zip(meanings) {
        assert_eq!(code.number(), number);
        let has_exit = number == 0 || number >= 200;
        let exit = if has_exit {
            exit_status(*code).to_string()
        } else {
            String::new()
        };
        let status = code.http_status();
        writeln!(
            text,
            "| {number} | `{code}` | {status} | {exit} | {meaning} |"
        )
        .unwrap();
    }
    text
}

#[test]
fn the_table_matches_the_codes() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CODES.md");
    let table = table();
    if std::env::var_os("GERANIUM_UPDATE").is_some() {
        fs::write(&path, &table).unwrap();
    }
    let written = fs::read_to_string(&path).unwrap();
    assert!(
        written == table,
        "docs/CODES.md is out of date: its first paragraph says how to generate it"
    );
}
