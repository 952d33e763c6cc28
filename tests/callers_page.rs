//! The examples of docs/CALLERS.md, sent to a running host.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up fails the test")]

use std::{fs, path::PathBuf};

#[path = "support/hosts.rs"]
mod hosts;

use hosts::{BOOKING, Member, header, served};

/// One `curl` line of the page.
struct Example {
    body: Option<String>,
    headers: Vec<Line>,
    post: bool,
    url: String,
}

struct Line {
    name: String,
    value: String,
}

fn examples() -> Vec<Example> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs/CALLERS.md");
    let text = fs::read_to_string(path).unwrap();
    text.lines().filter(|line| line.starts_with("curl ")).map(parse).collect()
}

/// The words between quotes follow their flags; the one without a flag is the address.
fn parse(line: &str) -> Example {
    let mut example = Example {
        body: None,
        headers: Vec::new(),
        post: line.contains("-X POST"),
        url: String::new(),
    };
    let mut parts = line.split('\'');
    while let (Some(before), Some(word)) = (parts.next(), parts.next()) {
        match before.trim().rsplit(' ').next() {
            Some("-H") => {
                let (name, value) = word.split_once(": ").unwrap();
                example.headers.push(Line { name: name.into(), value: value.into() });
            }
            Some("-d") => example.body = Some(word.into()),
            _ => example.url = word.into(),
        }
    }
    example
}

#[tokio::test(flavor = "multi_thread")]
async fn every_example_is_answered() {
    let mut member = Member::open().await;
    let host = member.host("a-1", &[]).await;
    let binding = member.look_up(&host, BOOKING).await.unwrap().binding.to_string();
    let address = host.http_addr().to_string();
    let examples = examples();
    assert_eq!(examples.len(), 3);
    for example in examples {
        let url = example.url.replace("HOST", &address);
        let request = |number: &str| {
            let mut req = if example.post { member.http.post(&url) } else { member.http.get(&url) };
            for Line { name, value } in &example.headers {
                let value = match name.as_str() {
                    "idempotency-key" => format!("{value}-{number}"),
                    _ => value.replace("BINDING", &binding),
                };
                req = req.header(name, value);
            }
            req.body(example.body.clone().unwrap_or_default())
        };
        let res = served("copy", request).await.res;
        assert_eq!(res.status().as_u16(), 200, "{url}: {}", header(&res, "lavender-error"));
    }
}
