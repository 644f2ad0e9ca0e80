//! A client's requests, over loopback: whatever stands there, nothing panics. Its corpus, and some random bytes; with coverage as guide:
//! `cargo bolero test -p yarrowhill-fuzz heads --sanitizer NONE -T 600s`.

use yarrowhill_fuzz::Fuzz;

fn main() {
    let fuzz = Fuzz::start("heads").expect("a target");
    bolero::check!().with_iterations(50).with_max_len(8192).for_each(|input: &[u8]| fuzz.take(input));
}
