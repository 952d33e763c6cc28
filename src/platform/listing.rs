//! Listings of the store's objects, which come in pages.

use std::collections::BTreeSet;

use http::Method;
use serde_json::value::RawValue;

use super::{
    object_store::{
        CALL_TIMEOUT, CallResponse, Object, ObjectStore, entry, refused, unavailable, version,
    },
    object_urls::{object_path, split_key},
    page_cursor::PageCursor,
};
use crate::{
    prelude::*,
    store::{
        CallKind, Entry, Listing, PlatformError, Result, StorePoint, Version,
        damaged_list::{self, Damage, Decoded},
    },
};

/// Query of a listing that may be seconds old.
const STALE_OK_QUERY: &str = "staleOk=1";

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListPage {
    current_rev: Version,
    has_more: Option<bool>,
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

/// How a listing goes on behind a page.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PageEnd {
    Last,
    More,
    /// The page begins with an object that is no JSON.
    Unreadable {
        /// Whether no other page follows.
        is_last: bool,
        /// Names that unreadable objects may have.
        names: Vec<Arc<str>>,
    },
}

/// Most objects of one listing that are read by name, to find out whether they exist.
const MAX_CONFIRMATIONS: usize = 64;

/// What was read of a listing so far.
struct ListedPages<'a> {
    /// Names of the objects that the store was asked for.
    confirmations: BTreeSet<Arc<str>>,
    cursor: PageCursor,
    entries: BTreeMap<Arc<str>, Entry>,
    /// Whether the next page begins behind an object that the store has just confirmed.
    is_behind_confirmed: bool,
    kind: &'a str,
    /// A watch must continue from the lowest version of a page. From a later one, it would miss
    /// changes made while the pages were read, or that a page out of date does not show.
    lowest: Option<Version>,
    /// Whether objects may be missing although a last page was read.
    may_lack_objects: bool,
    reading: Reading,
    /// Names that stand behind objects that are no JSON. The one to be confirmed next is the last.
    unconfirmed: Vec<Arc<str>>,
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
        Self {
            confirmations: BTreeSet::new(),
            cursor: PageCursor::default(),
            entries: BTreeMap::new(),
            is_behind_confirmed: false,
            kind,
            lowest: None,
            may_lack_objects: false,
            reading,
            unconfirmed: Vec::new(),
        }
    }

    /// Records a page.
    fn record(
        &mut self,
        page: &ListPage,
        damage: Option<&Damage<'_>>,
        response: &CallResponse,
    ) -> Result<PageEnd> {
        let objects = page.objects(self.kind);
        let current = version(response.restores, self.reading.complete_until(page, &objects));
        let before = self.lowest.unwrap_or(current);
        if StorePoint::of(before).restores != response.restores {
            return Err(unavailable("the store was restored during a listing", false));
        }
        // Behind a name that the store does not know, it may end the listing.
        let is_cut_off =
            self.lowest.is_some() && page.items.is_empty() && !self.is_behind_confirmed;
        self.lowest = Some(current.min(before));
        for (object, item) in &objects {
            self.record_entry(entry(self.kind, object, item, response));
        }
        self.cursor.record_page(page.names(response));
        let has_more = page.has_more.unwrap_or_default();
        match damage {
            Some(damage) => Ok(self.record_damage(page, damage)),
            None if has_more || is_cut_off => Ok(PageEnd::More),
            None => Ok(PageEnd::Last),
        }
    }

    /// Records what may stand behind the objects of a page that has one that is no JSON.
    fn record_damage(&mut self, page: &ListPage, damage: &Damage<'_>) -> PageEnd {
        let named = |object: &RawValue| serde_json::from_str::<NamedObject>(object.get()).ok();
        let objects = damage.unconfirmed();
        let names = objects.into_iter().rev().filter_map(|it| Some(named(it)?.metadata.name));
        self.unconfirmed.extend(names);
        if !page.items.is_empty() {
            return PageEnd::More;
        }
        let is_last = page.has_more == Some(false) && !damage.may_be_cut;
        PageEnd::Unreadable { is_last, names: damage.names() }
    }

    /// Whether the store may be asked for an object: it was not, and the object was not listed.
    fn may_confirm(&mut self, key: &str, name: &Arc<str>) -> bool {
        if self.entries.contains_key(key) || self.confirmations.contains(name) {
            return false;
        }
        if self.confirmations.len() == MAX_CONFIRMATIONS {
            self.may_lack_objects = true;
            return false;
        }
        self.confirmations.insert(name.clone())
    }

    /// Records an object that the store returned when asked for it by name.
    fn record_confirmed(
        &mut self,
        key: Arc<str>,
        name: Arc<str>,
        response: &CallResponse,
    ) -> Result<()> {
        let read_from = self.lowest.map(|version| StorePoint::of(version).restores);
        if read_from.is_some_and(|restores| restores != response.restores) {
            return Err(unavailable("the store was restored during a listing", false));
        }
        if let Ok(object) = response.object() {
            self.record_entry(Entry { key, object });
        }
        self.is_behind_confirmed = self.cursor.record_page(std::iter::once(name));
        Ok(())
    }

    /// Goes on behind names of which the store knows none, since others may follow them in its order.
    fn go_on_behind_any(&mut self, names: Vec<Arc<str>>) {
        self.may_lack_objects = true;
        self.cursor.record_page(names.into_iter());
    }

    /// Records an object, which may stand on several pages.
    fn record_entry(&mut self, entry: Entry) {
        let known = self.entries.get(&entry.key);
        if known.is_none_or(|known| known.object.version <= entry.object.version) {
            self.entries.insert(entry.key.clone(), entry);
        }
    }

    fn finish(self, gap: Option<PlatformError>) -> Listing {
        let gap = gap.or_else(|| self.may_lack_objects.then_some(PlatformError::NoNextPage));
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

    /// Reads one page, and what tells how to go on behind it. Returns whether the listing is complete.
    async fn list_page(&self, path: &str, listed: &mut ListedPages<'_>) -> Result<bool> {
        let response = self.call(CallKind::Read, Method::GET, path, None, CALL_TIMEOUT).await?;
        let text = response.text();
        let decoded = damaged_list::decode::<ListPage>(&text, "items");
        let Decoded { damage, response: page } =
            decoded.map_err(|error| refused(&error.to_string()))?;
        let end = listed.record(&page, damage.as_ref(), &response)?;
        listed.is_behind_confirmed = false;
        match end {
            PageEnd::More => Ok(false),
            PageEnd::Last => Ok(!self.confirm_next(listed).await?),
            PageEnd::Unreadable { is_last, names } => {
                let is_confirmed = self.confirm_next(listed).await?;
                if is_confirmed || is_last {
                    return Ok(!is_confirmed);
                }
                if !self.confirm_last(&names, listed).await? {
                    listed.go_on_behind_any(names);
                }
                Ok(false)
            }
        }
    }

    /// Finds the next object that stands behind an unreadable one, by asking the store for it. Returns
    /// whether there is one; the listing goes on behind it.
    async fn confirm_next(&self, listed: &mut ListedPages<'_>) -> Result<bool> {
        while let Some(name) = listed.unconfirmed.pop() {
            if self.confirm(name, listed).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Finds the last object of these names in the same way.
    async fn confirm_last(&self, names: &[Arc<str>], listed: &mut ListedPages<'_>) -> Result<bool> {
        for name in names.iter().rev() {
            if self.confirm(name.clone(), listed).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Asks the store for an object that was not listed. Returns whether it exists.
    async fn confirm(&self, name: Arc<str>, listed: &mut ListedPages<'_>) -> Result<bool> {
        let key: Arc<str> = format!("{}/{name}", listed.kind).into();
        if object_path(&key).is_none() || !listed.may_confirm(&key, &name) {
            return Ok(false);
        }
        let Some(response) = self.get_response(&key).await? else { return Ok(false) };
        listed.record_confirmed(key, name, &response)?;
        Ok(true)
    }
}
