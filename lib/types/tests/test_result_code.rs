//! The table in `docs/RESULT-CODES.md` matches the `ResultCode` enum.

use snipegate_types::ResultCode;
use strum::IntoEnumIterator;

const DOCUMENTATION: &str = include_str!("../../../docs/RESULT-CODES.md");

fn documented_rows() -> Vec<Vec<String>> {
    DOCUMENTATION
        .lines()
        .filter(|line| {
            line.starts_with("| ") && line[2..].starts_with(|c: char| c.is_ascii_digit())
        })
        .map(|line| line.split('|').map(|cell| cell.trim().to_owned()).collect())
        .collect()
}

#[test]
fn documentation_matches_every_code() {
    let expected: Vec<Vec<String>> = ResultCode::iter()
        .map(|code| {
            let retryable = match code.is_retryable() {
                true => "yes",
                false => "no",
            };
            vec![
                code.number().to_string(),
                code.to_string(),
                code.http_status().to_string(),
                retryable.to_owned(),
            ]
        })
        .collect();
    let documented: Vec<Vec<String>> = documented_rows()
        .into_iter()
        .map(|row| row[1..5].to_vec())
        .collect();
    assert_eq!(documented, expected);
}

#[test]
fn every_code_has_a_documented_meaning() {
    for row in documented_rows() {
        assert!(row[5].ends_with('.'), "no meaning in {row:?}");
    }
}

#[test]
fn code_numbers_are_unique_and_names_round_trip() {
    let mut numbers: Vec<u16> = ResultCode::iter().map(ResultCode::number).collect();
    let count = numbers.len();
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), count);
    for code in ResultCode::iter() {
        assert_eq!(code.to_string().parse(), Ok(code));
        assert_eq!(ResultCode::from_repr(code.number()), Some(code));
    }
}
