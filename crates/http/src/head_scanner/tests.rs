use super::*;

/// The same, however the bytes are cut.
fn ambiguous(text: &str) -> bool {
    let whole = Heads::default().read(text.as_bytes());
    let mut heads = Heads::default();
    let bytewise = text.as_bytes().chunks(1).filter(|byte| heads.read(byte)).count();
    assert_eq!(whole, bytewise > 0, "{text:?}");
    whole
}

#[test]
fn heads_with_one_length_are_clear() {
    assert!(!ambiguous("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"));
    assert!(!ambiguous(
        "\r\n\r\nPOST /a HTTP/1.1\nContent-Length:3\n\nContent-Length: 1\nContent-Length: 1\n"
    ));
    assert!(!ambiguous("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    // What looks like a head is a body.
    let body = "Content-Length: 1\r\nContent-Length: 1\r\n\r\n";
    assert!(!ambiguous(&format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())));
}

#[test]
fn two_lengths_or_a_length_and_a_coding_are_not() {
    for (one, other) in [
        ("Content-Length: 3", "Content-Length: 3"),
        ("content-length: 3", "CONTENT-LENGTH: 4"),
        ("Transfer-Encoding: chunked", "Content-Length: 3"),
        ("Content-Length: 3", "transfer-encoding: identity"),
    ] {
        assert!(ambiguous(&format!("POST /a HTTP/1.1\r\n{one}\r\nA: b\r\n{other}\r\n\r\n")));
        // Also in a later request on the same connection.
        let first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        assert!(ambiguous(&format!("{first}POST /a HTTP/1.1\r\n{one}\r\n{other}\r\n\r\n")));
    }
}
