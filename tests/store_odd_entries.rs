//! Entries of the platform's store that another writer named or wrote oddly, as the store's client
//! reads them.

use std::{collections::BTreeSet, time::Duration};

use bytes::Bytes;
use lavenderplank::{
    platform::{
        ObjectStore,
        standin::{
            BrokenValue, ListOrder, Paging, StoreStandin, TargetIdentity, TargetStandin,
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
