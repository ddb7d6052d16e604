//! The daemon of cowslipport.

fn main() {}
