//! Delta encoding of texts: a configuration is sent as its difference from the version that it builds on, if
//! all receivers can read that. Texts are JSON in canonical form (sorted members, no white space), so
//! unchanged parts are equal bytes.

use crate::state::digest;
use prost::Message;
use std::collections::HashMap;

/// Largest text that is reconstructed: twice the largest configuration that a call may bring.
const MAX_TEXT_BYTES: usize = 32 << 20;

/// A part of the new text: a range copied from the old text, then inserted bytes.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// The offset of the copied range in the old text.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The length of the copied range.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// The bytes inserted after it.
    #[prost(bytes = "vec", tag = "3")]
    pub fresh: Vec<u8>,
}

/// A text, encoded as its difference from another.
#[derive(Clone, PartialEq, Message)]
pub struct Difference {
    /// The parts of the new text, in order.
    #[prost(message, repeated, tag = "1")]
    pub pieces: Vec<Piece>,
    /// The digest of the new text.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// Splits a text behind each `}`, as an update changes routes, tenants or services, which are objects.
fn chunks(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == b'}')
}

fn common_prefix_length(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

impl Difference {
    /// Computes the difference, in time linear in the length of both texts.
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
            let Piece { from, length, fresh } = &mut pieces[last];
            let copied_end = (*from + *length) as usize;
            if fresh.is_empty() && old[copied_end..].starts_with(chunk) {
                *length += chunk.len() as u64;
            } else if let Some(offset) = offsets.get(chunk) {
                let (from, length) = (*offset as u64, chunk.len() as u64);
                pieces.push(Piece { from, length, fresh: Vec::new() });
            } else {
                fresh.extend_from_slice(chunk);
            }
        }
        for first in 0..pieces.len() {
            extend_copies(old, &mut pieces[first..]);
        }
        Difference { pieces, digest }
    }

    /// Reconstructs the new text from the old one; none if `old` is not the text that the difference was made
    /// from.
    pub fn applied(&self, old: &str) -> Option<String> {
        let mut text = Vec::with_capacity(old.len().min(MAX_TEXT_BYTES));
        for Piece { from, length, fresh } in &self.pieces {
            let from = usize::try_from(*from).ok()?;
            let until = from.checked_add(usize::try_from(*length).ok()?)?;
            let copied = old.as_bytes().get(from..until)?;
            if text.len() + copied.len() + fresh.len() > MAX_TEXT_BYTES {
                return None;
            }
            text.extend_from_slice(copied);
            text.extend_from_slice(fresh);
        }
        String::from_utf8(text).ok().filter(|text| digest(text.as_bytes()) == self.digest)
    }
}

/// Shrinks the inserted bytes of the first piece to those that differ: extends its copied range forwards and
/// that of the next piece backwards, within a chunk.
fn extend_copies(old: &[u8], pieces: &mut [Piece]) {
    let [piece, rest @ ..] = pieces else { return };
    let copied_end = (piece.from + piece.length) as usize;
    let prefix = common_prefix_length(piece.fresh.iter().copied(), old[copied_end..].iter().copied());
    piece.fresh.drain(..prefix);
    piece.length += prefix as u64;
    if let [next, ..] = rest {
        let before_next = &old[..next.from as usize];
        let suffix =
            common_prefix_length(piece.fresh.iter().rev().copied(), before_next.iter().rev().copied());
        piece.fresh.truncate(piece.fresh.len() - suffix);
        (next.from, next.length) = (next.from - suffix as u64, next.length + suffix as u64);
    }
}
