//! Which requests count as the same.

use snipegate_gateway::PromptPart;
use snipegate_gateway::PromptShape;
use snipegate_gateway::digest_request;
use snipegate_http1::RequestHead;
use snipegate_types::PartId;
use snipegate_types::RequestDigest;
use snipegate_types::TokenCount;
use snipegate_types::WorkspaceId;

fn digest(
    method: &str,
    path: &str,
    id: &str,
    workspace: &str,
    body: &str,
    parts: &[u64],
) -> RequestDigest {
    let mut head = RequestHead::new(method, path);
    head.headers.push("X-Attempt-Id", id);
    head.headers.push("X-Deadline-Ms", "600");
    let workspace: WorkspaceId = workspace.parse().expect("name should be valid");
    let part = |id: &u64| PromptPart {
        id: PartId(*id),
        tokens: 10,
    };
    let prompt = PromptShape {
        input: TokenCount(10),
        max_output: TokenCount(1),
        parts: parts.iter().map(part).collect(),
    };
    digest_request(&head, Some(&workspace), Some(&prompt), body.as_bytes())
}

#[test]
fn request_that_comes_again_under_another_id_has_the_same_digest() {
    let first = digest("POST", "/a/1", "id-1", "acme", "text", &[1, 2]);
    assert_eq!(
        digest("POST", "/a/1", "id-2", "acme", "text", &[1, 2]),
        first
    );
}

#[test]
fn requests_that_differ_in_anything_that_an_upstream_runs_have_other_digests() {
    let digests = [
        digest("POST", "/a/1", "id", "acme", "text", &[1, 2]),
        digest("GET", "/a/1", "id", "acme", "text", &[1, 2]),
        digest("POST", "/a/2", "id", "acme", "text", &[1, 2]),
        digest("POST", "/a/1", "id", "bolt", "text", &[1, 2]),
        digest("POST", "/a/1", "id", "acme", "other", &[1, 2]),
        digest("POST", "/a/1", "id", "acme", "text", &[1, 3]),
        digest("POST", "/a/1a", "id", "cme", "text", &[1, 2]),
    ];
    for (number, digest) in digests.iter().enumerate() {
        assert!(!digests[..number].contains(digest), "digest {number}");
    }
}
