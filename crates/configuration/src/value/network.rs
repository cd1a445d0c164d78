//! Networks in CIDR notation.

use super::ParseError;
use ipnet::IpNet;

pub(super) fn parse_network(word: &str) -> Result<IpNet, ParseError> {
    let net: IpNet = match word.parse() {
        Ok(net) => net,
        Err(_) => match word.parse::<std::net::IpAddr>() {
            Ok(address) => address.into(),
            Err(_) => {
                return Err(ParseError::new(format!("{word:?} is not a valid network"))
                    .help("write 10.1.0.0/16, 2001:db8::/32 or a single address"))
            }
        },
    };
    if net.addr() != net.network() {
        return Err(
            ParseError::new(format!("{word} has bits set after its prefix"))
                .help(format!("did you mean {}?", net.trunc())),
        );
    }
    Ok(net)
}
