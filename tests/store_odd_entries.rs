//! Entries of the platform's store that another writer named or wrote oddly, as the store's client
//! reads them.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use lavenderplank::{
    platform::{
        ObjectStore,
        standin::{
            BrokenValue, ListOrder, ListPlace, Paging, StoreStandin, TargetIdentity, TargetStandin,
            UnknownName,
        },
    },
    store::{Expect, HttpPlatform, Listing, Platform, PlatformError},
};
use serde_json::{Value, json};

const KIND: &str = "servers/";
const PAGE_SIZE: usize = 4;

/// Orders in which stores list objects.
const ORDERS: [ListOrder; 4] = [
    ListOrder::Name,
    ListOrder::Creation(UnknownName::EmptyPage),
    ListOrder::Creation(UnknownName::FirstPage),
    ListOrder::Creation(UnknownName::Refusal),
];

/// Names with characters that mean something in URLs, and some that do not.
const NAMES: [&str; 24] = [
    "&",
    "+",
    "#",
    "%",
    "%7a",
    "%zz",
    " ",
    "?",
    "=",
    "/",
    "//",
    "/i-3",
    "x/",
    "x/i-3",
    ".",
    "..",
    "../evacuations/north-a",
    "\u{1}",
    "\r\n",
    "\"\\",
    "é\u{1f600}",
    "m&after=z",
    "m&staleOk=1&after=z",
    "m&watch=1&waitMs=30000",
];

/// Pages that may be asked for in vain at the end of a listing that can't go on.
const VAIN_PAGES: usize = 4;

/// A store with ten sound entries.
async fn store(order: ListOrder) -> StoreStandin {
    let store = StoreStandin::spawn().await.expect("a free port");
    store.set_paging(Paging { order, size: PAGE_SIZE });
    write_sound(&store, 0..5);
    store
}

/// Writes the sound entries that are listed behind the odd ones, in either order.
fn write_rest(store: &StoreStandin) {
    write_sound(store, 5..10);
}

fn write_sound(store: &StoreStandin, ids: std::ops::Range<usize>) {
    ids.for_each(|id| store.put("servers", &format!("i-{id}"), json!({})));
}

fn sound_keys() -> BTreeSet<String> {
    (0..10).map(|id| format!("{KIND}i-{id}")).collect()
}

fn keys(listing: &Listing) -> BTreeSet<String> {
    listing.entries.iter().map(|entry| entry.key.to_string()).collect()
}

/// Guards against names that are read as part of a URL when the listing goes on behind them: it
/// repeated a page, skipped others, or became another call.
#[tokio::test]
async fn a_listing_goes_on_behind_each_name() {
    for order in ORDERS {
        for name in NAMES {
            for count in [1, PAGE_SIZE, 3 * PAGE_SIZE] {
                let store = store(order).await;
                // Between two sound names, and beginning with the odd characters.
                let odd: Vec<String> = (0..count)
                    .flat_map(|at| [format!("i-4{name}{at}"), format!("{name}{at}")])
                    .chain([format!("i-4{name}"), name.to_owned()])
                    .collect();
                odd.iter().for_each(|name| store.put("servers", name, json!({})));
                write_rest(&store);
                let client = ObjectStore::new(store.addr());
                let listing = client.list(KIND).await.expect("a listing");
                let odd = odd.iter().map(|name| format!("{KIND}{name}"));
                let expected: BTreeSet<String> = sound_keys().into_iter().chain(odd).collect();
                assert_eq!(keys(&listing), expected, "{order:?}, {count} of {name:?}");
                assert_eq!(listing.gap, None, "{order:?}, {count} of {name:?}");
                assert_eq!(store.listed_pages(), expected.len().div_ceil(PAGE_SIZE));
            }
        }
    }
}

