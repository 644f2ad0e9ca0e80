//! Packets of another forwarder: any input must be decoded or rejected, and its effects must be bounded. Runs
//! the corpus and some random inputs. With coverage guidance:
//! `cargo bolero test -p yarrowhill-fuzz packets --sanitizer NONE -T 600s`.

use yarrowhill_fuzz::Fuzz;

fn main() {
    let fuzz = Fuzz::start("packets").expect("the target starts");
    bolero::check!().with_iterations(5000).with_max_len(2048).for_each(|input: &[u8]| fuzz.run(input));
}
