//! Tests of decoding what the platform writes, including damaged data, and of the headers.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, Uri};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use serde_json::{Value, json};

use super::{PlatformProtocol, restore_counter::RestoreCounter};
use crate::{
    entry::{
        CallerKey, CallerLocation, CallerMetadata, Idempotency, KeyDigest, Protocol, TeamLimit,
    },
    placement::NamedLimit,
    prelude::*,
    store::StorePoint,
};

fn server() -> Value {
    json!({
        "metadata": { "name": "i-1", "revision": 7 },
        "spec": {
            "address": "10.1.0.9:8080",
            "born": 1_700_000_000_000_u64,
            "info": { "service": "desk", "version": "v1", "zone": "north-a", "slots": 3 },
        },
        "status": { "state": "ready", "sequence": 4, "coldRemaining": "2.5s" },
    })
}

fn config() -> Value {
    json!({ "metadata": { "name": "main", "revision": 3 }, "spec": {
        "version": "0000001c",
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeout": "3s",
            "idleTimeout": "15000ms",
        },
        "listeners": [{ "hostname": "a.example", "rules": [
            { "name": "r-1", "kind": "safe", "targetLatency": "400ms", "priority": 2,
              "sessionAffinity": true, "match": { "pathPrefix": "/a/" },
              "action": { "trafficSplit": [
                  { "service": "s", "weight": 90 }, { "service": "t", "weight": 10 },
              ], "timeout": "2s", "maxAttempts": 2, "allowedRegions": ["north"] } },
            { "name": "r-2", "kind": "unsafe", "targetLatency": "400ms",
              "match": { "pathPrefix": "/a/b/" },
              "action": { "service": "t", "timeout": "2500ms" } },
        ] }],
        "clusters": [{ "name": "s", "coldPerS": 6.4, "coldStart": "2500ms", "maxConnections": 390 }],
    } })
}

fn bytes(value: &Value) -> Vec<u8> {
    serde_json::to_vec(value).expect("JSON")
}

#[test]
fn target_entry_is_decoded() {
    let entry = PlatformProtocol.decode_target("i-1", &bytes(&server())).expect("an entry");
    assert_eq!(entry.addr, "10.1.0.9:8080".parse().expect("an address"));
    assert_eq!((&*entry.id, &*entry.service, &*entry.zone), ("i-1", "desk", "north-a"));
    assert_eq!((entry.slots, entry.started, entry.ready), (3, 1_700_000_000_000, true));
    assert_eq!(entry.cold_for, Duration::from_millis(2500));
}

