//! Parsing and printing of durations, shares and factors.

use std::{fmt, time::Duration};

/// One percent in parts per million.
const PPM_PER_PERCENT: u32 = 10_000;

/// Units of time with their length in microseconds, longest first.
const UNITS: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

/// Parses a whole number with a unit, such as `50ms` or `20 seconds`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let text = text.trim();
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let unit = match unit.trim_start() {
        "hours" | "hour" => "h",
        "minutes" | "minute" => "m",
        "seconds" | "second" => "s",
        "milliseconds" => "ms",
        "microseconds" => "us",
        short => short,
    };
    let (_, micros) = UNITS.iter().find(|(name, _)| *name == unit)?;
    Some(Duration::from_micros(number.parse::<u64>().ok()?.checked_mul(*micros)?))
}

/// Prints a duration in the longest unit of which it is a whole number; fractions of 1 us are
/// dropped.
pub fn print_duration(duration: Duration) -> String {
    let micros = duration.as_micros();
    if micros == 0 {
        return "0s".to_owned();
    }
    let whole = UNITS.iter().find(|(_, unit)| micros % u128::from(*unit) == 0);
    let (name, unit) = whole.unwrap_or(&("us", 1));
    format!("{}{name}", micros / u128::from(*unit))
}

/// Parses a share such as `99.9%` into parts per million; at most 100%.
pub fn parse_percent(text: &str) -> Option<u32> {
    let ppm = parse_decimal(text.trim().strip_suffix('%')?.trim_end(), 4)?;
    u32::try_from(ppm).ok().filter(|ppm| *ppm <= 100 * PPM_PER_PERCENT)
}

/// Prints parts per million as a share.
pub fn print_percent(ppm: u32) -> String {
    format!("{}%", print_decimal(u64::from(ppm), 4))
}

/// Parses a decimal number with at most `digits` decimal places and returns it times
/// 10^`digits`.
pub fn parse_decimal(text: &str, digits: usize) -> Option<u64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_number(whole) || !is_number(part) || part.len() > digits {
        return None;
    }
    let scale = 10_u64.checked_pow(digits as u32)?;
    let part: u64 = format!("{part:0<digits$}").parse().ok()?;
    whole.parse::<u64>().ok()?.checked_mul(scale)?.checked_add(part)
}

/// Prints `value` divided by 10^`digits` as a decimal number.
pub fn print_decimal(value: u64, digits: usize) -> String {
    let scale = 10_u64.pow(digits as u32);
    let (whole, part) = (value / scale, value % scale);
    let text = format!("{whole}.{part:0digits$}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// A slowdown factor in hundredths: `250` is 2.5 times as slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Factor(pub u32);

impl Factor {
    /// Parses text such as `5x` or `2.5x`.
    pub fn parse(text: &str) -> Option<Self> {
        let hundredths = parse_decimal(text.strip_suffix('x')?, 2)?;
        u32::try_from(hundredths).ok().map(Self)
    }
}

impl fmt::Display for Factor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x", print_decimal(u64::from(self.0), 2))
    }
}