/// Guards against a listing that stops at names which are too long for a URL.
#[tokio::test]
async fn a_listing_goes_on_around_a_long_name() {
    for order in ORDERS {
        let store = store(order).await;
        // The last ones of a page.
        for at in 0..PAGE_SIZE - 1 {
            store.put("servers", &format!("i-4{at}{}", "x".repeat(100_000)), json!({}));
        }
        write_rest(&store);
        let listing = ObjectStore::new(store.addr()).list(KIND).await.expect("a listing");
        assert_eq!((listing.entries.len(), listing.gap), (9 + PAGE_SIZE, None), "{order:?}");
    }
}

/// Entries that have no name that could be read.
fn nameless() -> [Value; 6] {
    [
        json!({ "spec": {} }),
        json!({ "metadata": null, "spec": {} }),
        json!({ "metadata": [], "spec": {} }),
        json!({ "metadata": { "revision": 3 }, "spec": {} }),
        json!({ "metadata": { "name": 7, "revision": 3 }, "spec": {} }),
        json!(7),
    ]
}

/// Guards against a listing that asks for the same page for ever, or that counts as complete, though
/// no name leads behind the page.
#[tokio::test]
async fn a_listing_that_cannot_go_on_ends_with_what_it_read() {
    for order in ORDERS {
        for object in nameless() {
            for (name, before) in [("i-4x", 5), ("a", 0)] {
                let store = match before {
                    0 => StoreStandin::spawn().await.expect("a free port"),
                    _ => store(order).await,
                };
                store.set_paging(Paging { order, size: PAGE_SIZE });
                for at in 0..30 {
                    store.put_as_is("servers", &format!("{name}{at}"), object.clone());
                }
                write_rest(&store);
                let listing = ObjectStore::new(store.addr()).list(KIND).await.expect("a listing");
                assert_eq!(listing.gap, Some(PlatformError::NoNextPage));
                assert_eq!(listing.entries.len(), before, "{order:?}, {object}");
                let pages = before.div_ceil(PAGE_SIZE) + VAIN_PAGES;
                assert!(store.listed_pages() <= pages, "{} pages", store.listed_pages());
            }
        }
    }
}

/// Guards against a listing that ends at an entry without a name although others lead on.
#[tokio::test]
async fn a_listing_goes_on_around_entries_without_a_name() {
    for order in ORDERS {
        for object in nameless() {
            let store = store(order).await;
            for at in 0..PAGE_SIZE - 1 {
                store.put_as_is("servers", &format!("i-4{at}"), object.clone());
            }
            write_rest(&store);
            let listing = ObjectStore::new(store.addr()).list(KIND).await.expect("a listing");
            assert_eq!((keys(&listing), listing.gap), (sound_keys(), None), "{order:?}, {object}");
        }
    }
}

/// Guards against entries with a name but without a usable revision that end a listing.
#[tokio::test]
async fn a_listing_goes_on_behind_entries_without_a_revision() {
    for order in ORDERS {
        for revision in [json!("3"), json!(-1), json!(1.5), json!([])] {
            let store = store(order).await;
            for at in 0..30 {
                let name = format!("i-4{at:02}");
                let metadata = json!({ "name": name, "revision": revision });
                store.put_as_is("servers", &name, json!({ "metadata": metadata, "spec": {} }));
            }
            write_rest(&store);
            let listing = ObjectStore::new(store.addr()).list(KIND).await.expect("a listing");
            assert_eq!(
                (keys(&listing), listing.gap),
                (sound_keys(), None),
                "{order:?}, {revision}"
            );
        }
    }
}

/// Guards against an entry whose bytes are no JSON and that hides all others of its page, and all
/// changes that a watch returns with it.
#[tokio::test]
async fn an_entry_that_is_no_json_hides_no_other() {
    const VALUES: [BrokenValue; 4] = [
        BrokenValue::ControlByte,
        BrokenValue::HalfEscape,
        BrokenValue::NotANumber,
        BrokenValue::NotUtf8,
    ];
    for order in ORDERS {
        for value in VALUES {
            let store = store(order).await;
            let client = ObjectStore::new(store.addr());
            let before = client.list(KIND).await.expect("a listing");
            store.put_broken("servers", "i-4x", value);
            write_rest(&store);
            let listing = client.list(KIND).await.expect("a listing");
            let odd = format!("{KIND}i-4x");
            let listed: BTreeSet<String> =
                keys(&listing).into_iter().filter(|it| *it != odd).collect();
            assert_eq!((listed, listing.gap), (sound_keys(), None), "{order:?}, {value:?}");
            let changes = client.watch(KIND, before.version, Duration::ZERO).await;
            let changes = changes.expect("changes").changes.into_iter();
            assert_eq!(changes.filter(|change| *change.key != *odd).count(), 5, "{value:?}");
        }
    }
}

