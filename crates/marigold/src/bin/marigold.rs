//! `marigold`: the operators' command line.
fn main() {}
