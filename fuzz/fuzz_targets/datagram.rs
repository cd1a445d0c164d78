//! Arbitrary bytes as a datagram, unsigned and with a valid signature: no panic, no field beyond its bound, and no datagram
//! accepted without a signature or twice.
#![no_main]

use datagram_auth::{Keys, Opener, MAX_NAME_BYTES, MAX_PAYLOAD_BYTES};
use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

const KEY: [u8; 32] = [7; 32];

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let keys = Keys::parse(&hex::encode(KEY)).expect("a key of 64 digits");
    let mut opener = Opener::new("n0", keys, ["n1".to_owned(), "n2".to_owned()]);
    assert!(opener.open(bytes).is_err(), "opened without a signature");

    // Only a valid signature reaches the rest of the parser.
    let mut signed = b"LVPR\x01\x01".to_vec();
    if let Some(versions) = bytes.get(..2) {
        signed[4..].copy_from_slice(versions);
    }
    signed.extend(&Sha256::digest(KEY)[..4]);
    signed.extend(bytes.get(2..).unwrap_or_default());
    let mac = Hmac::<Sha256>::new_from_slice(&KEY)
        .expect("any length")
        .chain_update(&signed)
        .finalize();
    signed.extend(&mac.into_bytes()[..16]);
    if let Ok(opened) = opener.open(&signed) {
        assert!(opened.from.len() <= MAX_NAME_BYTES && opened.payload.len() <= MAX_PAYLOAD_BYTES);
        assert!(["n1", "n2"].contains(&opened.from));
        assert!(opener.open(&signed).is_err(), "opened twice");
    }
});