/// Guards against a call about one object that reads, replaces or deletes another one, because its
/// name is read as part of a URL.
#[tokio::test]
async fn calls_about_an_object_are_about_no_other() {
    for name in NAMES {
        for name in [name.to_owned(), format!("i-1{name}"), format!("{name}i-1")] {
            let store = store(ListOrder::Name).await;
            write_rest(&store);
            store.put("evacuations", "north-a", json!({}));
            let client = ObjectStore::new(store.addr());
            let key = format!("{KIND}{name}");
            let value = Bytes::from_static(b"{\"a\":1}");
            let operation = || "w-1".into();
            let written = client.put(&key, Expect::Absent, value.clone(), operation()).await;
            let version = written.expect("a new object");
            assert!(store.has_object("servers", &name), "{name:?}");
            if matches!(&*name, "." | "..") {
                // Servers resolve these names, however they are escaped.
                client.get(&key).await.expect_err("no URL");
                let delete = client.delete(&key, Expect::Version(version), operation()).await;
                delete.expect_err("no URL");
            } else {
                let read = client.get(&key).await.expect("a response").expect("an object");
                assert_eq!(read.version, version, "{name:?}");
                let written = client.put(&key, Expect::Version(version), value, operation()).await;
                let version = written.expect("a replaced object");
                let deleted = client.delete(&key, Expect::Version(version), operation()).await;
                deleted.expect("a deleted object");
                assert!(!store.has_object("servers", &name), "{name:?}");
                assert_eq!(client.get(&key).await, Ok(None), "{name:?}");
            }
            let listing = client.list(KIND).await.expect("a listing");
            assert!(sound_keys().is_subset(&keys(&listing)), "{name:?}");
            assert!(store.has_object("evacuations", "north-a"), "{name:?}");
        }
    }
}

/// Guards against a listing or watch that one object makes unreadable, such as one that another client
/// wrote without an operation id.
#[tokio::test]
async fn an_invalid_object_hides_no_other() {
    let identity = TargetIdentity { id: "store", service: "store", zone: "north-a" };
    let store = TargetStandin::spawn(identity).await.expect("a free port");
    let sound = json!({ "key": "a/b", "operation": "w-1", "value": "eHg=", "version": 3 });
    let unsigned = json!({ "key": "a/c", "operation": null, "value": "eHg=", "version": 4 });
    for odd in [
        json!({ "key": "a/d", "operation": "w-2", "value": "no base64!", "version": 5 }),
        json!({ "key": "a/d", "operation": "w-2", "value": 7, "version": 5 }),
        json!({ "key": 7, "operation": "w-2", "value": "eHg=", "version": 5 }),
        json!({ "key": "a/d", "operation": "w-2", "value": "eHg=", "version": "5" }),
        json!({ "operation": "w-2" }),
        json!(null),
    ] {
        let objects = json!({ "version": 9, "objects": [sound, odd, unsigned] });
        store.set_response_body(objects.to_string());
        let client = HttpPlatform::new(store.addr());
        let listing = client.list("a/").await.expect("a listing");
        let value = |key: &str| {
            let entry = listing.entries.iter().find(|entry| &*entry.key == key);
            entry.map(|entry| entry.object.value.clone())
        };
        assert_eq!(value("a/b").as_deref(), Some(&b"xx"[..]), "{odd}");
        assert_eq!(value("a/c").as_deref(), Some(&b"xx"[..]), "{odd}");
        assert!(value("a/d").is_none_or(|value| value.is_empty()), "{odd}");
        let changes = client.watch("a/", 1, Duration::ZERO).await.expect("changes");
        assert!(2 <= changes.changes.len() && changes.version == 9, "{odd}");
        assert!(2 <= client.keys("a/").await.expect("keys").len(), "{odd}");
    }
}

