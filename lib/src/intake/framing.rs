//! Ends of heads and bodies in the bytes of an HTTP/1.1 connection.

/// Length of a body, as its head states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Sized(u64),
    /// The body comes in chunks.
    Chunked,
    /// The body goes on until the connection ends.
    Endless,
}

/// Finds the end of the present head or body, so that the bytes behind it can be kept
/// from whoever decodes it.
#[derive(Clone, Debug)]
pub struct Framing {
    part: Part,
}

#[derive(Clone, Debug)]
enum Part {
    Head(Lines),
    Sized {
        left: u64,
    },
    Chunked(Chunk),
    Endless,
    /// Nothing belongs to the request any more.
    Over,
}

#[derive(Clone, Debug)]
enum Chunk {
    /// The line that states the size of a chunk.
    Size { bytes: u64, is_extension: bool },
    /// Data of a chunk.
    Data { left: u64 },
    /// The end of the line behind the data.
    DataEnd,
    /// The lines behind the last chunk.
    Trailers(Lines),
}

/// Lines up to an empty one.
#[derive(Clone, Debug)]
struct Lines {
    is_line_empty: bool,
    /// Empty lines before the text are skipped.
    has_text: bool,
}

impl Framing {
    /// The head of a request comes next.
    pub fn head() -> Self {
        Self { part: Part::Head(Lines { is_line_empty: true, has_text: false }) }
    }

    /// A body of this length comes next.
    pub fn body(length: BodyLength) -> Self {
        let part = match length {
            BodyLength::None | BodyLength::Sized(0) => Part::Over,
            BodyLength::Sized(left) => Part::Sized { left },
            BodyLength::Chunked => Part::Chunked(Chunk::Size { bytes: 0, is_extension: false }),
            BodyLength::Endless => Part::Endless,
        };
        Self { part }
    }

    /// True if the head or the body is whole.
    pub fn is_over(&self) -> bool {
        matches!(self.part, Part::Over)
    }

    /// Takes the next bytes, and returns how many of them belong to the present head or
    /// body.
    pub fn take(&mut self, bytes: &[u8]) -> usize {
        match &mut self.part {
            Part::Over => 0,
            Part::Endless => bytes.len(),
            Part::Sized { left } => {
                let taken = length_within(bytes, *left);
                *left -= taken as u64;
                if *left == 0 {
                    self.part = Part::Over;
                }
                taken
            }
            Part::Head(lines) => {
                let end = bytes.iter().position(|byte| lines.ends_with(*byte));
                self.end_after(end, bytes)
            }
            Part::Chunked(chunk) => {
                let mut taken = 0;
                while let Some(byte) = bytes.get(taken) {
                    if let Chunk::Data { left } = chunk {
                        let data = length_within(&bytes[taken..], *left);
                        *left -= data as u64;
                        taken += data;
                        if *left == 0 {
                            *chunk = Chunk::DataEnd;
                        }
                        continue;
                    }
                    if chunk.ends_with(*byte) {
                        return self.end_after(Some(taken), bytes);
                    }
                    taken += 1;
                }
                taken
            }
        }
    }

    /// Ends the part after the byte at `end`, if there is one.
    fn end_after(&mut self, end: Option<usize>, bytes: &[u8]) -> usize {
        let Some(end) = end else { return bytes.len() };
        self.part = Part::Over;
        end + 1
    }
}

impl Chunk {
    /// Takes a byte outside of the data. Returns true if it ends the body.
    fn ends_with(&mut self, byte: u8) -> bool {
        match self {
            Self::Size { bytes: 0, .. } if byte == b'\n' => {
                *self = Self::Trailers(Lines { is_line_empty: true, has_text: true });
            }
            Self::Size { bytes, .. } if byte == b'\n' => *self = Self::Data { left: *bytes },
            Self::Size { bytes, is_extension } => match (byte as char).to_digit(16) {
                Some(digit) if !*is_extension => {
                    *bytes = bytes.saturating_mul(16).saturating_add(digit.into());
                }
                Some(_) | None => *is_extension = true,
            },
            Self::DataEnd if byte == b'\n' => {
                *self = Self::Size { bytes: 0, is_extension: false };
            }
            Self::Data { .. } | Self::DataEnd => {}
            Self::Trailers(lines) => return lines.ends_with(byte),
        }
        false
    }
}

impl Lines {
    /// Takes a byte. Returns true if it ends an empty line behind the text.
    fn ends_with(&mut self, byte: u8) -> bool {
        match byte {
            b'\n' => {
                let is_end = self.is_line_empty && self.has_text;
                self.is_line_empty = true;
                return is_end;
            }
            b'\r' => {}
            _ => {
                self.is_line_empty = false;
                self.has_text = true;
            }
        }
        false
    }
}

fn length_within(bytes: &[u8], limit: u64) -> usize {
    usize::try_from(limit).map_or(bytes.len(), |limit| limit.min(bytes.len()))
}
