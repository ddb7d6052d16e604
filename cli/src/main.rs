//! The command line tool of cowslipport.

fn main() {}
