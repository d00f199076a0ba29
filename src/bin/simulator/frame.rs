//! The wire format, little-endian: batches of event records, answered by batches of action records.

use std::io::{self, Read};

/// Size of one event record.
pub const EVENT_BYTES: usize = 56;
/// Size of one action record.
pub const ACTION_BYTES: usize = 32;
/// Size of one entry of a backend list.
pub const ENTRY_BYTES: usize = 21;
/// Maximum size of a frame; large batches take several megabytes.
const MAX_FRAME_BYTES: u32 = 256 << 20;
/// Size of a batch header, without the length before it.
const BATCH_HEADER_BYTES: usize = 16;

/// A record or list entry, read field by field.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    bytes: &'a [u8],
    /// The record's offset in the frame, for error messages.
    frame_offset: usize,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], frame_offset: usize) -> Self {
        Fields { bytes, frame_offset }
    }

    pub fn frame_offset(&self) -> usize {
        self.frame_offset
    }

    fn array<const N: usize>(&self, offset: usize) -> Result<[u8; N], String> {
        let array = self.bytes.get(offset..offset + N).and_then(|bytes| bytes.try_into().ok());
        array.ok_or_else(|| format!("record at byte {} ends before its field at {offset}", self.frame_offset))
    }

    pub fn u8(&self, offset: usize) -> Result<u8, String> {
        Ok(self.array::<1>(offset)?[0])
    }

    pub fn u16(&self, offset: usize) -> Result<u16, String> {
        self.array(offset).map(u16::from_le_bytes)
    }

    pub fn u32(&self, offset: usize) -> Result<u32, String> {
        self.array(offset).map(u32::from_le_bytes)
    }

    pub fn u64(&self, offset: usize) -> Result<u64, String> {
        self.array(offset).map(u64::from_le_bytes)
    }

    pub fn f32(&self, offset: usize) -> Result<f64, String> {
        self.array(offset).map(|bytes| f64::from(f32::from_le_bytes(bytes)))
    }

    pub fn f64(&self, offset: usize) -> Result<f64, String> {
        self.array(offset).map(f64::from_le_bytes)
    }
}

/// A batch of event records, and a tail of variable-length data that they refer to.
pub struct Batch {
    /// The frame without its length.
    bytes: Vec<u8>,
    record_count: usize,
    /// The simulated time, in ms.
    pub clock: f64,
    /// The batch's number, repeated in the reply.
    pub number: u32,
}

impl Batch {
    /// Reads the next batch; `None` if the input ends after a complete frame.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, String> {
        let mut length = Vec::with_capacity(4);
        read_up_to(input, 4, &mut length)?;
        if length.is_empty() {
            return Ok(None);
        }
        let length: [u8; 4] = length.try_into().map_err(|partial: Vec<u8>| {
            format!("input ends {} bytes into a frame's length", partial.len())
        })?;
        let length = u32::from_le_bytes(length);
        if length > MAX_FRAME_BYTES {
            return Err(format!("frame of {length} bytes is over the limit of {MAX_FRAME_BYTES}"));
        }
        let mut bytes = Vec::new();
        read_up_to(input, u64::from(length), &mut bytes)?;
        if bytes.len() < length as usize {
            return Err(format!("input ends {} bytes into a frame of {length}", bytes.len()));
        }
        let header = Fields::new(&bytes, 0);
        let (Ok(record_count), Ok(clock), Ok(number)) = (header.u32(0), header.f64(4), header.u32(12)) else {
            return Err(format!(
                "frame of {length} bytes is shorter than its header of {BATCH_HEADER_BYTES}"
            ));
        };
        if !clock.is_finite() {
            return Err(format!("batch {number}: the clock at byte 8 is not a finite number"));
        }
        let record_count = record_count as usize;
        let max_records = (bytes.len() - BATCH_HEADER_BYTES) / EVENT_BYTES;
        if record_count > max_records {
            return Err(format!(
                "batch {number}: {record_count} records do not fit into a frame with room for {max_records}"
            ));
        }
        Ok(Some(Batch { bytes, record_count, clock, number }))
    }

    pub fn events(&self) -> impl Iterator<Item = Fields<'_>> {
        let end = BATCH_HEADER_BYTES + self.record_count * EVENT_BYTES;
        self.bytes[BATCH_HEADER_BYTES..end]
            .chunks_exact(EVENT_BYTES)
            .enumerate()
            .map(|(index, bytes)| Fields::new(bytes, 4 + BATCH_HEADER_BYTES + index * EVENT_BYTES))
    }

    /// Resolves a reference to the tail: a field with the offset, followed by one with the number of items.
    pub fn tail(&self, record: &Fields, field: usize, item_bytes: usize) -> Result<&[u8], String> {
        let (offset, count) = (record.u32(field)? as usize, record.u32(field + 4)? as usize);
        let tail = &self.bytes[BATCH_HEADER_BYTES + self.record_count * EVENT_BYTES..];
        let items = count.checked_mul(item_bytes).and_then(|n| tail.get(offset..offset.checked_add(n)?));
        items.ok_or_else(|| {
            format!(
                "record at byte {}: {count} items from {offset} lie outside the tail of {} bytes",
                record.frame_offset(),
                tail.len()
            )
        })
    }
}

fn read_up_to(input: &mut impl Read, max_bytes: u64, buffer: &mut Vec<u8>) -> Result<(), String> {
    let read: io::Result<usize> = input.take(max_bytes).read_to_end(buffer);
    read.map(|_| ()).map_err(|error| format!("reading the input failed: {error}"))
}

/// A batch of action records under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    /// Variable-length data that the records refer to.
    tail: Vec<u8>,
}

impl Reply {
    /// Appends a record with these fields set and all others zero.
    pub fn add_record(&mut self, code: u8, instance: u32) -> RecordWriter<'_> {
        let start = self.records.len();
        self.records.resize(start + ACTION_BYTES, 0);
        let mut writer = RecordWriter { reply: self, start };
        writer.put(0, &[code]).put(1, &instance.to_le_bytes());
        writer
    }

    /// Encodes the reply to the batch of that number.
    pub fn encode(&self, number: u32) -> Vec<u8> {
        let length = 8 + self.records.len() + self.tail.len();
        let mut frame = Vec::with_capacity(4 + length);
        frame.extend((length as u32).to_le_bytes());
        frame.extend(((self.records.len() / ACTION_BYTES) as u32).to_le_bytes());
        frame.extend(number.to_le_bytes());
        frame.extend(&self.records);
        frame.extend(&self.tail);
        frame
    }
}

/// Fills the fields of one action record.
pub struct RecordWriter<'a> {
    reply: &'a mut Reply,
    /// The record's offset in the reply's records.
    start: usize,
}

impl RecordWriter<'_> {
    /// Writes bytes at an offset in the record.
    pub fn put(&mut self, offset: usize, bytes: &[u8]) -> &mut Self {
        self.reply.records[self.start + offset..self.start + offset + bytes.len()].copy_from_slice(bytes);
        self
    }

    /// Appends bytes to the tail, and writes their offset and length at `field` in the record.
    pub fn put_tail(&mut self, field: usize, bytes: &[u8]) -> &mut Self {
        let (offset, length) = (self.reply.tail.len() as u32, bytes.len() as u32);
        self.reply.tail.extend(bytes);
        self.put(field, &offset.to_le_bytes()).put(field + 4, &length.to_le_bytes())
    }
}