/// What hosts write is returned as it was written, whatever the store adds to the object.
#[test]
fn written_value_is_read_back() {
    let written = |object: &Value| PlatformProtocol.written_value(&bytes(object));
    let object = json!({ "metadata": { "name": "north", "revision": 7 }, "spec": { "a": [1.5] } });
    assert_eq!(written(&object).expect("a value"), r#"{"a":[1.5]}"#);
    assert!(written(&json!({ "metadata": {} })).is_err());
    assert!(PlatformProtocol.written_value(b"\xff").is_err());
}

/// Guards against using an entry with missing fields, wrong types or an unknown state. Guessed
/// values could send requests to an address that does not belong to the service.
#[test]
fn invalid_target_entry_is_refused() {
    let decode_with = |pointer: &str, value: Value| {
        let mut entry = server();
        *entry.pointer_mut(pointer).expect("a field") = value;
        PlatformProtocol.decode_target("i-1", &bytes(&entry))
    };
    for (pointer, value) in [
        ("/spec/address", json!("nowhere")),
        ("/spec/address", Value::Null),
        ("/spec/info", json!([])),
        ("/spec/info/service", json!(4)),
        ("/spec/info/slots", json!("3")),
        ("/spec/info/slots", json!(0)),
        ("/spec/info/zone", Value::Null),
        ("/spec/born", json!("yesterday")),
        ("/status/state", json!("dreaming")),
        ("/status", Value::Null),
        ("/status", json!({ "state": "ready", "sequence": 4 })),
        ("/status", json!({ "state": "ready", "coldRemaining": "0ms" })),
        ("/spec/info", json!({ "service": "desk", "zone": "north-a", "slots": 3 })),
        ("/status/coldRemaining", json!("soon")),
    ] {
        assert!(decode_with(pointer, value.clone()).is_err(), "{pointer} = {value}");
    }
    assert!(PlatformProtocol.decode_target("i-1", b"\xff\x00").is_err());
}

/// Guards against requests that do not name their target, because no header can hold its id.
#[test]
fn a_target_whose_id_no_header_can_hold_is_refused() {
    let decode = |id: &str| PlatformProtocol.decode_target(id, &bytes(&server()));
    for id in ["a b", "a&b", "a+b", "a#b", "a%7a", "x/i-1", "é"] {
        assert!(decode(id).is_ok(), "{id:?}");
    }
    for id in ["", "i\n1", "i\u{1}", "i\u{7f}", &"i".repeat(100_000)] {
        assert!(decode(id).is_err(), "{id:?}");
    }
}

#[test]
fn configuration_is_decoded() {
    let declaration =
        PlatformProtocol.decode_declaration(&bytes(&config())).expect("a configuration");
    assert_eq!(declaration.version, 0x1c);
    assert_eq!(declaration.max_body_bytes, 1000);
    let long = declaration.route("a.example:80", "/a/b/c").expect("a route");
    assert_eq!((long.idempotency, long.max_attempts), (Idempotency::NonIdempotent, 1));
    assert_eq!(long.split, [("t".into(), 1.0)]);
    let short = declaration.route("a.example", "/a/c").expect("a route");
    assert_eq!(
        (short.idempotency, short.max_attempts, short.sticky),
        (Idempotency::Idempotent, 2, true)
    );
    assert_eq!(short.allowed_regions, ["north".into()]);
    assert_eq!(short.split.len(), 2);
    assert_eq!(&*short.key, "a.example/a/");
    assert!(declaration.route("a.example", "/other").is_none());
    assert!(declaration.route("b.example", "/a/").is_none());
    assert_eq!(declaration.services["s"].cold_rate, 6.4);
    assert_eq!(declaration.services["s"].cold_start, Some(Duration::from_millis(2500)));
}

#[test]
fn headers_are_read_and_written() {
    let mut headers = HeaderMap::new();
    headers.insert("lavenderplank-attempt-id", HeaderValue::from_static("x1"));
    headers.insert("lavenderplank-time-remaining", HeaderValue::from_static("1500"));
    headers.insert("cookie", HeaderValue::from_static("a=b; Lavenderplank-Affinity-Key=17"));
    let metadata = PlatformProtocol.caller_metadata(&headers);
    let expected = CallerMetadata {
        attempt_id: Some("x1".into()),
        key: CallerKey::Missing,
        object: Some("17".into()),
        time_left: Some(Duration::from_millis(1500)),
    };
    assert_eq!(metadata, expected);
    PlatformProtocol.add_target_headers(
        &mut headers,
        &"i-1".into(),
        None,
        Duration::from_millis(900),
    );
    assert_eq!(headers["lavenderplank-expected-instance"], "i-1");
    assert_eq!(headers["lavenderplank-time-remaining"], "900");
    let mut reply = HeaderMap::new();
    reply.insert("lavenderplank-not-executed", HeaderValue::from_static("1"));
    reply.insert("lavenderplank-server-load", HeaderValue::from_static("3,1,8"));
    let metadata = PlatformProtocol.reply_metadata(StatusCode::SERVICE_UNAVAILABLE, &reply);
    assert!(metadata.not_run && !metadata.signed && !metadata.wrong_target);
    assert_eq!(metadata.load, Some((3, 1)));
    assert!(PlatformProtocol.reply_metadata(StatusCode::MISDIRECTED_REQUEST, &reply).wrong_target);
}

/// Guards against facts of a later platform that are lost without a trace.
#[test]
fn unknown_headers_of_the_platform_are_found() {
    let mut headers = HeaderMap::new();
    for name in ["lavenderplank-news", "server-news", "x-other", "server", "content-length"] {
        headers.insert(name, HeaderValue::from_static("7"));
    }
    for name in
        ["lavenderplank-server-load", "server-limit", "server-leaving", "lavenderplank-server-seal"]
    {
        headers.insert(name, HeaderValue::from_static("1"));
    }
    let mut unknown = PlatformProtocol.unknown_reply_headers(&headers);
    unknown.sort_unstable_by_key(|name| name.as_str());
    assert_eq!(unknown, ["lavenderplank-news", "server-news"]);
}

/// Guards against a limit that panics, is missed, or counts as none because of its spelling.
#[test]
fn limits_of_targets_are_read() {
    let limit = |values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append("server-limit", HeaderValue::from_str(value).expect("a value"));
        }
        PlatformProtocol.reply_metadata(StatusCode::OK, &headers).statement.limit
    };
    assert_eq!(limit(&[]), None);
    for (values, expected) in [
        (&["2.2"][..], 2.2),
        (&[" 20 "], 20.0),
        (&["0"], 0.0),
        (&["-3"], 0.0),
        (&["5", "0.5"], 0.5),
        (&["soon", "4"], 4.0),
    ] {
        assert_eq!(limit(values), Some(NamedLimit::PerSecond(expected)), "{values:?}");
    }
    for values in [&["soon"][..], &[""], &["NaN"], &["inf"], &["-inf"], &["1e999"]] {
        assert_eq!(limit(values), Some(NamedLimit::Unreadable), "{values:?}");
    }
    let mut headers = HeaderMap::new();
    headers.insert("lavenderplank-server-limit", HeaderValue::from_static("7"));
    let with_prefix = PlatformProtocol.reply_metadata(StatusCode::BAD_GATEWAY, &headers);
    assert_eq!(with_prefix.statement.limit, Some(NamedLimit::PerSecond(7.0)));
}

