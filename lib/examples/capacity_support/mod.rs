//! Operators' files of any size, for the measuring programs.

use std::fmt::Write;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The failure domains of the target, three in one region and two in the other.
pub const DOMAINS: [&str; 5] = ["north-a", "north-b", "north-c", "south-a", "south-b"];

/// Leafs per service: 910 shards with two replicas each.
const SERVICE_LEAFS: usize = 1820;

/// Writes a file with the number of leafs. The host part of the addresses is drawn at random,
/// because runs of addresses would compress better than real ones. Files that differ only in
/// `moved` differ in the failure domain and address of one leaf.
pub fn file_text(leafs: usize, moved: usize) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut text = String::from("system = \"target\"\nobjective = \"coverage\"\n");
    for domain in DOMAINS {
        write!(text, "\n[[failure_domain]]\nname = \"{domain}\"\n").expect("written to memory");
    }
    for first in (0..leafs).step_by(SERVICE_LEAFS) {
        let size = SERVICE_LEAFS.min(leafs - first);
        write!(
            text,
            "\n[[service]]\nname = \"service-{first}\"\ndeadline = \"120ms\"\nslots = 2\n\
             connections = 25\nconnect_cost = \"6ms\"\nshards = {}\nserving = \"v1\"\n\n\
             [[service.version]]\nname = \"v1\"\nleafs = [\n",
            size.div_ceil(2),
        )
        .expect("written to memory");
        for leaf in 0..size {
            let number = first + leaf;
            let host: u16 = random.random();
            let shift = usize::from(number == moved);
            let domain = (number + shift) % DOMAINS.len();
            // The port makes each address unique.
            writeln!(
                text,
                "    {{ address = \"10.{domain}.{}.{}:{}\", shard = {}, failure_domain = \"{}\" }},",
                host >> 8,
                host & 255,
                20_000 + number,
                leaf / 2,
                DOMAINS[domain],
            )
            .expect("written to memory");
        }
        text += "]\n";
    }
    text
}
