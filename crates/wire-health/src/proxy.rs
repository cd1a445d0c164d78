//! The PROXY protocol, versions 1 and 2: a header before the first byte of a connection, in which a balancer states
//! the address of the client.
//!
//! Source: `proxy-protocol.txt` of the HAProxy project, sections 2.1, 2.2.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

/// Maximum length of a header of version 1 in bytes, including its line break.
const V1_LINE_LIMIT: usize = 107;
/// Maximum length of the addresses and TLVs of a header of version 2, in bytes; the specification's own buffer is
/// smaller.
pub const BODY_LIMIT: usize = 2 << 10;
const SIGNATURE: [u8; 12] = *b"\r\n\r\n\0\r\nQUIT\n";
const V2_HEADER_LENGTH: usize = 16;
const TLV_CRC32C: u8 = 0x03;

/// Source of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The connection is the balancer's own (a health check), or its source is not known: the connection's address counts.
    Local,
    /// The client's address, as stated by the balancer.
    Client(SocketAddr),
}

/// Reason why a header can't be used. The connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The bytes do not begin with a PROXY header.
    Missing,
    /// The header can't be parsed.
    Malformed,
    /// The header is longer than the specification or this program allows.
    TooLong,
    /// The header's CRC-32C does not match its bytes.
    Checksum,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Fault::Missing => "no PROXY header",
            Fault::Malformed => "a PROXY header that can't be read",
            Fault::TooLong => "a PROXY header that is too long",
            Fault::Checksum => "a PROXY header whose checksum is wrong",
        })
    }
}

/// Parses a header. Returns the source and the length of the header in bytes, or none if the header is incomplete. An
/// incomplete header longer than the limits is a fault.
pub fn parse(input: &[u8]) -> Result<Option<(Source, usize)>, Fault> {
    let has_prefix = |start: &[u8]| input.iter().zip(start).all(|(a, b)| a == b);
    if has_prefix(&SIGNATURE) {
        if input.len() < SIGNATURE.len() {
            Ok(None)
        } else {
            parse_v2(input)
        }
    } else if has_prefix(b"PROXY ") {
        if input.len() < 6 {
            Ok(None)
        } else {
            parse_v1(input)
        }
    } else {
        Err(Fault::Missing)
    }
}

fn parse_v1(input: &[u8]) -> Result<Option<(Source, usize)>, Fault> {
    let window = &input[..input.len().min(V1_LINE_LIMIT)];
    let Some(end) = window.windows(2).position(|w| w == b"\r\n") else {
        return if input.len() >= V1_LINE_LIMIT {
            Err(Fault::TooLong)
        } else {
            Ok(None)
        };
    };
    let line = std::str::from_utf8(&window[..end]).map_err(|_| Fault::Malformed)?;
    let mut words = line.split(' ').skip(1);
    let family = words.next().ok_or(Fault::Malformed)?;
    if family == "UNKNOWN" {
        return Ok(Some((Source::Local, end + 2)));
    }
    let mut next_word = || words.next().ok_or(Fault::Malformed);
    let (source, destination, from_port, to_port) =
        (next_word()?, next_word()?, next_word()?, next_word()?);
    let port = |text: &str| {
        let is_plain = text.len() <= 5
            && text.bytes().all(|b| b.is_ascii_digit())
            && (text == "0" || !text.starts_with('0'));
        text.parse::<u16>()
            .ok()
            .filter(|_| is_plain)
            .ok_or(Fault::Malformed)
    };
    let (source, _destination): (IpAddr, IpAddr) = match family {
        "TCP4" => {
            let parse_address = |text: &str| {
                text.parse::<Ipv4Addr>()
                    .map(IpAddr::V4)
                    .map_err(|_| Fault::Malformed)
            };
            (parse_address(source)?, parse_address(destination)?)
        }
        "TCP6" => {
            let parse_address = |text: &str| {
                text.parse::<Ipv6Addr>()
                    .map(IpAddr::V6)
                    .map_err(|_| Fault::Malformed)
            };
            (parse_address(source)?, parse_address(destination)?)
        }
        _ => return Err(Fault::Malformed),
    };
    port(to_port)?;
    if words.next().is_some() {
        return Err(Fault::Malformed);
    }
    Ok(Some((
        Source::Client(SocketAddr::new(source, port(from_port)?)),
        end + 2,
    )))
}

