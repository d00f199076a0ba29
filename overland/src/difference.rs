//! What one text has that another lacks: a configuration travels as its difference from the version that it builds on,
//! as far as all who read it can. Texts are JSON in one form (sorted members, no blanks), so that what is the same in two
//! versions is the same bytes.

use crate::state::digest;
use prost::Message;
use std::collections::HashMap;

/// Bytes of a text at most: twice the largest configuration that a call may bring.
const TEXT_MOST: usize = 32 << 20;

/// A part of the new text: some of the old one, and then something new.
#[derive(Clone, PartialEq, Message)]
pub struct Piece {
    /// Where in the old text.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// How many bytes of it.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// What follows.
    #[prost(bytes = "vec", tag = "3")]
    pub fresh: Vec<u8>,
}

/// A text as its difference from another.
#[derive(Clone, PartialEq, Message)]
pub struct Difference {
    /// Its parts, in order.
    #[prost(message, repeated, tag = "1")]
    pub pieces: Vec<Piece>,
    /// The digest of the new text.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
}

/// The text in parts that end with an object's end: what changes is a route, a tenant or a service, each an object.
fn items(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| *byte == b'}')
}

fn same(a: impl Iterator<Item = u8>, b: impl Iterator<Item = u8>) -> usize {
    a.zip(b).take_while(|(a, b)| a == b).count()
}

impl Difference {
    /// What the new text has that the old one lacks, in time that grows with both together.
    pub fn between(old: &str, new: &str) -> Self {
        let (text, digest) = (old.as_bytes(), digest(new.as_bytes()));
        let mut places: HashMap<&[u8], usize> = HashMap::new();
        let mut at = 0;
        for item in items(text) {
            places.entry(item).or_insert(at);
            at += item.len();
        }
        let mut pieces = vec![Piece::default()];
        for item in items(new.as_bytes()) {
            let last = pieces.len() - 1;
            let Piece { from, length, fresh } = &mut pieces[last];
            let goes_on = (*from + *length) as usize;
            if fresh.is_empty() && text[goes_on..].starts_with(item) {
                *length += item.len() as u64;
            } else if let Some(place) = places.get(item) {
                let (from, length) = (*place as u64, item.len() as u64);
                pieces.push(Piece { from, length, fresh: Vec::new() });
            } else {
                fresh.extend_from_slice(item);
            }
        }
        for at in 0..pieces.len() {
            narrow(text, &mut pieces[at..]);
        }
        Difference { pieces, digest }
    }

    /// The new text, by the old one; none where this is not the text that it was made from.
    pub fn applied(&self, old: &str) -> Option<String> {
        let mut text = Vec::with_capacity(old.len().min(TEXT_MOST));
        for Piece { from, length, fresh } in &self.pieces {
            let from = usize::try_from(*from).ok()?;
            let until = from.checked_add(usize::try_from(*length).ok()?)?;
            let kept = old.as_bytes().get(from..until)?;
            if text.len() + kept.len() + fresh.len() > TEXT_MOST {
                return None;
            }
            text.extend_from_slice(kept);
            text.extend_from_slice(fresh);
        }
        String::from_utf8(text).ok().filter(|text| digest(text.as_bytes()) == self.digest)
    }
}

/// What is new between two kept parts begins and ends where the old text does otherwise, and not with its object.
fn narrow(old: &[u8], pieces: &mut [Piece]) {
    let [piece, rest @ ..] = pieces else { return };
    let end = (piece.from + piece.length) as usize;
    let begins = same(piece.fresh.iter().copied(), old[end..].iter().copied());
    piece.fresh.drain(..begins);
    piece.length += begins as u64;
    if let [next, ..] = rest {
        let before = &old[..next.from as usize];
        let ends = same(piece.fresh.iter().rev().copied(), before.iter().rev().copied());
        piece.fresh.truncate(piece.fresh.len() - ends);
        (next.from, next.length) = (next.from - ends as u64, next.length + ends as u64);
    }
}
