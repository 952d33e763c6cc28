use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::{prelude::*, view::HostView};

mod fleet;

use fleet::Fleet;
