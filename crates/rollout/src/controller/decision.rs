//! Decides the next step of a rollout.

use std::time::{Duration, SystemTime};

use oleandertiller_model::intent::{PPM, Rollout, RolloutPhase};

use crate::{
    MAX_UNPROVED_SHARE_PPM,
    judge::{Judge, Verdict},
    veto::is_quorum,
};

use super::{ControllerConfig, ServiceLoad};

/// First share of a new version.
const FIRST_SHARE_PPM: u32 = 10_000;

/// Largest share before all traffic moves; leaves the old version enough traffic to compare with.
const MAX_PARTIAL_SHARE_PPM: u32 = 800_000;

/// Share to which a new controller, whose judge has no evidence yet, lowers a larger one, so that
/// the servers of both versions carry about the same load.
const RECHECK_SHARE_PPM: u32 = 500_000;

/// State of the rollout and the evidence for a decision.
pub struct DecisionInput<'a> {
    pub cfg: &'a ControllerConfig,
    pub rollout: &'a Rollout,
    /// Time since the present phase and share came into force.
    pub step_age: Duration,
    pub judge: &'a Judge,
    /// Number of ingress nodes that report.
    pub callers: usize,
    /// Number of them that vetoed the new version.
    pub vetoes: usize,
    pub load: ServiceLoad,
    pub wall_now: SystemTime,
}

/// The next state of the rollout.
pub struct Decision {
    pub phase: RolloutPhase,
    pub share_ppm: u32,
    pub reason: String,
}