/// Guards against a target that leaves unseen because of the spelling, and against one taken out
/// for another value.
#[test]
fn leaving_targets_are_recognized() {
    let is_leaving = |name: &'static str, value: &str| {
        let mut headers = HeaderMap::new();
        headers.insert(name, HeaderValue::from_str(value).expect("a value"));
        let status = StatusCode::INTERNAL_SERVER_ERROR;
        PlatformProtocol.reply_metadata(status, &headers).statement.is_leaving
    };
    assert!(is_leaving("server-leaving", "1") && is_leaving("server-leaving", " 1 "));
    assert!(is_leaving("lavenderplank-server-leaving", "1"));
    assert!(!is_leaving("server-leaving", "0") && !is_leaving("server-leaving", "later"));
    assert!(!is_leaving("server-limit", "1"));
}

/// Guards against a rest that panics, is cut to whole seconds, or is read where none was asked for.
#[test]
fn rests_of_targets_are_read() {
    let rest = |status: StatusCode, values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append("retry-after", HeaderValue::from_str(value).expect("a value"));
        }
        PlatformProtocol.reply_metadata(status, &headers).statement.rest
    };
    let full = StatusCode::SERVICE_UNAVAILABLE;
    for (values, millis) in
        [(&["3"][..], 3_000), (&[" 0.25 "], 250), (&["0"], 0), (&["-1"], 0), (&["1", "2"], 2_000)]
    {
        assert_eq!(rest(full, values), Some(Duration::from_millis(millis)), "{values:?}");
    }
    for values in [&["1e300"][..], &["inf"]] {
        assert_eq!(rest(full, values), Some(Duration::MAX), "{values:?}");
    }
    assert_eq!(rest(full, &["NaN"]), Some(Duration::ZERO));
    for values in [&[][..], &[""], &["soon"], &["Wed, 21 Oct 2026 07:28:00 GMT"]] {
        assert_eq!(rest(full, values), None, "{values:?}");
    }
    assert_eq!(rest(StatusCode::TOO_MANY_REQUESTS, &["3"]), None, "only 503 asks for a rest");
}

#[test]
fn lookup_is_parsed_and_response_encoded() {
    let uri: Uri = "/api/resolve?name=a&region=north&zone=north-a".parse().expect("a path");
    let location = CallerLocation { region: "north".into(), zone: "north-a".into() };
    assert_eq!(PlatformProtocol.parse_lookup(&uri), Some(location));
    assert_eq!(PlatformProtocol.parse_lookup(&"/other".parse().expect("a path")), None);
    let response = PlatformProtocol.encode_lookup_response(
        &["10.0.0.1:80".parse().expect("an address")],
        Duration::from_secs(2),
    );
    let response: Value = serde_json::from_slice(&response).expect("JSON");
    assert_eq!(response, json!({ "addresses": ["10.0.0.1:80"], "ttl": "2000ms" }));
}

