//! Tests of where heads and bodies end in the bytes of a connection.

use cowslipport_lib::intake::framing::BodyLength;
use cowslipport_lib::intake::framing::Framing;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::proptest;

/// What follows a request in the tests.
const NEXT: &str = "GET /next HTTP/1.1\r\n\r\n";

/// Bytes of `text` that belong to the part, given in pieces of these lengths; none if the
/// part is not over then.
fn end(mut framing: Framing, text: &str, pieces: &[usize]) -> Option<usize> {
    let mut rest = text.as_bytes();
    let mut pieces = pieces.iter().copied().chain(std::iter::repeat(usize::MAX));
    let mut taken = 0;
    while !framing.is_over() && !rest.is_empty() {
        let length = pieces.next().unwrap_or(1).clamp(1, rest.len());
        let part = framing.take(&rest[..length]);
        taken += part;
        rest = &rest[part..];
    }
    framing.is_over().then_some(taken)
}

fn check(framing: &Framing, text: &str) {
    let whole = format!("{text}{NEXT}");
    assert_eq!(end(framing.clone(), &whole, &[]), Some(text.len()), "{text:?}");
    assert_eq!(end(framing.clone(), &whole, &[1; 200]), Some(text.len()), "{text:?}");
}

#[test]
fn heads_end_with_their_empty_line() {
    for text in [
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\nHost: a\n\n",
        "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n\n",
    ] {
        check(&Framing::head(), text);
    }
    assert_eq!(end(Framing::head(), "GET / HTTP/1.1\r\nHost: a\r\n", &[]), None);
    assert_eq!(end(Framing::head(), "\r\n\r\n\r\n", &[]), None);
}

#[test]
fn bodies_end_by_their_length() {
    check(&Framing::body(BodyLength::None), "");
    check(&Framing::body(BodyLength::Sized(0)), "");
    check(&Framing::body(BodyLength::Sized(5)), "\r\n\r\n ");
    assert_eq!(end(Framing::body(BodyLength::Sized(6)), "12345", &[]), None);
    assert_eq!(end(Framing::body(BodyLength::Endless), NEXT, &[]), None);
}

#[test]
fn chunked_bodies_end_after_their_trailers() {
    for text in [
        "0\r\n\r\n",
        "5\r\n\r\n\r\n \r\n0\r\n\r\n",
        "1;name=0\r\na\r\n00\r\n\r\n",
        "A\r\n0123456789\r\n0\r\nName: value\r\n\r\n",
        "2\n\n\n\n0\n\n",
    ] {
        check(&Framing::body(BodyLength::Chunked), text);
    }
    assert_eq!(end(Framing::body(BodyLength::Chunked), "1\r\na\r\n", &[]), None);
    let huge = format!("{}\r\n{NEXT}", "f".repeat(40));
    assert_eq!(end(Framing::body(BodyLength::Chunked), &huge, &[]), None);
}

proptest! {
    /// The end of a body does not depend on how its bytes arrive.
    #[test]
    fn chunked_bodies_end_alike_however_they_arrive(
        chunks in proptest::collection::vec("[a0\r\n]{1,20}", 0..5),
        pieces in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let chunks = chunks.iter().map(|data| format!("{:x}\r\n{data}\r\n", data.len()));
        let text = chunks.collect::<String>() + "0\r\n\r\n";
        let pieces: Vec<usize> = pieces.into_iter().map(usize::from).collect();
        let framing = Framing::body(BodyLength::Chunked);
        prop_assert_eq!(end(framing, &format!("{text}{NEXT}"), &pieces), Some(text.len()));
    }
}
