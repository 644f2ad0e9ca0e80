//! Finds the status line of a response in the bytes of its stream, and those of others inside it.

use hyper::StatusCode;

/// Longest part of a status line that is kept.
const MAX_LINE_BYTES: usize = 256;
/// A status line up to the end of its code, with a question mark for each digit.
const STATUS_LINE_PATTERN: &[u8; 12] = b"HTTP/1.? ???";

/// What a connection has received of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// No bytes, or only complete interim responses.
    Nothing,
    /// Bytes, but no status line of a final response yet.
    Started,
    /// The status line, with this status.
    Status(StatusCode),
}

/// Finds the status line of the final response, skipping interim (1xx) responses.
#[derive(Default)]
pub(crate) struct StatusLineParser {
    line: Vec<u8>,
    /// Whether the current line belongs to the head of an interim response.
    in_interim: bool,
    /// Whether the received bytes are not an HTTP response.
    is_malformed: bool,
}

/// Finds status lines inside a response: only a part of the response came before the next one.
#[derive(Debug, Default)]
pub(crate) struct NestedStatusLine {
    /// Number of bytes that match the beginning of a status line.
    matched: usize,
    /// Whether the last byte, carriage returns aside, was the end of a line.
    after_line: bool,
    is_in_body: bool,
    /// Whether one was found in the reason phrase or the headers.
    pub(crate) in_head: bool,
    /// Whether one was found in the body.
    pub(crate) in_body: bool,
}

impl NestedStatusLine {
    /// Scans bytes that follow the status code of a response.
    pub(crate) fn scan(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.is_in_body |= self.after_line && byte == b'\n';
            self.after_line = byte == b'\n' || self.after_line && byte == b'\r';
            self.matched = if is_status_line_byte(self.matched, byte) {
                self.matched + 1
            } else {
                usize::from(is_status_line_byte(0, byte))
            };
            if self.matched == STATUS_LINE_PATTERN.len() {
                self.matched = 0;
                self.in_head |= !self.is_in_body;
                self.in_body |= self.is_in_body;
            }
        }
    }
}

/// Returns whether a status line, up to its code, may have this byte at this position.
fn is_status_line_byte(position: usize, byte: u8) -> bool {
    match STATUS_LINE_PATTERN[position] {
        b'?' => byte.is_ascii_digit(),
        expected => byte == expected,
    }
}

impl StatusLineParser {
    /// Reads the next bytes of the stream. Returns what has been received up to their end, or up to the
    /// status line of a final response; `nested` scans what follows its code.
    pub(crate) fn read(&mut self, bytes: &[u8], nested: &mut NestedStatusLine) -> Received {
        for (position, &byte) in bytes.iter().enumerate() {
            if byte != b'\n' {
                // The start of a longer line is enough, and a line without an end must not exhaust the
                // memory.
                if self.line.len() < MAX_LINE_BYTES {
                    self.line.push(byte);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if line.is_empty() {
                self.in_interim = false;
            } else if !self.in_interim && !self.is_malformed {
                match parse_status_line(line) {
                    Some(status) if status.is_informational() => self.in_interim = true,
                    Some(status) => {
                        nested.scan(&line[STATUS_LINE_PATTERN.len()..]);
                        nested.scan(&bytes[position..]);
                        *self = StatusLineParser::default();
                        return Received::Status(status);
                    }
                    None => self.is_malformed = true,
                }
            }
        }
        // After a complete interim response the endpoint may take its time again.
        if self.line.is_empty() && !self.in_interim && !self.is_malformed {
            Received::Nothing
        } else {
            Received::Started
        }
    }
}

/// Returns the status in a response's status line.
fn parse_status_line(line: &[u8]) -> Option<StatusCode> {
    let rest = line.strip_prefix(b"HTTP/1.1 ").or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let (code, reason) = rest.split_at_checked(3)?;
    StatusCode::from_bytes(code).ok().filter(|_| matches!(reason.first(), None | Some(b' ')))
}

#[cfg(test)]
mod tests;
