//! Delta encoding of texts: a configuration is sent as its difference from the edition that it builds on, if
//! all receivers can read that. Texts are JSON in canonical form (sorted members, no white space), so
//! unchanged parts are equal bytes.

use crate::state::digest;
use prost::Message;
use std::collections::HashMap;

/// Largest text that is reconstructed: twice the largest body of a call.
const MAX_TEXT_BYTES: usize = 32 << 20;

/// A part of the new text: a range copied from the old text, then inserted bytes.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// The offset of the copied range in the old text.
    #[prost(uint64, tag = "1")]
    pub offset: u64,
    /// The length of the copied range.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// The bytes inserted after it.
    #[prost(bytes = "vec", tag = "3")]
    pub inserted: Vec<u8>,
}

/// A text, encoded as its difference from another text.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// The parts of the new text, in order.
    #[prost(message, repeated, tag = "1")]
    pub pieces: Vec<Piece>,
    /// The digest of the new text.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Splits a text after each `}`. Updates change routes, tenants or services; each of them is an object.
fn chunks(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == b'}')
}

fn common_prefix_length(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

impl Delta {
    /// Computes the difference, in time linear in the length of both texts. Chunks of the new text that the old
    /// one contains are copied, the others are inserted.
    pub fn between(old: &str, new: &str) -> Self {
        let (old, digest) = (old.as_bytes(), digest(new.as_bytes()));
        let mut offsets: HashMap<&[u8], usize> = HashMap::new();
        let mut offset = 0;
        for chunk in chunks(old) {
            offsets.entry(chunk).or_insert(offset);
            offset += chunk.len();
        }
        let mut pieces = vec![Piece::default()];
        for chunk in chunks(new.as_bytes()) {
            let last = pieces.len() - 1;
            let Piece { offset, length, inserted } = &mut pieces[last];
            let copied_end = (*offset + *length) as usize;
            if inserted.is_empty() && old[copied_end..].starts_with(chunk) {
                *length += chunk.len() as u64;
            } else if let Some(offset) = offsets.get(chunk) {
                let (offset, length) = (*offset as u64, chunk.len() as u64);
                pieces.push(Piece { offset, length, inserted: Vec::new() });
            } else {
                inserted.extend_from_slice(chunk);
            }
        }
        for first in 0..pieces.len() {
            extend_copies(old, &mut pieces[first..]);
        }
        Delta { pieces, digest }
    }

    /// Reconstructs the new text from the old one; none if `old` is not the text that the difference was made
    /// from, or the result would be too long.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut text = Vec::with_capacity(old.len().min(MAX_TEXT_BYTES));
        for Piece { offset, length, inserted } in &self.pieces {
            let start = usize::try_from(*offset).ok()?;
            let end = start.checked_add(usize::try_from(*length).ok()?)?;
            let copied = old.as_bytes().get(start..end)?;
            if text.len() + copied.len() + inserted.len() > MAX_TEXT_BYTES {
                return None;
            }
            text.extend_from_slice(copied);
            text.extend_from_slice(inserted);
        }
        String::from_utf8(text).ok().filter(|text| digest(text.as_bytes()) == self.digest)
    }
}

/// Shrinks the inserted bytes of the first piece to those that differ: extends its copied range forwards and
/// that of the next piece backwards, within a chunk.
fn extend_copies(old: &[u8], pieces: &mut [Piece]) {
    let [piece, rest @ ..] = pieces else { return };
    let copied_end = (piece.offset + piece.length) as usize;
    let prefix = common_prefix_length(piece.inserted.iter().copied(), old[copied_end..].iter().copied());
    piece.inserted.drain(..prefix);
    piece.length += prefix as u64;
    if let [next, ..] = rest {
        let before_next = &old[..next.offset as usize];
        let suffix =
            common_prefix_length(piece.inserted.iter().rev().copied(), before_next.iter().rev().copied());
        piece.inserted.truncate(piece.inserted.len() - suffix);
        (next.offset, next.length) = (next.offset - suffix as u64, next.length + suffix as u64);
    }
}