/// Guards against passing a caller's key or a forged team name on to a target.
#[test]
fn caller_keys_and_forged_teams_are_removed() {
    let mut headers = HeaderMap::new();
    headers.insert("lavenderplank-key", HeaderValue::from_static("k-1"));
    headers.append("lavenderplank-tenant", HeaderValue::from_static("vega"));
    headers.append("lavenderplank-tenant", HeaderValue::from_static("lyra"));
    let key = PlatformProtocol.caller_metadata(&headers).key;
    assert_eq!(key, CallerKey::One(KeyDigest::of(b"k-1")));
    let add_headers = |headers: &mut HeaderMap, team: Option<&str>| {
        let team = team.map(TeamId::from);
        PlatformProtocol.add_target_headers(
            headers,
            &"i-1".into(),
            team.as_ref(),
            Duration::from_secs(1),
        );
    };
    let mut with_team = headers.clone();
    add_headers(&mut with_team, Some("altair"));
    assert!(!with_team.contains_key("lavenderplank-key"));
    let teams: Vec<_> = with_team.get_all("lavenderplank-tenant").iter().collect();
    assert_eq!(teams, ["altair"]);
    add_headers(&mut headers, None);
    assert!(!headers.contains_key("lavenderplank-tenant"));
    let mut multiple = HeaderMap::new();
    multiple.append("lavenderplank-key", HeaderValue::from_static("k-1"));
    multiple.append("lavenderplank-key", HeaderValue::from_static("k-1"));
    assert_eq!(PlatformProtocol.caller_metadata(&multiple).key, CallerKey::Multiple);
}

fn with_teams(teams: Value) -> Vec<u8> {
    let mut config = config();
    config["spec"]["tenants"] = teams;
    bytes(&config)
}

#[test]
fn teams_are_decoded() {
    let team = json!([{ "name": "lyra", "apiKeys": ["k-1", "k-2"], "priority": 0, "ratePerS": 367,
        "burst": 36.5, "allowedRegions": ["north"] }, { "name": "vega" }]);
    let declaration =
        PlatformProtocol.decode_declaration(&with_teams(team)).expect("a configuration");
    let lyra = declaration.teams.find_by_key(&KeyDigest::of(b"k-2")).expect("a team");
    assert_eq!((&*lyra.name, lyra.priority), ("lyra", Some(0)));
    assert_eq!(lyra.limit, Some(TeamLimit { burst: 36.5, rate: 367.0 }));
    assert_eq!(lyra.allowed_regions, ["north".into()]);
    let names: Vec<&str> = declaration.teams.iter().map(|team| &*team.name).collect();
    assert_eq!(names, ["lyra", "vega"]);
    let route = declaration.route("a.example", "/a/").expect("a route");
    assert!(!route.public);
}

/// Guards against accepting partly invalid teams and against keys in error messages.
#[test]
fn errors_name_the_team_but_not_its_keys() {
    for (field, value) in [
        ("apiKeys", json!("k-secret")),
        ("apiKeys", json!(["k-secret", ""])),
        ("apiKeys", json!(["k-secret", 4])),
        ("ratePerS", json!(-1)),
        ("ratePerS", json!("k-secret")),
        ("burst", json!(-0.5)),
        ("priority", json!("high")),
        ("allowedRegions", json!("north")),
    ] {
        let teams = json!([{ "name": "lyra", field: value.clone() }]);
        let error = PlatformProtocol.decode_declaration(&with_teams(teams)).expect_err("an error");
        assert!(error.0.contains("`lyra`") && !error.0.contains("secret"), "{field}: {error}");
    }
    let shared = json!([{ "name": "a", "apiKeys": ["k-secret"] },
        { "name": "b", "apiKeys": ["k-secret"] }]);
    let error = PlatformProtocol.decode_declaration(&with_teams(shared)).expect_err("an error");
    assert!(error.0.contains("`a` and `b`") && !error.0.contains("secret"), "{error}");
}

/// Guards against exposing keys to other hosts or in their logs.
#[test]
fn keys_are_replaced_by_digests() {
    let teams = json!([{ "name": "lyra", "apiKeys": ["k-secret"], "priority": 1 }]);
    let object = with_teams(teams);
    let digested =
        PlatformProtocol.replace_keys_by_digests(object.clone().into()).expect("an object");
    assert!(!String::from_utf8_lossy(&digested).contains("secret"));
    let read =
        |object: &[u8]| PlatformProtocol.decode_declaration(object).expect("a configuration");
    assert_eq!(read(&digested), read(&object));
    assert_eq!(
        PlatformProtocol.replace_keys_by_digests(digested.clone()).expect("an object"),
        digested
    );
    let plain: bytes::Bytes = bytes(&config()).into();
    assert_eq!(PlatformProtocol.replace_keys_by_digests(plain.clone()).expect("an object"), plain);
    let error = PlatformProtocol.replace_keys_by_digests(with_teams(json!("k-secret")).into());
    assert!(!error.expect_err("an error").0.contains("secret"));
}

