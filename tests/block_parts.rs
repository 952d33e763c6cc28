//! Client blocks in parts against one whole table.

#![allow(clippy::unwrap_used, reason = "a test")]

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    sync::Arc,
};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use lavenderplank::{
    lookup::{BlockError, BlockPart, BlockTable},
    manifest::ClientBlock,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const CASES: u32 = 400;

/// The same cases in every run.
fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Few distinct bits, so that blocks nest often.
fn bits() -> impl Strategy<Value = u8> {
    prop_oneof![Just(0), Just(1), Just(128), Just(255)]
}

fn address() -> impl Strategy<Value = IpAddr> {
    let v4 = (bits(), bits(), bits()).prop_map(|(a, b, c)| Ipv4Addr::new(10, a, b, c).into());
    let v6 = (bits(), bits(), bits()).prop_map(|(a, b, c)| {
        Ipv6Addr::new(0x2001, 0xdb8, a.into(), b.into(), 0, 0, 0, c.into()).into()
    });
    prop_oneof![3 => v4, 1 => v6]
}

fn block() -> impl Strategy<Value = IpNet> {
    (address(), 0_u8..=32).prop_map(|(ip, len)| match ip {
        IpAddr::V4(ip) => IpNet::V4(Ipv4Net::new_assert(ip, len).trunc()),
        IpAddr::V6(ip) => IpNet::V6(Ipv6Net::new_assert(ip, 4 * len).trunc()),
    })
}

fn blocks(list: &[&str]) -> Vec<ClientBlock> {
    let block = |text: &&str| ClientBlock { block: text.parse().unwrap(), home: (*text).into() };
    list.iter().map(block).collect()
}

fn part(list: &[&str]) -> Arc<BlockPart> {
    Arc::new(BlockPart::build(&blocks(list)))
}

// A caller's longest block may stand in another part than the one its address falls into, or in the
// manifest's text. Looked for in one part only, the caller would be sent to another region or be
// nobody's, and each host would do so.
#[test]
fn parts_give_the_home_that_one_table_gives() {
    let cases = (
        prop::collection::btree_map(block(), (0..6_u8, any::<bool>()), 0..40),
        prop::collection::vec(0_usize..40, 0..8),
        prop::collection::vec(address(), 60),
    );
    runner()
        .run(&cases, |(all, mut cuts, asked)| {
            let block = |(block, (home, _)): (&IpNet, &(u8, bool))| ClientBlock {
                block: *block,
                home: format!("r{home}").into(),
            };
            let whole = BlockTable::build(&all.iter().map(block).collect::<Vec<_>>());
            let of = |wanted: bool| -> Vec<ClientBlock> {
                all.iter().filter(|(_, (_, listed))| *listed == wanted).map(block).collect()
            };
            let (listed, sorted) = (of(true), of(false));
            cuts.extend([0, sorted.len()]);
            cuts.iter_mut().for_each(|cut| *cut = (*cut).min(sorted.len()));
            cuts.sort_unstable();
            let parts: Vec<_> = cuts
                .windows(2)
                .map(|cut| Arc::new(BlockPart::build(&sorted[cut[0]..cut[1]])))
                .collect();
            let table = BlockTable::build(&listed).with_parts(&parts).unwrap();
            prop_assert_eq!(table.len(), whole.len());
            let ends = all.keys().flat_map(|block| [block.network(), block.broadcast()]);
            for ip in asked.iter().copied().chain(ends) {
                prop_assert_eq!(table.home_region(ip), whole.home_region(ip), "{}", ip);
            }
            Ok(())
        })
        .unwrap();
}

// Blocks of three sizes hold one address, each in a part of its own, with a part between that does
// not hold it. Whoever asks gets the longest one, and past its end the next longer.
#[test]
fn a_block_reaches_over_the_parts_behind_it() {
    let parts = [
        part(&["10.0.0.0/8", "10.1.0.0/16"]),
        part(&["10.1.4.0/24"]),
        part(&["10.1.9.0/24", "10.3.0.0/16"]),
        part(&["10.7.0.0/16", "2001:db8::/32"]),
        part(&["2001:db8:1::/48"]),
    ];
    let table = BlockTable::default().with_parts(&parts).unwrap();
    let home = |ip: &str| table.home_region(ip.parse().unwrap()).map(|home| home.to_string());
    let expected = BTreeMap::from([
        ("10.1.4.9", Some("10.1.4.0/24")),
        ("10.1.8.1", Some("10.1.0.0/16")),
        ("10.1.10.1", Some("10.1.0.0/16")),
        ("10.2.0.1", Some("10.0.0.0/8")),
        ("10.9.0.1", Some("10.0.0.0/8")),
        ("11.0.0.1", None),
        ("2001:db8:1::1", Some("2001:db8:1::/48")),
        ("2001:db8:2::1", Some("2001:db8::/32")),
        ("2001:db9::1", None),
        ("9.255.255.255", None),
        ("::ffff:10.1.4.9", Some("10.1.4.0/24")),
    ]);
    for (ip, expected) in expected {
        assert_eq!(home(ip).as_deref(), expected, "{ip}");
    }
}

// The place of an address among the parts says where to look. Parts out of order, or one block in
// two places, would give one caller two homes; such parts are no table.
#[test]
fn parts_out_of_order_and_blocks_given_twice_are_refused() {
    let (low, high) = (part(&["10.0.0.0/8", "10.1.0.0/16"]), part(&["10.1.0.0/24"]));
    let block = |text: &str| -> IpNet { text.parse().unwrap() };
    let table = BlockTable::build(&blocks(&["10.4.0.0/16"]));
    assert!(table.with_parts(&[low.clone(), part(&[]), high.clone()]).is_ok());
    let order = |text| Some(BlockError::OutOfOrder { block: block(text) });
    assert_eq!(table.with_parts(&[high.clone(), low.clone()]).err(), order("10.0.0.0/8"));
    assert_eq!(table.with_parts(&[low.clone(), low.clone()]).err(), order("10.0.0.0/8"));
    let repeats = part(&["10.1.0.0/16"]);
    assert_eq!(table.with_parts(&[low.clone(), repeats]).err(), order("10.1.0.0/16"));
    let twice = Some(BlockError::Duplicate { block: block("10.4.0.0/16") });
    assert_eq!(table.with_parts(&[low, part(&["10.4.0.0/16"])]).err(), twice);
}