impl DecisionInput<'_> {
    /// Returns the next step, or `None` to keep the present phase and share.
    pub fn decide(&self) -> Option<Decision> {
        let verdict = self.judge.verdict();
        if let Verdict::Bad(finding) = &verdict {
            return Some(roll_back(format!("rolled back: {finding}")));
        }
        if is_quorum(self.vetoes, self.callers) {
            let (vetoes, callers) = (self.vetoes, self.callers);
            let reason = format!("rolled back: {vetoes} of {callers} calling nodes vetoed it");
            return Some(roll_back(reason));
        }
        if self.rollout.phase == RolloutPhase::Holding {
            return self.lower_for_recheck(&verdict).or_else(|| self.hold(&verdict));
        }
        if self.wall_now >= self.rollout.deadline {
            return Some(roll_back(self.missed_deadline_reason(&verdict)));
        }
        let lowered = self.lower_for_recheck(&verdict).or_else(|| self.lower_to_capacity());
        lowered.or_else(|| self.advance(&verdict))
    }

    fn lower_for_recheck(&self, verdict: &Verdict) -> Option<Decision> {
        if *verdict == Verdict::Proved || self.rollout.share_ppm <= RECHECK_SHARE_PPM {
            return None;
        }
        let reason = "share lowered to 50%: the new controller compares the versions again";
        let (phase, share_ppm) = (RolloutPhase::Advancing, RECHECK_SHARE_PPM);
        Some(Decision { phase, share_ppm, reason: reason.into() })
    }

    /// Returns the end of the hold, if it is over.
    fn hold(&self, verdict: &Verdict) -> Option<Decision> {
        if self.vetoes > 0 && self.wall_now < self.rollout.deadline {
            return None;
        }
        if let Some(reason) = self.completion_reason() {
            let (phase, share_ppm) = (RolloutPhase::Completed, PPM);
            return Some(Decision { phase, share_ppm, reason });
        }
        // The last step leaves time for the hold, so this happens only if time was lost, as in an
        // outage of the store.
        if self.wall_now >= self.rollout.deadline {
            return Some(roll_back(self.missed_deadline_reason(verdict)));
        }
        None
    }

    /// Returns the reason of completion if the hold ended before the deadline.
    fn completion_reason(&self) -> Option<String> {
        let (seconds, to) = (self.step_age.as_secs(), &self.rollout.to);
        let held = format!("{to} had all traffic for {seconds} s without a regression");
        match self.rollout.deadline.duration_since(self.wall_now) {
            Ok(left) if self.step_age >= self.hold_time() => {
                Some(format!("completed {} s before its time: {held}", left.as_secs()))
            }
            Err(late) if self.step_age >= self.hold_time() / 2 + late.duration() => {
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
        if self.vetoes > 0 || (share >= MAX_UNPROVED_SHARE_PPM && !proved) {
            return None;
        }
        // The pace of the steps applies to proved versions; an unproved one waits for evidence.
        let min_step_age = if proved { self.step_interval() } else { self.cfg.min_step_interval };
        if share > 0 && self.step_age < min_step_age {
            return None;
        }
        let target = match share {
            0 => FIRST_SHARE_PPM,
            _ if !proved => MAX_UNPROVED_SHARE_PPM,
            _ if share >= MAX_PARTIAL_SHARE_PPM => PPM,
            _ => (share.max(MAX_UNPROVED_SHARE_PPM) * 2).min(MAX_PARTIAL_SHARE_PPM),
        };
        let next = target.min(self.capacity_ppm());
        // A step that capacity limits must still raise the share by a fifth.
        if next == 0 || u64::from(next) * 5 < u64::from(share) * 6 && next < target {
            return None;
        }
        let phase = if next == PPM { RolloutPhase::Holding } else { RolloutPhase::Advancing };
        let reason = format!("share raised to {}: no regression found", percent(next));
        Some(Decision { phase, share_ppm: next, reason })
    }

    /// Returns a lower share if the new servers can carry less than 80% of the present one.
    fn lower_to_capacity(&self) -> Option<Decision> {
        let capacity = self.capacity_ppm();
        let share = self.rollout.share_ppm;
        if u64::from(capacity) * 5 >= u64::from(share) * 4 {
            return None;
        }
        let to = percent(capacity);
        let reason = format!("share lowered to {to}: the new version's servers bear no more");
        Some(Decision { phase: RolloutPhase::Advancing, share_ppm: capacity, reason })
    }

    /// Returns the share that the new servers can carry within their present limits, in parts per
    /// million.
    fn capacity_ppm(&self) -> u32 {
        let ServiceLoad { new_limit, in_flight } = self.load;
        let share = self.cfg.max_utilization * new_limit / in_flight.max(f64::MIN_POSITIVE);
        (share.clamp(0.0, 1.0) * f64::from(PPM)) as u32
    }

    /// Returns the time between steps, so that the remaining ones take half of the time before the
    /// hold.
    fn step_interval(&self) -> Duration {
        let left = self.rollout.deadline.duration_since(self.wall_now).unwrap_or_default();
        let before_hold = left.saturating_sub(self.hold_time());
        let pace = before_hold / 2 / self.steps_left();
        pace.clamp(self.cfg.min_step_interval, self.cfg.max_step_interval)
    }

    /// Returns the number of steps until all traffic has moved; each about doubles the share.
    fn steps_left(&self) -> u32 {
        let share = self.rollout.share_ppm.max(FIRST_SHARE_PPM);
        (PPM / share).max(2).ilog2()
    }

    fn missed_deadline_reason(&self, verdict: &Verdict) -> String {
        let share = percent(self.rollout.share_ppm);
        let capacity = self.capacity_ppm();
        let why = match verdict {
            Verdict::Undecided(kind) => {
                let seen = self.judge.new_attempts(kind);
                format!("{seen} `{kind}` requests were too few to judge the new version")
            }
            _ if capacity < PPM => {
                format!("the new version's servers could bear {}", percent(capacity))
            }
            _ => "the steps left did not fit into the time".into(),
        };
        format!("rolled back at its time with {share} of traffic: {why}")
    }
}

fn roll_back(reason: String) -> Decision {
    Decision { phase: RolloutPhase::RolledBack, share_ppm: 0, reason }
}

fn percent(ppm: u32) -> String {
    format!("{}%", f64::from(ppm / 1_000) / 10.0)
}