/// Guards against panics on damaged entries, configurations and headers: they must be decoded or
/// refused.
#[test]
fn damaged_data_does_not_panic() {
    let config_run = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config_run, rng);
    let texts = [bytes(&server()), bytes(&config())];
    let edits = (0..2_usize, any::<prop::sample::Index>(), 0..9_usize, any::<[u8; 3]>());
    runner
        .run(&edits, |(which, at, cut, put)| {
            let mut text = texts[which].clone();
            let at = at.index(text.len());
            let end = (at + cut).min(text.len());
            text.splice(at..end, put);
            let _ = PlatformProtocol.decode_target("i-1", &text);
            let _ = PlatformProtocol.decode_declaration(&text);
            let _ = PlatformProtocol.replace_keys_by_digests(text.clone().into());
            let _ = PlatformProtocol.decode_host(&text);
            let mut headers = HeaderMap::new();
            for name in ["cookie", "lavenderplank-time-remaining", "lavenderplank-server-load"] {
                if let Ok(value) = HeaderValue::from_bytes(&text[at..(at + 20).min(text.len())]) {
                    headers.insert(HeaderName::from_static(name), value);
                }
            }
            let _ = PlatformProtocol.caller_metadata(&headers);
            let _ = PlatformProtocol.reply_metadata(StatusCode::OK, &headers);
            Ok(())
        })
        .expect("no panic");
}

/// The platform's names may appear in this folder only: elsewhere they would tie the code to one
/// platform.
#[test]
fn no_other_folder_contains_platform_names() {
    const NAMES: [&str; 16] = [
        "lavenderplank-attempt",
        "lavenderplank-time",
        "lavenderplank-expected",
        "lavenderplank-server",
        "lavenderplank-not-exec",
        "lavenderplank-affinity",
        "trafficsplit",
        "pathprefix",
        "coldremaining",
        "allowedregions",
        "apikeys",
        "lavenderplank-key",
        "lavenderplank-tenant",
        "ratepers",
        "/api/objects",
        "/api/re",
    ];
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut dirs = vec![root.clone()];
    let mut read = 0;
    while let Some(dir) = dirs.pop() {
        for item in std::fs::read_dir(dir).expect("a folder") {
            let path = item.expect("an item").path();
            if path.is_dir() {
                if path != root.join("platform") {
                    dirs.push(path);
                }
                continue;
            }
            read += 1;
            let text = std::fs::read_to_string(&path).expect("a text").to_lowercase();
            let found: Vec<&str> = NAMES.into_iter().filter(|name| text.contains(name)).collect();
            assert!(found.is_empty(), "{} contains {found:?}", path.display());
        }
    }
    assert!(100 < read, "only {read} files were read");
}

/// Guards against responses from before a restore of the store, and against a damaged header that
/// would make a host ignore all correct responses after it.
#[test]
fn the_number_of_restores_has_a_defined_effect_whatever_is_stated() {
    let counter = RestoreCounter::default();
    let record = |stated| counter.record(stated).ok();
    assert_eq!(record(None), Some(0), "a store that states none");
    assert_eq!(record(Some("7")), Some(7), "the first number may be any");
    assert_eq!(record(Some("8")), Some(8));
    assert_eq!(record(Some("7")), None, "a late response");
    for unreadable in [None, Some("many"), Some("-1"), Some(""), Some("900"), Some("99999999999")] {
        assert_eq!(record(unreadable), Some(8), "{unreadable:?}");
    }
    assert_eq!(record(Some("11")), Some(11), "restores may be missed");
}

/// Guards against an order by the bare revision: revisions are given out again after a restore.
#[test]
fn points_after_a_restore_are_later_than_all_before() {
    let version = |restores, revision| StorePoint { restores, revision }.version();
    assert!(version(0, 88) < version(0, 89) && version(0, u64::MAX) < version(1, 0));
    let point = StorePoint { restores: 3, revision: 84 };
    assert_eq!(StorePoint::of(point.version()), point);
    assert_eq!(version(0, 88), 88, "a store that was never restored keeps its revisions");
}
