//! Tests of the compression of bodies, records and messages. They have a file of their own because
//! the counting allocator is global.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use allocation_counter::measure;
use camphorhold::coordination::control::Action;
use camphorhold::coordination::control::BodyPart;
use camphorhold::coordination::control::BodyRequest;
use camphorhold::coordination::control::GossipResponse;
use camphorhold::coordination::control::Input;
use camphorhold::coordination::control::Machine;
use camphorhold::coordination::control::Message;
use camphorhold::coordination::control::Sender;
use camphorhold::coordination::control::SentRecord;
use camphorhold::coordination::control::Settings;
use camphorhold::coordination::gossip::Delta;
use camphorhold::coordination::gossip::Digest;
use camphorhold::coordination::proposal::StoreRevision;
use camphorhold::coordination::proposal::StoredRecord;
use camphorhold::protocol::instance::Envelope;
use camphorhold::protocol::instance::InvalidEnvelope;
use camphorhold::protocol::instance::MAX_MESSAGE_BYTES;
use camphorhold::protocol::store::Blob;
use camphorhold::state::compression::Error;
use camphorhold::state::compression::compress;
use camphorhold::state::compression::decompress;
use camphorhold::state::compression::pack;
use camphorhold::state::compression::unpack;
use camphorhold::state::hlc::Timestamp;
use camphorhold::state::id::InstanceId;
use camphorhold::state::id::OperationId;
use camphorhold::state::record::Candidate;
use camphorhold::state::record::FileRef;
use camphorhold::state::record::Record;
use proptest::prelude::*;

/// The limit passed to the decompression, in bytes.
const LIMIT: usize = 1024 * 1024;

const TEXT: &str = "system = \"test\"\nobjective = \"coverage\"\n                    [[failure_domain]]\nname = \"a\"\n";

fn sender(number: u16) -> Sender {
    Sender {
        instance: InstanceId(number.into()),
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + number)),
    }
}

fn candidate(sender: Sender) -> Candidate {
    Candidate {
        instance: sender.instance,
        address: sender.address,
        traffic_address: sender.address,
        failure_domain: "a".parse().unwrap(),
    }
}

proptest! {
    /// Guards against a value that compression and decompression change.
    #[test]
    fn compression_preserves_values(value in proptest::collection::vec(any::<u8>(), 0..40_000)) {
        prop_assert_eq!(decompress(&compress(&value), LIMIT), Ok(value));
    }

    /// Guards against a text that is changed on its way through the store, below and above the size
    /// from which texts are compressed.
    #[test]
    fn packing_for_the_store_preserves_texts(part in ".{0,8}", count in 0..4_000_usize) {
        let text = part.repeat(count).into_bytes();
        prop_assert_eq!(unpack(pack(text.clone()), LIMIT), Ok(text));
    }

    /// Guards against a panic, or a value above the limit, when a peer sends bytes that are not
    /// compressed data, with and without a valid header.
    #[test]
    fn arbitrary_bytes_are_refused_or_stay_within_the_limit(garbage in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        for bytes in [garbage.clone(), [&[0x78, 0x9c], &garbage[..]].concat()] {
            if let Ok(value) = decompress(&bytes, 1000) {
                prop_assert!(value.len() <= 1000);
            }
        }
    }

    /// Guards against a value that is damaged by one flipped bit and accepted as another value.
    #[test]
    fn a_flipped_bit_does_not_change_the_value(position in 0..10_000_usize, bit in 0..8_u32) {
        let value = TEXT.repeat(50).into_bytes();
        let mut bytes = compress(&value);
        let position = position % bytes.len();
        bytes[position] ^= 1 << bit;
        // A few bits of the header do not matter for decompression.
        prop_assert!(decompress(&bytes, LIMIT).is_err() || decompress(&bytes, LIMIT) == Ok(value));
    }
}

/// Guards against a value that is accepted although it is truncated, or although other bytes follow
/// it.
#[test]
fn truncated_values_and_trailing_bytes_are_refused() {
    let bytes = compress(TEXT.as_bytes());
    for length in 0..bytes.len() {
        assert_eq!(decompress(&bytes[..length], LIMIT), Err(Error::Malformed));
    }
    let longer = [&bytes[..], b"more"].concat();
    assert_eq!(decompress(&longer, LIMIT), Err(Error::Trailing(4)));
}

/// Guards against a peer that exhausts the memory with a small value that decompresses to a
/// thousand times its size.
#[test]
fn a_value_above_the_limit_is_refused_without_holding_it_in_memory() {
    let bomb = compress(&vec![0; 64 * LIMIT]);
    let mut result = None;
    let held = measure(|| result = Some(decompress(&bomb, LIMIT))).bytes_max;
    assert_eq!(result, Some(Err(Error::TooLarge(LIMIT))));
    // The vector doubles its capacity as it grows, and the decoder holds a window of its own.
    assert!(
        held < 4 * LIMIT as u64,
        "the decompression held {held} bytes"
    );
    assert_eq!(
        decompress(&compress(&vec![0; LIMIT]), LIMIT).map(|value| value.len()),
        Ok(LIMIT)
    );
}

