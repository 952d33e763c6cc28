//! Lists with objects that are no JSON.

use serde_json::value::RawValue;

use crate::{prelude::*, store::damaged_list::decode};

#[derive(Debug, Deserialize)]
struct Response {
    end: u64,
    items: Vec<Box<RawValue>>,
}

/// The objects in front of the first unreadable one, and those that may stand behind it.
fn read(text: &str) -> Option<(Vec<String>, Vec<String>)> {
    let decoded = decode::<Response>(text, "items").ok()?;
    assert_eq!(decoded.response.end, 7);
    let readable = decoded.response.items.iter().map(|item| item.get().to_owned());
    let damage = decoded.damage.iter().flat_map(|damage| damage.unconfirmed());
    Some((readable.collect(), damage.map(|item| item.get().to_owned()).collect()))
}

fn texts(objects: &[&str]) -> Vec<String> {
    objects.iter().map(|object| (*object).to_owned()).collect()
}

#[test]
fn objects_around_an_unreadable_one_are_found() {
    let odd = [r#"{"a":"x\"}"#, r#"{"a":[1}"#, r#"{"a":1"#, "}", "]", "]}", "[", "\"", "", "x,"];
    for odd in odd {
        let items = format!(r#"[{{"i":1}}, {odd} , {{"i":2}},{odd},{{"i":3}}]"#);
        for text in [
            format!(r#"{{"items":{items},"end":7}}"#),
            format!(r#"{{ "end" : 7 , "items" : {items} }}"#),
            format!(r#"{{"other":[1,{{}}],"items":{items},"end":7,"another":[2]}}"#),
        ] {
            let (readable, unconfirmed) = read(&text).expect(&text);
            assert_eq!(readable, texts(&[r#"{"i":1}"#]), "{text}");
            assert!(unconfirmed.ends_with(&texts(&[r#"{"i":2}"#, r#"{"i":3}"#])), "{text}");
        }
    }
}

#[test]
fn a_response_without_its_other_fields_is_refused() {
    for text in ["", "[]", "{}", r#"{"items":[{"i":1},}"#, r#"{"items":[{"i":[]},{"i":"x"#] {
        assert!(read(text).is_none(), "{text}");
    }
}

/// Guards against a text in which each character seems to begin another long object: a search that is
/// not bounded takes hours.
#[test]
fn the_search_for_objects_is_bounded() {
    let nested = r#"{"a":[0,"#.repeat(100_000);
    let (readable, _) =
        read(&format!(r#"{{"items":[{{"i":1}},{nested}],"end":7}}"#)).expect("a response");
    assert_eq!(readable, texts(&[r#"{"i":1}"#]));
}
