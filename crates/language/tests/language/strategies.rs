//! Proptest strategies for statements and scenarios.

use std::time::Duration;

use oleandertiller_language::{
    Command, Condition, Due, Field, Query, STATES, Show, Statement,
    scenario::{
        Behaviour, Comparison, Count, Event, Expectation, Fault, Load, Scenario, Share, Step,
        StoreEvent,
    },
    units::Factor,
};
use oleandertiller_model::{
    ErrorKind, KindName, KindSpec, NodeName, Safety, ServiceName, ServiceSpec, VersionName,
    ZoneName, intent::ZoneIntent,
};
use proptest::{collection::vec, option, prelude::*, sample::select};

pub fn name() -> impl Strategy<Value = String> {
    "[a-z0-9][a-z0-9._-]{0,12}"
}

pub fn duration() -> impl Strategy<Value = Duration> {
    (0_u64..10_000, select(vec![1, 1_000, 1_000_000, 60_000_000, 3_600_000_000]))
        .prop_map(|(count, unit)| Duration::from_micros(count * unit))
}

fn due() -> impl Strategy<Value = Due> {
    let clock = (0..24_u32, 0..60_u32)
        .prop_map(|(hour, minute)| Due::parse_clock(&format!("{hour:02}:{minute:02}")).unwrap());
    let at = (1970..9_999_u32, 1..13_u32, 1..29_u32).prop_map(|(year, month, day)| {
        Due::parse_date_time(&format!("{year:04}-{month:02}-{day:02}T18:05Z")).unwrap()
    });
    prop_oneof![clock, at, duration().prop_map(Due::In)]
}

fn kind() -> impl Strategy<Value = KindSpec> {
    (name(), 1..1_000_u32, any::<(bool, bool)>(), duration(), duration(), 0..=1_000_000_u32)
        .prop_map(|(name, weight, (once, internal), one, other, objective_ppm)| {
            let shortest = Duration::from_micros(1);
            KindSpec {
                name: KindName::new(name),
                weight,
                safety: if once { Safety::AtMostOnce } else { Safety::Idempotent },
                internal,
                deadline: one.min(other).max(shortest),
                max_deadline: one.max(other).max(shortest),
                objective_ppm,
            }
        })
}

fn service() -> impl Strategy<Value = ServiceSpec> {
    (name(), vec(kind(), 1..4)).prop_map(|(name, mut kinds)| {
        kinds.sort_by(|a, b| a.name.cmp(&b.name));
        kinds.dedup_by(|a, b| a.name == b.name);
        ServiceSpec::new(name.as_str(), kinds)
    })
}

pub fn command() -> impl Strategy<Value = Command> {
    let intent = select(vec![ZoneIntent::In, ZoneIntent::Out]);
    prop_oneof![
        (name(), intent).prop_map(|(zone, intent)| Command::Zone(ZoneName::new(zone), intent)),
        (name(), name(), due()).prop_map(|(service, to, due)| Command::Rollout {
            service: ServiceName::new(service),
            to: VersionName::new(to),
            due
        }),
        name().prop_map(|service| Command::CancelRollout(ServiceName::new(service))),
        (0..=1_000_000_u32).prop_map(Command::BudgetMeasuring),
        service().prop_map(Command::PutService),
    ]
}

fn conditions() -> impl Strategy<Value = Vec<Condition>> {
    let field = select(vec![Field::Zone, Field::Version, Field::Node]);
    let named = (field, name());
    let state = select(STATES.to_vec()).prop_map(|state| (Field::State, state.to_owned()));
    let condition = prop_oneof![named, state]
        .prop_map(|(field, value)| Condition { field, value: value.into() });
    vec(condition, 0..3)
}

fn query() -> impl Strategy<Value = Query> {
    let plain = vec![Show::Zones, Show::Services, Show::Rollouts, Show::Budget, Show::Revision];
    let of = option::of(name().prop_map(ServiceName::new));
    let upstreams = (of, conditions())
        .prop_map(|(of, conditions)| Query::Show(Show::Upstreams { of, conditions }));
    prop_oneof![
        select(plain).prop_map(Query::Show),
        conditions().prop_map(|conditions| Query::Show(Show::Nodes(conditions))),
        upstreams,
        (option::of(name()), option::of(0..1_000_u32))
            .prop_map(|(of, last)| Query::History { of: of.map(Into::into), last }),
        name().prop_map(|service| Query::ExplainRollout(ServiceName::new(service))),
        select(ErrorKind::ALL).prop_map(Query::ExplainRefusal),
        name().prop_map(|node| Query::ExplainUpstream(NodeName::new(node))),
        any::<u128>().prop_map(|id| Query::Operation(uuid::Uuid::from_u128(id))),
    ]
}

pub fn statement() -> impl Strategy<Value = Statement> {
    prop_oneof![
        query().prop_map(Statement::Query),
        command().prop_map(Statement::Command),
        Just(Statement::Help),
    ]
}

