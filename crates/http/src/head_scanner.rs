//! Scans request heads in front of the HTTP parser for ambiguous body framing. The scanner only detects heads
//! whose body length is in doubt; parsing and refusing requests is left to the parser and the intake.

/// Number of bytes of each line that are kept: enough for the name and value of a length header.
const MAX_LINE_BYTES: usize = 64;

/// State of the scan of one connection's request stream.
#[derive(Debug, Default)]
pub(crate) struct HeadScanner {
    line: Vec<u8>,
    /// Number of `Content-Length` headers in the current head.
    content_lengths: u32,
    content_length: u64,
    /// Whether a line of the current head has been read.
    has_line: bool,
    has_transfer_encoding: bool,
    /// Number of bytes left of the current body.
    body_left: u64,
    /// Whether the start of the next head is unknown. The connection closes after the current request.
    is_lost: bool,
}

impl HeadScanner {
    /// Scans the next bytes of the stream. Returns true if they complete a head with more than one
    /// `Content-Length`, or with both `Content-Length` and `Transfer-Encoding`.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) -> bool {
        let mut ambiguous = false;
        while !self.is_lost && !bytes.is_empty() {
            if self.body_left > 0 {
                let skipped = usize::try_from(self.body_left).unwrap_or(usize::MAX).min(bytes.len());
                self.body_left -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            if !self.is_inside_head() {
                // Empty lines before a request are skipped.
                let begin = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n'));
                bytes = &bytes[begin.unwrap_or(bytes.len())..];
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            // The start of a longer line is enough.
            let room = MAX_LINE_BYTES - self.line.len();
            self.line.extend_from_slice(&part[..part.len().min(room)]);
            let Some(end) = end else { break };
            bytes = &bytes[end + 1..];
            ambiguous |= self.end_line();
        }
        ambiguous
    }

    /// Returns true if a head has begun and is not complete.
    pub(crate) fn is_inside_head(&self) -> bool {
        self.has_line || !self.line.is_empty()
    }

    /// Returns true if the bytes so far end with a complete request, or none has begun.
    pub(crate) fn is_between_requests(&self) -> bool {
        !self.is_inside_head() && self.body_left == 0 && !self.is_lost
    }

    fn end_line(&mut self) -> bool {
        // The buffer is used again: there may be millions of short lines.
        let mut buffer = std::mem::take(&mut self.line);
        let ambiguous = self.scan_line(buffer.strip_suffix(b"\r").unwrap_or(&buffer));
        buffer.clear();
        self.line = buffer;
        ambiguous
    }

    fn scan_line(&mut self, line: &[u8]) -> bool {
        if !line.is_empty() {
            self.has_line = true;
            self.scan_header(line);
            return false;
        }
        let ambiguous = self.content_lengths > 1 || (self.content_lengths > 0 && self.has_transfer_encoding);
        *self = HeadScanner {
            body_left: self.content_length,
            is_lost: ambiguous || self.has_transfer_encoding,
            ..HeadScanner::default()
        };
        ambiguous
    }

    fn scan_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.content_lengths += 1;
            // The parser refuses a length that is not a number.
            self.content_length = str::from_utf8(value).ok().and_then(|v| v.parse().ok()).unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.has_transfer_encoding = true;
        }
    }
}

#[cfg(test)]
mod tests;
