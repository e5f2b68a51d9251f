//! Identifiers, sizes and rates parse their own output and reject invalid input.

use snipegate_types::IdError;
use snipegate_types::IncarnationId;
use snipegate_types::OperationId;
use snipegate_types::RequestId;
use snipegate_types::ShardId;
use snipegate_types::SizeError;
use snipegate_types::TokenCount;
use snipegate_types::TokenRate;
use snipegate_types::WorkspaceId;

fn workspace(name: &str) -> WorkspaceId {
    name.parse().unwrap()
}

#[test]
fn names_are_validated() {
    assert_eq!("".parse::<WorkspaceId>(), Err(IdError::Empty));
    assert_eq!(
        "a b".parse::<WorkspaceId>(),
        Err(IdError::InvalidCharacter { found: ' ' })
    );
    assert_eq!(
        "x".repeat(129).parse::<WorkspaceId>(),
        Err(IdError::TooLong { bytes: 129 })
    );
    assert_eq!(workspace("depot-7.mvd_1").to_string(), "depot-7.mvd_1");
}

#[test]
fn operation_ids_are_formatted_as_hexadecimal() {
    let operation = OperationId::from_number(0xfeed);
    let text = "0000000000000000000000000000feed";
    assert_eq!(operation.to_string(), text);
    assert_eq!(text.parse(), Ok(operation));
    assert_eq!("feed".parse::<OperationId>(), Err(IdError::InvalidHex));
}

#[test]
fn incarnation_ids_round_trip_as_text() {
    let text = "vm-3/router/18f";
    assert_eq!(text.parse::<IncarnationId>().unwrap().to_string(), text);
    for invalid in ["vm-3/router", "vm-3/router/xyz", "vm-3/cook/1", "a/b/c/d"] {
        assert!(invalid.parse::<IncarnationId>().is_err(), "{invalid}");
    }
}

#[test]
fn request_id_depends_on_workspace_and_key() {
    let id = RequestId::from_idempotency_key(&workspace("a"), "k");
    assert_eq!(id, RequestId::from_idempotency_key(&workspace("a"), "k"));
    assert_ne!(id, RequestId::from_idempotency_key(&workspace("b"), "k"));
    assert_ne!(id, RequestId::from_idempotency_key(&workspace("a"), "l"));
}

#[test]
fn workspaces_are_spread_over_all_shards() {
    let mut seen = [false; 8];
    for number in 0..200 {
        let shard = ShardId::for_workspace(&workspace(&format!("w{number}")), 8);
        seen[usize::from(shard.0)] = true;
    }
    assert_eq!(seen, [true; 8]);
}

#[test]
fn sizes_and_rates_parse_units() {
    assert_eq!("8M".parse(), Ok(TokenCount(8_000_000)));
    assert_eq!("8T".parse::<TokenCount>(), Err(SizeError::InvalidUnit));
    assert_eq!("-1".parse::<TokenCount>(), Err(SizeError::InvalidNumber));
    assert_eq!("2.5/s".parse(), Ok(TokenRate(2.5)));
    assert_eq!("NaN".parse::<TokenRate>(), Err(SizeError::InvalidNumber));
    let span = std::time::Duration::from_millis(1_500);
    assert_eq!(TokenRate(3.0).tokens_in(span), TokenCount(5));
}
