//! The shipped traces: they replay, and the command tells damaged files from other decisions.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use lavenderplank::trace::{SteerMachine, SteerTrace, read, replay, scenario, untrue};

const REMEDY: &str = "if the decisions changed on purpose, run \
                      `cargo run -- replay --make examples/traces` and look at the difference";

fn dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/traces")
}

fn text(name: &str) -> String {
    let path = dir().join(name).with_extension("jsonl");
    fs::read_to_string(path).expect("each scenario ships its trace")
}

#[test]
fn every_shipped_trace_replays_and_bears_out_its_outcomes() {
    for scenario in scenario::ALL {
        let name = scenario.name;
        let trace: SteerTrace = read(text(name).as_bytes()).unwrap();
        assert!(3 <= trace.outcomes.len(), "{name}");
        assert_eq!(untrue(&trace), [], "{name}");
        if let Err(mismatch) = replay::<SteerMachine, _>(&trace) {
            panic!("{name}: {mismatch}\n{REMEDY}");
        }
    }
}

/// Runs `replay` on a text; its exit code and what it complained of.
fn replayed(name: &str, text: &str) -> (Option<i32>, String) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the directory is writable");
    let output = Command::new(env!("CARGO_BIN_EXE_lavenderplank"))
        .arg("replay")
        .arg(&path)
        .output()
        .expect("the binary runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

// Someone changed a recorded decision, a copy was cut off, a stated outcome is wrong, or another
// file was named. Each must end in its own exit code and say what is wrong.
#[test]
fn the_command_tells_what_is_wrong() {
    let text = text("platform-away");
    assert_eq!(replayed("good.jsonl", &text).0, Some(0));

    let changed = text.replacen("service-unknown", "no-manifest", 1);
    let (code, said) = replayed("changed.jsonl", &changed);
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("differs") && said.contains("recorded, + decided now"), "{said}");

    let wrong = text.replace(
        r#""in-force","machine":0,"sequence":2"#,
        r#""in-force","machine":0,"sequence":3"#,
    );
    let (code, said) = replayed("wrong.jsonl", &wrong);
    assert_eq!(code, Some(1), "{said}");
    assert!(said.contains("stated InForce"), "{said}");

    let cut = &text[..text.len() / 2];
    let foreign = "member: agency\nsequence: 1\n";
    for (name, text, word) in [
        ("cut.jsonl", cut, "damaged"),
        ("ends-early.jsonl", &text[..cut.rfind('\n').unwrap() + 1], "cut off"),
        ("foreign.jsonl", foreign, "not a trace"),
        ("empty.jsonl", "", "empty"),
    ] {
        let (code, said) = replayed(name, text);
        assert_eq!(code, Some(2), "{name}: {said}");
        assert!(said.contains(word), "{name}: {said}");
    }
}
