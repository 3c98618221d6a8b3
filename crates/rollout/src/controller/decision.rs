//! The next step of a rollout, from what its controller knows.

use std::time::{Duration, SystemTime};

use oleandertiller_model::intent::{PPM, Rollout, RolloutPhase};

use crate::{
    UNPROVED_SHARE_MAX_PPM,
    judge::{Judge, Verdict},
    veto::is_quorum,
};

use super::{ControllerConfig, ServiceLoad};

/// First share of a new version.
const FIRST_PPM: u32 = 10_000;

/// Largest share before all traffic moves; leaves the old version enough to compare with.
const LAST_PPM: u32 = 800_000;

/// Share to which a new controller lowers a larger one, as its judge has no evidence yet: the servers
/// of both versions then carry like load.
const RECHECK_PPM: u32 = 500_000;

/// What the controller knows.
pub struct Situation<'a> {
    pub cfg: &'a ControllerConfig,
    pub rollout: &'a Rollout,
    pub in_step: Duration,
    pub judge: &'a Judge,
    pub callers: usize,
    pub vetoes: usize,
    pub facts: ServiceLoad,
    pub wall: SystemTime,
}

/// The next state of the rollout.
pub struct Decision {
    pub phase: RolloutPhase,
    pub share_ppm: u32,
    pub reason: String,
}

impl Situation<'_> {
    /// Returns the next step, `None` to hold.
    pub fn decide(&self) -> Option<Decision> {
        let verdict = self.judge.verdict();
        if let Verdict::Bad(finding) = &verdict {
            return Some(taken_back(format!("rolled back: {finding}")));
        }
        if is_quorum(self.vetoes, self.callers) {
            let (vetoes, callers) = (self.vetoes, self.callers);
            let reason = format!("rolled back: {vetoes} of {callers} calling nodes vetoed it");
            return Some(taken_back(reason));
        }
        if self.rollout.phase == RolloutPhase::Holding {
            return self.recheck(&verdict).or_else(|| self.hold(&verdict));
        }
        if self.wall >= self.rollout.deadline {
            return Some(taken_back(self.missed_deadline(&verdict)));
        }
        let lowered = self.recheck(&verdict).or_else(|| self.reduce());
        lowered.or_else(|| self.advance(&verdict))
    }

    fn recheck(&self, verdict: &Verdict) -> Option<Decision> {
        if *verdict == Verdict::Proved || self.rollout.share_ppm <= RECHECK_PPM {
            return None;
        }
        let reason = "share lowered to 50%: the new controller compares the versions again";
        let (phase, share_ppm) = (RolloutPhase::Advancing, RECHECK_PPM);
        Some(Decision { phase, share_ppm, reason: reason.into() })
    }

    fn hold(&self, verdict: &Verdict) -> Option<Decision> {
        if self.vetoes > 0 && self.wall < self.rollout.deadline {
            return None;
        }
        if let Some(reason) = self.completed() {
            let (phase, share_ppm) = (RolloutPhase::Completed, PPM);
            return Some(Decision { phase, share_ppm, reason });
        }
        // The last step leaves time for the hold, so that this happens only after lost time.
        if self.wall >= self.rollout.deadline {
            return Some(taken_back(self.missed_deadline(verdict)));
        }
        None
    }

    /// Returns the statement of a rollout whose hold ended by its time.
    fn completed(&self) -> Option<String> {
        let (seconds, to) = (self.in_step.as_secs(), &self.rollout.to);
        let held = format!("{to} had all traffic for {seconds} s without a regression");
        match self.rollout.deadline.duration_since(self.wall) {
            Ok(left) if self.in_step >= self.hold_time() => {
                Some(format!("completed {} s before its time: {held}", left.as_secs()))
            }
            Err(late) if self.in_step >= self.hold_time() / 2 + late.duration() => {
                let late = late.duration().as_secs();
                Some(format!("completed by its time, recorded {late} s after it: {held}"))
            }
            _ => None,
        }
    }

    fn hold_time(&self) -> Duration {
        let span = self.rollout.deadline.duration_since(self.rollout.started).unwrap_or_default();
        self.cfg.hold.min(span / 4)
    }

    fn advance(&self, verdict: &Verdict) -> Option<Decision> {
        let share = self.rollout.share_ppm;
        let proved = *verdict == Verdict::Proved;
        if self.vetoes > 0 || (share >= UNPROVED_SHARE_MAX_PPM && !proved) {
            return None;
        }
        // An unproved version waits for evidence and not for the pace.
        let wait = if proved { self.interval() } else { self.cfg.step_interval_min };
        if share > 0 && self.in_step < wait {
            return None;
        }
        let wanted = match share {
            0 => FIRST_PPM,
            _ if !proved => UNPROVED_SHARE_MAX_PPM,
            _ if share >= LAST_PPM => PPM,
            _ => (share.max(UNPROVED_SHARE_MAX_PPM) * 2).min(LAST_PPM),
        };
        let next = wanted.min(self.bearable_ppm());
        if next == 0 || u64::from(next) * 5 < u64::from(share) * 6 && next < wanted {
            return None;
        }
        let phase = if next == PPM { RolloutPhase::Holding } else { RolloutPhase::Advancing };
        let reason = format!("share raised to {}: no regression found", percent(next));
        Some(Decision { phase, share_ppm: next, reason })
    }

    fn reduce(&self) -> Option<Decision> {
        let bearable = self.bearable_ppm();
        let share = self.rollout.share_ppm;
        if u64::from(bearable) * 5 >= u64::from(share) * 4 {
            return None;
        }
        let to = percent(bearable);
        let reason = format!("share lowered to {to}: the new version's servers bear no more");
        Some(Decision { phase: RolloutPhase::Advancing, share_ppm: bearable, reason })
    }

    /// Returns the share that the new servers can bear with their present limits.
    fn bearable_ppm(&self) -> u32 {
        let ServiceLoad { new_limit, in_flight } = self.facts;
        let share = self.cfg.utilization_max * new_limit / in_flight.max(f64::MIN_POSITIVE);
        (share.clamp(0.0, 1.0) * f64::from(PPM)) as u32
    }

    /// Returns the time between steps: the steps left take half of the time before the hold.
    fn interval(&self) -> Duration {
        let left = self.rollout.deadline.duration_since(self.wall).unwrap_or_default();
        let before_hold = left.saturating_sub(self.hold_time());
        let pace = before_hold / 2 / self.steps_left();
        pace.clamp(self.cfg.step_interval_min, self.cfg.step_interval_max)
    }

    fn steps_left(&self) -> u32 {
        let share = self.rollout.share_ppm.max(FIRST_PPM);
        (PPM / share).max(2).ilog2()
    }

    fn missed_deadline(&self, verdict: &Verdict) -> String {
        let share = percent(self.rollout.share_ppm);
        let bearable = self.bearable_ppm();
        let why = match verdict {
            Verdict::Undecided(kind) => {
                let seen = self.judge.new_attempts(kind);
                format!("{seen} `{kind}` requests were too few to judge the new version")
            }
            _ if bearable < PPM => {
                format!("the new version's servers could bear {}", percent(bearable))
            }
            _ => "the steps left did not fit into the time".into(),
        };
        format!("rolled back at its time with {share} of traffic: {why}")
    }
}

fn taken_back(reason: String) -> Decision {
    Decision { phase: RolloutPhase::TakenBack, share_ppm: 0, reason }
}

fn percent(ppm: u32) -> String {
    format!("{}%", f64::from(ppm / 1_000) / 10.0)
}
