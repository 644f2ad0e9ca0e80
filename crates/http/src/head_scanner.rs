//! Looks at requests' heads as their bytes pass, in front of the parser. It only tells where a head leaves in
//! doubt how long its body is; to read and to refuse is the parser's and the intake's.

/// Longest part of a line that is looked at: a name, and a length.
const LINE_MOST: usize = 64;

/// Where in the stream of requests the next byte belongs.
#[derive(Debug, Default)]
pub(crate) struct Heads {
    line: Vec<u8>,
    lengths: u32,
    length: u64,
    /// A line of this head has been read.
    begun: bool,
    coded: bool,
    /// Bytes left of a body.
    body: u64,
    /// Where the next head begins is not known: the connection ends with this one.
    lost: bool,
}

impl Heads {
    /// Takes the next bytes; true if they end a head with more than one length, or with a length and a
    /// transfer coding.
    pub(crate) fn read(&mut self, mut bytes: &[u8]) -> bool {
        let mut ambiguous = false;
        while !self.lost && !bytes.is_empty() {
            if self.body > 0 {
                let skipped = usize::try_from(self.body).unwrap_or(usize::MAX).min(bytes.len());
                self.body -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            // Of a longer line the start is enough.
            let room = LINE_MOST - self.line.len();
            self.line.extend_from_slice(&part[..part.len().min(room)]);
            let Some(end) = end else { break };
            bytes = &bytes[end + 1..];
            ambiguous |= self.end_line();
        }
        ambiguous
    }

    /// A head has begun and has not come to its end.
    pub(crate) fn is_within(&self) -> bool {
        self.begun || !self.line.is_empty()
    }

    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if !line.is_empty() {
            self.begun = true;
            self.header(line);
            return false;
        }
        if !self.begun {
            // Empty lines ahead of a request are skipped.
            return false;
        }
        let ambiguous = self.lengths > 1 || (self.lengths > 0 && self.coded);
        *self = Heads { body: self.length, lost: ambiguous || self.coded, ..Heads::default() };
        ambiguous
    }

    fn header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            self.lengths += 1;
            // One that is no number is refused by the parser.
            self.length = str::from_utf8(value).ok().and_then(|v| v.parse().ok()).unwrap_or(0);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.coded = true;
        }
    }
}

#[cfg(test)]
mod tests;
