use super::*;

/// Scans the text at once and byte by byte, and checks that both give the same result.
fn is_ambiguous(text: &str) -> bool {
    let at_once = HeadScanner::default().scan(text.as_bytes());
    let mut scanner = HeadScanner::default();
    let bytewise = text.as_bytes().chunks(1).filter(|byte| scanner.scan(byte)).count();
    assert_eq!(at_once, bytewise > 0, "{text:?}");
    at_once
}

#[test]
fn accepts_heads_with_one_length_or_one_coding() {
    assert!(!is_ambiguous("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n"));
    assert!(!is_ambiguous(
        "\r\n\r\nPOST /a HTTP/1.1\nContent-Length:3\n\nContent-Length: 1\nContent-Length: 1\n"
    ));
    assert!(!is_ambiguous("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    // A body that looks like a head is not scanned.
    let body = "Content-Length: 1\r\nContent-Length: 1\r\n\r\n";
    assert!(!is_ambiguous(&format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())));
}

#[test]
fn detects_two_lengths_and_a_length_beside_a_coding() {
    for (first_header, second_header) in [
        ("Content-Length: 3", "Content-Length: 3"),
        ("content-length: 3", "CONTENT-LENGTH: 4"),
        ("Transfer-Encoding: chunked", "Content-Length: 3"),
        ("Content-Length: 3", "transfer-encoding: identity"),
    ] {
        assert!(is_ambiguous(&format!(
            "POST /a HTTP/1.1\r\n{first_header}\r\nA: b\r\n{second_header}\r\n\r\n"
        )));
        // The same in a later request on the connection.
        let earlier = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
        assert!(is_ambiguous(&format!(
            "{earlier}POST /a HTTP/1.1\r\n{first_header}\r\n{second_header}\r\n\r\n"
        )));
    }
}
