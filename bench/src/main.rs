//! Measures the decision modules on seeded traces.

fn main() {}