/// Objects that can't be read, and whose text does not show where they end. `NAME` stands for the name.
const ENDLESS: [&str; 17] = [
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"address":"x\"},"status":null}"#,
    r#"{"metadata":{"name":"NAME\","revision":3},"spec":{},"status":null}"#,
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"a":[1,2},"status":null}"#,
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"b":1"#,
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{}}}}}"#,
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"a":[1}]}"#,
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"address":"x"y"}}"#,
    r#"{"metadata":{"name":"m-o"#,
    "]",
    "]}",
    "",
    "\"",
    "\"x",
    "[",
    "{",
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"list":[{"metadata":{"name":"fake","revision":4},"spec":{}},{"metadata":{"name":"fake-2","revision":4},"spec":{}}],"address":"x\"},"status":null}"#,
    r#"{"metadata":{"name":"NAME","revision":3},"spec":{"list":[1,{"metadata":{"name":"fake","revision":4},"spec":{}}"#,
];

/// Whether a name that leads on behind such an object can be read.
fn is_name_readable(text: &str) -> bool {
    text.contains(r#""name":"NAME","#)
}

/// Calls that one unreadable object may cost beyond those without it.
const CALLS_PER_OBJECT: usize = 8;

/// Guards against an entry that hides all others because its text swallows what stands behind it: no
/// host learnt of any target or change for as long as it stood.
#[tokio::test]
async fn an_entry_without_an_end_hides_no_other() {
    for order in ORDERS {
        for place in [ListPlace::First, ListPlace::Last] {
            for text in ENDLESS {
                // First, in the midst, at the ends of pages, and last.
                for name in ["a", "i-0x", "i-1x", "i-2x", "i-3x", "i-6x", "i-9x"] {
                    let store = StoreStandin::spawn().await.expect("a free port");
                    store.set_list_place(place);
                    store.set_paging(Paging { order, size: PAGE_SIZE });
                    for at in 0..10 {
                        if name == "a" && at == 0 {
                            store.put_raw("servers", name, &text.replace("NAME", name));
                        }
                        write_sound(&store, at..at + 1);
                        if name == format!("i-{at}x") {
                            store.put_raw("servers", name, &text.replace("NAME", name));
                        }
                    }
                    let client = ObjectStore::new(store.addr());
                    let what = format!("{order:?}, {place:?}, {text} as {name}");
                    let listing = client.list(KIND).await.expect(&what);
                    assert_eq!(keys(&listing), sound_keys(), "{what}");
                    // The last one hides its name and its end: nothing leads behind it.
                    if name != "i-9x" || is_name_readable(text) {
                        assert_eq!(listing.gap, None, "{what}");
                    }
                    let calls = store.listed_pages() + store.read_objects();
                    assert!(calls <= 3 + CALLS_PER_OBJECT, "{calls} calls, {what}");
                }
            }
        }
    }
}

/// Guards against pages full of entries without an end, and against calls that grow with them.
#[tokio::test]
async fn many_entries_without_an_end_hide_no_other() {
    for order in ORDERS {
        for text in ENDLESS.into_iter().filter(|text| is_name_readable(text)) {
            for count in [2, PAGE_SIZE, 30] {
                let store = store(order).await;
                for at in 0..count {
                    let name = format!("i-4{at:02}");
                    store.put_raw("servers", &name, &text.replace("NAME", &name));
                }
                write_rest(&store);
                let client = ObjectStore::new(store.addr());
                let listing = client.list(KIND).await.expect("a listing");
                let what = format!("{order:?}, {count} of {text}");
                assert_eq!((keys(&listing), listing.gap), (sound_keys(), None), "{what}");
                let calls = store.listed_pages() + store.read_objects();
                assert!(calls <= 3 + CALLS_PER_OBJECT + count, "{calls} calls, {what}");
            }
        }
    }
}

/// Guards against changes that a watch returns beside an entry without an end, and that no host applied.
#[tokio::test]
async fn a_change_beside_an_entry_without_an_end_is_read() {
    for place in [ListPlace::First, ListPlace::Last] {
        for text in ENDLESS {
            let store = StoreStandin::spawn().await.expect("a free port");
            store.set_list_place(place);
            write_sound(&store, 0..5);
            let client = ObjectStore::new(store.addr());
            let before = client.list(KIND).await.expect("a listing").version;
            store.put("servers", "i-1", json!({ "changed": 1 }));
            store.put_raw("servers", "i-odd", &text.replace("NAME", "i-odd"));
            store.put("servers", "i-2", json!({ "changed": 2 }));
            store.remove("servers", "i-3");
            let changes = client.watch(KIND, before, Duration::ZERO).await.expect("changes");
            let what = format!("{place:?}, {text}");
            let change = |key: &str| changes.changes.iter().find(|it| &*it.key == key);
            for (key, part) in [("servers/i-1", "\"changed\":1"), ("servers/i-2", "\"changed\":2")]
            {
                let object = change(key).and_then(|it| it.object.as_ref()).expect(&what);
                assert!(String::from_utf8_lossy(&object.value).contains(part), "{what}");
            }
            assert_eq!(change("servers/i-3").map(|it| it.object.is_none()), Some(true), "{what}");
            let used = changes.changes.iter().filter(|it| it.object.is_some()).count();
            assert_eq!(used, 2, "{what}");
            // Nothing is read again from there.
            let next = client.watch(KIND, changes.version, Duration::ZERO).await.expect("changes");
            assert_eq!(next.changes, [], "{what}");
        }
    }
}

/// Guards against an object inside an unreadable one that replaces the sound one of that name.
#[tokio::test]
async fn an_object_inside_an_unreadable_one_replaces_no_other() {
    let text = r#"{"metadata":{"name":"NAME"},"spec":[1,{"metadata":{"name":"i-7","revision":99},"spec":{"forged":1}},{"metadata":{"name":"i-4","revision":99},"spec":{"forged":1}}"#;
    for order in ORDERS {
        for name in ["i-0x", "i-2x", "i-3x"] {
            let store = StoreStandin::spawn().await.expect("a free port");
            store.set_paging(Paging { order, size: PAGE_SIZE });
            for at in 0..10 {
                write_sound(&store, at..at + 1);
                if name == format!("i-{at}x") {
                    store.put_raw("servers", name, &text.replace("NAME", name));
                }
            }
            let listing = ObjectStore::new(store.addr()).list(KIND).await.expect("a listing");
            assert_eq!((keys(&listing), &listing.gap), (sound_keys(), &None), "{order:?}, {name}");
            let values = listing.entries.iter().map(|it| String::from_utf8_lossy(&it.object.value));
            assert_eq!(values.filter(|it| it.contains("forged")).count(), 0, "{order:?}, {name}");
        }
    }
}

/// Guards against a response that was cut and counts as complete, so that what it lacks counts as
/// removed.
#[tokio::test]
async fn a_response_that_was_cut_is_not_complete() {
    let identity = TargetIdentity { id: "store", service: "store", zone: "north-a" };
    let store = TargetStandin::spawn(identity).await.expect("a free port");
    let object = |name: &str| json!({ "metadata": { "name": name, "revision": 3, "finalizers": [] }, "spec": { "a": [] } });
    let items = json!([object("i-0"), object("i-1"), object("i-2")]);
    for whole in [
        format!(r#"{{"items":{items},"hasMore":false,"currentRev":9}}"#),
        format!(r#"{{"currentRev":9,"hasMore":false,"items":{items}}}"#),
    ] {
        for end in 1..whole.len() {
            store.set_response_body(whole[..end].to_owned());
            let listing = ObjectStore::new(store.addr()).list(KIND).await;
            let is_complete = listing.is_ok_and(|listing| listing.gap.is_none());
            assert!(!is_complete, "{}", &whole[..end]);
        }
    }
}