/// Guards against a peer that exhausts the memory with a small control message whose content
/// decompresses to more than the limit of messages.
#[test]
fn a_message_above_the_limit_is_refused() {
    let envelope = Envelope {
        at: Timestamp::default().to_string().into(),
        content: Blob(compress(&vec![0; 64 * LIMIT])),
        compressed: true,
    };
    let limit = MAX_MESSAGE_BYTES as usize;
    let expected = InvalidEnvelope::Compression(Error::TooLarge(limit));
    assert_eq!(envelope.open(), Err(expected));
}

fn large_record(members: u16) -> Record {
    let added: Vec<_> = (0..members)
        .map(|number| candidate(sender(number)))
        .collect();
    Record::empty().with_roster_change(OperationId(1), &added, &BTreeSet::new())
}

/// Guards against a control message with a large record that is sent without compression, or that
/// the receiver decodes to another message.
#[test]
fn a_large_record_is_sent_compressed() {
    let record = Box::new(large_record(1900));
    let plain = postcard::to_stdvec(&record).unwrap().len();
    let revision = StoreRevision(7);
    let message = Message::GossipPush {
        record: Some(SentRecord { record, revision }),
        delta: Delta::default(),
    };
    let envelope = Envelope::new(Timestamp::default(), &sender(1), &message).unwrap();
    assert!(envelope.compressed && envelope.content.0.len() < plain);
    let text = serde_json::to_string(&envelope).unwrap();
    let received: Envelope = serde_json::from_str(&text).unwrap();
    assert_eq!(
        received.open(),
        Ok((Timestamp::default(), sender(1), message))
    );
}

/// A machine that holds a record without the file that it refers to, and one peer that it can ask
/// for the file.
struct Receiver {
    machine: Machine,
    now: Instant,
    record: Record,
}

impl Receiver {
    fn new(text: &str) -> Self {
        let now = Instant::now();
        let settings = Settings::new(sender(1).address, "a".parse().unwrap());
        let mut machine = Machine::new(settings, 3, now);
        let record = large_record(1).with_file(OperationId(2), text);
        let mut actions = machine.handle(Input::Tick, now, SystemTime::UNIX_EPOCH);
        actions.retain(|action| matches!(action, Action::ReadStore { .. }));
        let [Action::ReadStore { request, .. }] = actions[..] else {
            panic!("the machine does not read the store first");
        };
        let stored = StoredRecord {
            record: Arc::new(record.clone()),
            revision: StoreRevision(2),
        };
        let result = Ok(Some(stored));
        machine.handle(
            Input::StoreRead { request, result },
            now,
            SystemTime::UNIX_EPOCH,
        );
        Self {
            machine,
            now,
            record,
        }
    }

    /// Waits until the machine requests the body, and answers with these bytes. Returns the
    /// request.
    fn answer(&mut self, bytes: &[u8], total: usize) -> BodyRequest {
        loop {
            self.now += Duration::from_millis(20);
            let actions = self
                .machine
                .handle(Input::Tick, self.now, SystemTime::UNIX_EPOCH);
            for action in actions {
                if let Action::SendTo {
                    message: Message::GossipRequest(request),
                    ..
                } = action
                {
                    let body = request.body.unwrap();
                    self.respond(request.exchange, body, bytes, total);
                    return body;
                }
            }
        }
    }

    fn respond(&mut self, exchange: u64, body: BodyRequest, bytes: &[u8], total: usize) {
        let response = GossipResponse {
            exchange,
            generation: self.record.generation,
            record: None,
            store_age_ms: None,
            heartbeats: Vec::new(),
            open: Vec::new(),
            digest: Digest::default(),
            delta: Delta::default(),
            body: Some(BodyPart {
                file: body.file,
                offset: body.offset,
                total: total as u64,
                bytes: bytes.to_vec(),
            }),
        };
        let message = Message::GossipResponse(Box::new(response));
        let from = sender(0);
        let input = Input::Message { from, message };
        self.machine.handle(input, self.now, SystemTime::UNIX_EPOCH);
    }

    fn applied(&self) -> bool {
        self.machine.view().record.file == self.record.file
            && self.machine.view().file_text.as_deref() == Some(TEXT)
    }
}

/// Guards against an instance that never gets its file because it keeps a bad body: one that is not
/// compressed data, exceeds the limit, belongs to another file, or consists of parts of two
/// different compressions.
#[test]
fn a_bad_body_is_dropped_and_requested_again() {
    let mut receiver = Receiver::new(TEXT);
    let file = FileRef::new(receiver.record.file.unwrap().revision, TEXT);
    let good = compress(TEXT.as_bytes());
    let bad = [
        b"garbage".to_vec(),
        compress(&vec![b'#'; 8 * LIMIT]),
        compress(b"other"),
    ];
    for bytes in bad {
        let request = receiver.answer(&bytes, bytes.len());
        assert_eq!(request, BodyRequest { file, offset: 0 });
        assert!(!receiver.applied());
    }
    receiver.answer(&good[..9], good.len() + 1);
    let request = receiver.answer(&good[9..], good.len());
    assert_eq!(request.offset, 9);
    let request = receiver.answer(&good[..9], good.len());
    assert_eq!(request.offset, 0);
    receiver.answer(&good[9..], good.len());
    assert!(receiver.applied());
}
