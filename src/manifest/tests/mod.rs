use ed25519_dalek::SigningKey;

use super::*;

mod accept;
mod cached_head;
mod change;
mod load;
mod parts;

const TEXT: &str = "\
member: himalaya-tara
sequence: 7
weighing: headroom
regions:
  - name: bagmati
    reserve: 0.2
    zones: [bagmati-a, bagmati-b]
services:
  - name: bookings
    kind: booking
    shift_cap: 0.2
    connections: 400
    max_body: 65536
    timeout_ms: 2000
    targets:
      - { name: b1, zone: bagmati-a, address: 127.0.0.1:7001, slots: 3 }
client_blocks:
  - { block: 10.1.0.0/16, home: bagmati }
drains:
  - zone: bagmati-b
";

fn key(seed: u8) -> SigningKey {
    SigningKey::from_bytes(&[seed; 32])
}

fn numbered(sequence: u64) -> String {
    TEXT.replace("sequence: 7", &format!("sequence: {sequence}"))
}
