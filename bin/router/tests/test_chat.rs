//! Tests of parsing and validating chat requests.

use snipegate_router::chat::ChatRequest;
use snipegate_types::ResultCode;
use snipegate_types::RunState;
use snipegate_types::TokenCount;

fn refusal_code(body: &str) -> ResultCode {
    let refusal = ChatRequest::parse(body.as_bytes()).unwrap_err();
    assert_eq!(refusal.run, RunState::NotRun);
    refusal.code
}

#[test]
fn invalid_body_is_refused_with_specific_code() {
    let messages = r#""messages":[{"role":"user","content":"hi"}]"#;
    let cases = [
        ("{", ResultCode::MalformedBody),
        ("[]", ResultCode::MalformedBody),
        ("{}", ResultCode::MalformedBody),
        (r#"{"messages":[]}"#, ResultCode::MalformedBody),
        (
            r#"{"messages":[{"content":"x"}]}"#,
            ResultCode::MalformedBody,
        ),
        (
            &format!(r#"{{{messages},"max_token":5}}"#),
            ResultCode::UnknownField,
        ),
        (
            &format!(r#"{{{messages},"max_tokens":0}}"#),
            ResultCode::TokenCountInvalid,
        ),
        (
            &format!(r#"{{{messages},"max_tokens":-3}}"#),
            ResultCode::TokenCountInvalid,
        ),
        (
            &format!(r#"{{{messages},"max_tokens":1e9}}"#),
            ResultCode::TokenCountInvalid,
        ),
        (
            &format!(r#"{{{messages},"max_tokens":99999999999}}"#),
            ResultCode::TokenCountInvalid,
        ),
        (
            &format!(r#"{{{messages},"n":2}}"#),
            ResultCode::TokenCountInvalid,
        ),
        (
            &format!(r#"{{{messages},"stream":"yes"}}"#),
            ResultCode::MalformedBody,
        ),
        (
            &format!(r#"{{{messages},"model":"a b"}}"#),
            ResultCode::MalformedBody,
        ),
    ];
    for (body, code) in cases {
        assert_eq!(refusal_code(body), code, "{body}");
    }
}

#[test]
fn prompt_bound_includes_all_messages_and_tools() {
    let body = r#"{"messages":[{"role":"user","content":"holá"}],
        "tools":[{"type":"function"}],"max_completion_tokens":7,"max_tokens":9}"#;
    let chat = ChatRequest::parse(body.as_bytes()).unwrap();
    assert_eq!(chat.max_output, Some(TokenCount(7)));
    let tools = r#"[{"type":"function"}]"#;
    let text = "user\nholá\n".len() + tools.len();
    assert_eq!(chat.prompt_bound(1), TokenCount(text as u64 + 8));
}

#[test]
fn engine_body_requests_stream_with_usage_and_resolved_limit() {
    let body = r#"{"messages":[{"role":"user","content":"hi"}],"temperature":0.5,
        "max_completion_tokens":7}"#;
    let chat = ChatRequest::parse(body.as_bytes()).unwrap();
    let sent = chat.engine_body(&"m1".parse().unwrap(), TokenCount(5));
    let sent: serde_json::Value = serde_json::from_str(&sent).unwrap();
    assert_eq!(sent["model"], "m1");
    assert_eq!(sent["max_tokens"], 5);
    assert_eq!(sent["stream"], true);
    assert_eq!(sent["stream_options"]["include_usage"], true);
    assert_eq!(sent["temperature"], 0.5);
    assert!(sent.get("max_completion_tokens").is_none());
}
