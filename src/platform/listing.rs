//! Listings of the store's objects, which come in pages.

use http::Method;
use serde_json::value::RawValue;

use super::{
    object_store::{
        CALL_TIMEOUT, CallResponse, Object, ObjectStore, entry, refused, unavailable, version,
    },
    object_urls::split_key,
    page_cursor::PageCursor,
    salvage,
};
use crate::{
    prelude::*,
    store::{CallKind, Entry, Listing, PlatformError, Result, StorePoint, Version},
};

/// Query of a listing that may be seconds old.
const STALE_OK_QUERY: &str = "staleOk=1";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListPage {
    current_rev: Version,
    #[serde(default)]
    has_more: bool,
    items: Vec<Box<RawValue>>,
}

/// The part of an object that a listing needs to go on behind it.
#[derive(Deserialize)]
struct NamedObject {
    metadata: Name,
}

#[derive(Deserialize)]
struct Name {
    name: Arc<str>,
}

/// How a listing is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reading {
    Current,
    /// It may be seconds old. It costs a tenth of a current one and does not count towards the store's
    /// rate limit.
    MayBeStale,
}

/// What was read of a listing so far.
struct ListedPages<'a> {
    cursor: PageCursor,
    entries: BTreeMap<Arc<str>, Entry>,
    kind: &'a str,
    /// A watch must continue from the lowest version of a page. From a later one, it would miss
    /// changes made while the pages were read, or that a page out of date does not show.
    lowest: Option<Version>,
    reading: Reading,
}

impl ListPage {
    /// The objects of the page. Those without a name are skipped, so that they do not block the
    /// others.
    fn objects(&self, kind: &str) -> Vec<(Object, &RawValue)> {
        let decode = |item: &RawValue| {
            serde_json::from_str::<Object>(item.get())
                .inspect_err(|error| log::warn!("skipping an invalid object of {kind}: {error}"))
        };
        let objects = self.items.iter().map(|item| (decode(item), &**item));
        objects.filter_map(|(object, item)| Some((object.ok()?, item))).collect()
    }

    /// The names on the page, those of invalid objects included. Names with replaced bytes are not
    /// those of the store.
    fn names(&self, response: &CallResponse) -> impl Iterator<Item = Arc<str>> {
        let named = self.items.iter().filter(|item| !response.is_replaced(item));
        named
            .filter_map(|item| serde_json::from_str::<NamedObject>(item.get()).ok())
            .map(|it| it.metadata.name)
    }
}

impl Reading {
    fn query(self) -> &'static str {
        match self {
            Self::Current => "",
            Self::MayBeStale => STALE_OK_QUERY,
        }
    }

    /// The revision up to which a page shows all changes; 0 if nothing tells.
    ///
    /// A page that is old may state the store's present revision all the same. Whatever its age, it
    /// shows all changes up to that of its newest object.
    fn complete_until(self, page: &ListPage, objects: &[(Object, &RawValue)]) -> u64 {
        match self {
            Self::Current => page.current_rev,
            Self::MayBeStale => {
                let newest = objects.iter().map(|(object, _)| object.metadata.revision).max();
                newest.unwrap_or_default().min(page.current_rev)
            }
        }
    }
}

impl<'a> ListedPages<'a> {
    fn new(kind: &'a str, reading: Reading) -> Self {
        let (cursor, entries) = (PageCursor::default(), BTreeMap::new());
        Self { cursor, entries, kind, lowest: None, reading }
    }

    /// Records a page. Returns whether it is the last one.
    fn record(&mut self, page: &ListPage, response: &CallResponse) -> Result<bool> {
        let objects = page.objects(self.kind);
        let current = version(response.restores, self.reading.complete_until(page, &objects));
        let before = self.lowest.unwrap_or(current);
        if StorePoint::of(before).restores != response.restores {
            return Err(unavailable("the store was restored during a listing", false));
        }
        // Behind a name that the store does not know, it may end the listing.
        let is_cut_off = self.lowest.is_some() && page.items.is_empty();
        self.lowest = Some(current.min(before));
        for (object, item) in &objects {
            self.record_entry(entry(self.kind, object, item, response));
        }
        self.cursor.record_page(page.names(response));
        Ok(!page.has_more && !is_cut_off)
    }

    /// Records an object, which may stand on several pages.
    fn record_entry(&mut self, entry: Entry) {
        let known = self.entries.get(&entry.key);
        if known.is_none_or(|known| known.object.version <= entry.object.version) {
            self.entries.insert(entry.key.clone(), entry);
        }
    }

    fn finish(self, gap: Option<PlatformError>) -> Listing {
        let entries = self.entries.into_values().collect();
        Listing { entries, gap, version: self.lowest.unwrap_or_default() }
    }
}

impl ObjectStore {
    /// Reads all pages of a listing. One that can't go on ends with what was read.
    pub(super) async fn list_pages(&self, prefix: &str, reading: Reading) -> Result<Listing> {
        let (kind, _) = split_key(prefix);
        let query = reading.query();
        let mut listed = ListedPages::new(kind, reading);
        let mut path = format!("{kind}?{query}");
        loop {
            match self.list_page(&path, &mut listed).await {
                Ok(true) => return Ok(listed.finish(None)),
                Ok(false) => {}
                Err(error) if !self.is_current(&listed) => return Err(error),
                Err(error) if error.is_transient() => return Ok(listed.finish(Some(error))),
                Err(error) => {
                    log::info!("cannot read a page of {kind}: {error}");
                    listed.cursor.record_failure();
                }
            }
            let Some(name) = listed.cursor.next() else {
                return Ok(listed.finish(Some(PlatformError::NoNextPage)));
            };
            path = format!("{kind}?after={name}&{query}");
        }
    }

    /// Whether pages were read and the store was not restored since.
    fn is_current(&self, listed: &ListedPages<'_>) -> bool {
        let read_from = listed.lowest.map(|version| StorePoint::of(version).restores);
        read_from == Some(self.latest_restores())
    }

    /// Reads one page. Returns whether it is the last one.
    async fn list_page(&self, path: &str, listed: &mut ListedPages<'_>) -> Result<bool> {
        let response = self.call(CallKind::Read, Method::GET, path, None, CALL_TIMEOUT).await?;
        let page = salvage::decode(&response.text(), "items");
        let page: ListPage = page.map_err(|error| refused(&error.to_string()))?;
        listed.record(&page, &response)
    }
}