fn parse_v2(input: &[u8]) -> Result<Option<(Source, usize)>, Fault> {
    if input.len() < V2_HEADER_LENGTH {
        return Ok(None);
    }
    let (version, command, family) = (input[12] >> 4, input[12] & 0xf, input[13]);
    if version != 2 || command > 1 {
        return Err(Fault::Malformed);
    }
    let length = usize::from(u16::from_be_bytes([input[14], input[15]]));
    if length > BODY_LIMIT {
        return Err(Fault::TooLong);
    }
    let Some(header) = input.get(..V2_HEADER_LENGTH + length) else {
        return Ok(None);
    };
    let body = &header[V2_HEADER_LENGTH..];
    let (from, addresses) = match family {
        0x11 => (client_v4(body), 12),
        0x21 => (client_v6(body), 36),
        // Datagrams, Unix sockets and unspecified families have no address of a client over TCP.
        0x12 => (Some(Source::Local), 12),
        0x22 => (Some(Source::Local), 36),
        0x31 | 0x32 => (Some(Source::Local), 216),
        _ => (Some(Source::Local), 0),
    };
    let from = from.filter(|_| body.len() >= addresses);
    let is_local = command == 0;
    if let Some(rest) = body.get(addresses..).filter(|_| family != 0) {
        check_tlvs(header, V2_HEADER_LENGTH + addresses, rest)?;
    }
    match from {
        _ if is_local => Ok(Some((Source::Local, header.len()))),
        Some(from) => Ok(Some((from, header.len()))),
        None => Err(Fault::Malformed),
    }
}

fn client_v4(body: &[u8]) -> Option<Source> {
    let address: [u8; 4] = body.get(..4)?.try_into().ok()?;
    let port = u16::from_be_bytes(body.get(8..10)?.try_into().ok()?);
    Some(Source::Client(SocketAddr::new(
        Ipv4Addr::from(address).into(),
        port,
    )))
}

fn client_v6(body: &[u8]) -> Option<Source> {
    let address: [u8; 16] = body.get(..16)?.try_into().ok()?;
    let port = u16::from_be_bytes(body.get(32..34)?.try_into().ok()?);
    Some(Source::Client(SocketAddr::new(
        Ipv6Addr::from(address).into(),
        port,
    )))
}

/// Checks that every TLV fits, and that the checksum, if there is one, is right. It covers the whole header, with the
/// bytes of the checksum itself as zero.
fn check_tlvs(header: &[u8], start: usize, mut rest: &[u8]) -> Result<(), Fault> {
    let mut at = start;
    while !rest.is_empty() {
        let head = rest.get(..3).ok_or(Fault::Malformed)?;
        let length = usize::from(u16::from_be_bytes([head[1], head[2]]));
        let value = rest.get(3..3 + length).ok_or(Fault::Malformed)?;
        if head[0] == TLV_CRC32C {
            let expected: [u8; 4] = value.try_into().map_err(|_| Fault::Malformed)?;
            let (before, after) = (&header[..at + 3], &header[at + 7..]);
            let checksum = crc32c::crc32c_append(
                crc32c::crc32c_append(crc32c::crc32c(before), &[0; 4]),
                after,
            );
            if checksum != u32::from_be_bytes(expected) {
                return Err(Fault::Checksum);
            }
        }
        at += 3 + length;
        rest = &rest[3 + length..];
    }
    Ok(())
}

/// A header of version 2 with a checksum, as a balancer sends it; for simulated balancers.
pub fn header(client: SocketAddr, server: SocketAddr, command: u8) -> Vec<u8> {
    let mut out = SIGNATURE.to_vec();
    out.push(0x20 | command);
    let mut body = Vec::new();
    match (client.ip(), server.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            out.push(0x11);
            body.extend(from.octets());
            body.extend(to.octets());
        }
        (from, to) => {
            out.push(0x21);
            let octets = |ip: IpAddr| match ip {
                IpAddr::V4(v4) => v4.to_ipv6_mapped().octets(),
                IpAddr::V6(v6) => v6.octets(),
            };
            body.extend(octets(from));
            body.extend(octets(to));
        }
    }
    body.extend(client.port().to_be_bytes());
    body.extend(server.port().to_be_bytes());
    body.extend([TLV_CRC32C, 0, 4]);
    out.extend(((body.len() + 4) as u16).to_be_bytes());
    out.extend(body);
    out.extend([0; 4]);
    let checksum = crc32c::crc32c(&out);
    let checksum_at = out.len() - 4;
    out[checksum_at..].copy_from_slice(&checksum.to_be_bytes());
    out
}
