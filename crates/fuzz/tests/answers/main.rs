//! Answers of an endpoint, over loopback: no input may cause a panic. Runs the corpus and some random inputs.
//! With coverage guidance:
//! `cargo bolero test -p yarrowhill-fuzz answers --sanitizer NONE -T 600s`.

use yarrowhill_fuzz::Fuzz;

fn main() {
    let fuzz = Fuzz::start("answers").expect("the target starts");
    bolero::check!().with_iterations(5).with_max_len(8192).for_each(|input: &[u8]| fuzz.run(input));
}