/// Generates lines of words that occur in the grammars, in any order.
pub fn words() -> impl Strategy<Value = String> {
    let known = "show upstreams of kettle where zone = cold and state history last 20 explain \
        rollout refusal upstream operation out in to v2 by 18:00 99:99 2026-13-40T18:00Z 30m cancel \
        budget measuring 1% 999.9999% put service kind weight 999999999 , ; idempotent at most once \
        deadline 999999999h objective help scenario \"x\" fleet seed load per second for 0s kill \
        node store slow 9999.99x loses answers expect no new work on after p99 < run twice cut";
    let known: Vec<_> = known.split_whitespace().collect();
    vec(select(known), 0..14).prop_map(|words| words.join(" "))
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..999_999_u32).prop_map(|factor| Fault::Slow(Factor(factor))),
        (0..=1_000_000_u32).prop_map(Fault::Fails),
        Just(Fault::FailsFast),
    ]
}

fn load() -> impl Strategy<Value = Load> {
    (0..100_000_u32, duration()).prop_map(|(per_second, lasting)| Load { per_second, lasting })
}

fn node() -> impl Strategy<Value = NodeName> {
    name().prop_map(NodeName::new)
}

fn node_event() -> impl Strategy<Value = Event> {
    let behaviour = prop_oneof![
        Just(Behaviour::Normal),
        Just(Behaviour::ColdAgain),
        fault().prop_map(Behaviour::Faulty)
    ];
    prop_oneof![
        node().prop_map(Event::Kill),
        (node(), duration()).prop_map(|(node, lasting)| Event::Pause(node, lasting)),
        node().prop_map(Event::Restart),
        node().prop_map(Event::Stop),
        node().prop_map(Event::Drain),
        (node(), behaviour).prop_map(|(node, behaviour)| Event::Upstream(node, behaviour)),
    ]
}

fn version_event() -> impl Strategy<Value = Event> {
    let bad = (name(), name(), fault(), option::of(name()), option::of(duration()));
    let bad = bad.prop_map(|(version, service, fault, on, after)| Event::BadVersion {
        version: VersionName::new(version),
        service: ServiceName::new(service),
        fault,
        on: on.map(KindName::new),
        after,
    });
    let start = (1..9_u32, name(), name()).prop_map(|(count, service, version)| Event::Start {
        count,
        service: ServiceName::new(service),
        version: VersionName::new(version),
    });
    prop_oneof![bad, start]
}

fn event() -> impl Strategy<Value = Event> {
    let store = prop_oneof![
        Just(StoreEvent::Down),
        Just(StoreEvent::Up),
        duration().prop_map(StoreEvent::Slow),
        (0..99_u32).prop_map(StoreEvent::LosesAnswers),
    ];
    let place = || name().prop_map(|name| name.into());
    prop_oneof![
        node_event(),
        version_event(),
        store.prop_map(Event::Store),
        (place(), place(), option::of(duration())).prop_map(|(from, to, lasting)| Event::Cut {
            from,
            to,
            lasting
        }),
        (place(), place()).prop_map(|(one, other)| Event::Heal(one, other)),
        (place(), place(), duration(), option::of(duration()))
            .prop_map(|(from, to, by, lasting)| Event::Delay { from, to, by, lasting }),
        load().prop_map(Event::Load),
        command().prop_map(Event::Command),
    ]
}

fn expectation() -> impl Strategy<Value = Expectation> {
    use Comparison::{AtLeast, AtMost, Equal, Less, More};
    let comparison = || select(vec![Equal, Less, AtMost, More, AtLeast]);
    let counts = vec![
        Count::RunTwice,
        Count::WrongAnswers,
        Count::FalseNotRun,
        Count::CutByStop,
        Count::OverColdLimit,
    ];
    let share = prop_oneof![
        option::of(name()).prop_map(|kind| Share::Goodput(kind.map(KindName::new))),
        Just(Share::Measuring),
    ];
    prop_oneof![
        (name(), duration())
            .prop_map(|(zone, after)| Expectation::NoNewWorkInZone(ZoneName::new(zone), after)),
        (node(), duration())
            .prop_map(|(node, after)| Expectation::NoNewWorkOnUpstream(node, after)),
        (select(counts), comparison(), 0..1_000_u32)
            .prop_map(|(count, comparison, number)| Expectation::Count(count, comparison, number)),
        (share, comparison(), 0..=1_000_000_u32)
            .prop_map(|(share, comparison, ppm)| Expectation::Share(share, comparison, ppm)),
        (name(), comparison(), duration()).prop_map(|(kind, comparison, limit)| Expectation::P99(
            KindName::new(kind),
            comparison,
            limit
        )),
        (name(), any::<bool>(), duration()).prop_map(|(service, completed, by)| {
            Expectation::Rollout(ServiceName::new(service), completed, by)
        }),
        duration().prop_map(Expectation::SameRevision),
    ]
}

pub fn scenario() -> impl Strategy<Value = Scenario> {
    let step = (duration(), vec(event(), 1..4)).prop_map(|(at, events)| Step { at, events });
    let head = ("[a-zA-Z0-9 ,.']{1,40}", name(), 0..1_000_000_u32);
    (head, vec(load(), 0..3), vec(step, 0..5), vec(expectation(), 0..5)).prop_map(
        |((title, fleet, seed), loads, steps, expectations)| Scenario {
            title,
            fleet: fleet.into(),
            seed,
            loads,
            steps,
            expectations,
        },
    )
}
