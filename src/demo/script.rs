//! Operators' commands during the demo: a zone goes out of service and returns.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use async_std::task;

use super::{fleet::Fleet, report::Zone};

/// Commands to one deployment during its load.
pub struct Script<'a> {
    fleet: &'a Fleet,
}

impl<'a> Script<'a> {
    pub fn new(fleet: &'a Fleet) -> Self {
        Self { fleet }
    }

    /// Takes a zone out of service after a quarter of `length` and returns it after three quarters.
    pub fn run(&self, length: Duration) -> io::Result<Zone> {
        let start = Instant::now();
        let zone = self.fleet.zones()[0];
        thread::sleep(length / 4);
        let run_before = self.fleet.requests_run_in(zone);
        let out_ms = self.command(start, zone, "out")?;
        self.fleet.set_zone_out(zone, true);
        thread::sleep((length * 3 / 4).saturating_sub(start.elapsed()));
        // Recording ends before the command, so that no work after the return counts as late.
        self.fleet.set_zone_out(zone, false);
        let run_until_return = self.fleet.requests_run_in(zone);
        let in_ms = self.command(start, zone, "in")?;
        thread::sleep(length.saturating_sub(start.elapsed()));
        let run_after_return = self.fleet.requests_run_in(zone) - run_until_return;
        Ok(Zone { name: zone, run_before, out_ms, in_ms, run_after_return })
    }

    /// Sends the command and returns the time until it was accepted, in milliseconds.
    fn command(&self, start: Instant, zone: &str, state: &str) -> io::Result<f64> {
        let line = format!("zone {zone} {state}");
        let sent = Instant::now();
        task::block_on(self.fleet.command(zone, &line))?;
        let took = sent.elapsed().as_secs_f64() * 1_000.0;
        let at = start.elapsed().as_secs_f64();
        eprintln!("{at:>5.1} s: {}: `{line}` accepted in {took:.0} ms", self.fleet.name());
        Ok(took)
    }
}
