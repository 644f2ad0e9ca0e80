//! What another forwarder says: whatever it is, it is read or refused, and nothing follows that is not bounded. Its corpus, and some random bytes; with
//! coverage as guide: `cargo bolero test -p yarrowhill-fuzz packets --sanitizer NONE -T 600s`.

use yarrowhill_fuzz::Fuzz;

fn main() {
    let fuzz = Fuzz::start("packets").expect("a target");
    bolero::check!().with_iterations(5000).with_max_len(2048).for_each(|input: &[u8]| fuzz.take(input));
}
