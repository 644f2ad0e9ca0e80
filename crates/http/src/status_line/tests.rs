use super::*;

fn parse(parts: &[&str]) -> Received {
    let mut parser = StatusLineParser::default();
    parts
        .iter()
        .fold(Received::Nothing, |_, part| parser.read(part.as_bytes(), &mut NestedStatusLine::default()))
}

#[test]
fn finds_the_status_line_of_the_final_response() {
    let ok = Received::Status(StatusCode::OK);
    assert_eq!(parse(&["HTTP/1.1 200 OK\r\n"]), ok);
    assert_eq!(parse(&["HTTP/1.", "0 200", "\n\0noise"]), ok);
    assert_eq!(parse(&["HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n"]), ok);
    assert_eq!(parse(&["HTTP/1.1 102 Processing\r\n\r\n"]), Received::Nothing);
    assert_eq!(parse(&["HTTP/1.1 102 Processing\r\n"]), Received::Started);
    for other in [
        "HTTP/1.1 200",
        "HTTP/1.1 2000 OK\r\n",
        "HTTP/1.1 20",
        "\0\u{1}noise",
        "200 OK\r\n",
        "HTTP/1.1 20x\r\n",
    ] {
        assert_eq!(parse(&[other]), Received::Started, "{other:?}");
    }
    // A line without an end does not exhaust the memory.
    let mut parser = StatusLineParser::default();
    assert_eq!(
        (parser.read(&[b'x'; 5000], &mut NestedStatusLine::default()), parser.line.len()),
        (Received::Started, MAX_LINE_BYTES)
    );
}

/// Returns whether a response has another status line in its head, and in its body.
fn nested(parts: &[&str]) -> (bool, bool) {
    let mut nested = NestedStatusLine::default();
    let mut parser = StatusLineParser::default();
    let mut received = Received::Nothing;
    for part in parts {
        match received {
            Received::Status(_) => nested.scan(part.as_bytes()),
            _ => received = parser.read(part.as_bytes(), &mut nested),
        }
    }
    (nested.in_head, nested.in_body)
}

/// Guards against lost messages: the first part of a copy stood before the refusal of a call.
#[test]
fn finds_a_status_line_inside_another_response() {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{body}";
    assert_eq!(nested(&[whole]), (false, false));
    assert_eq!(nested(&["HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n"]), (false, false));
    for cut in "HTTP/1.1 200 ".len()..whole.len() {
        let in_body = whole[..cut].ends_with("\r\n\r\n") || whole[..cut].contains('{');
        let next = "HTTP/1.1 503 Busy\r\n\r\n";
        assert_eq!(nested(&[&whole[..cut], next]), (!in_body, in_body), "{cut}");
        assert_eq!(nested(&[&[&whole[..cut], next].concat()]), (!in_body, in_body), "{cut}");
    }
}
