//! The policy in virtual time: one entry's decisions against fake targets, the same figures at every run.

mod events;
mod target;

use std::collections::BTreeMap;
use std::time::Duration;

use marigold_core::deadline::{self, StageDurations};
use marigold_core::router::{self, Candidate, Load, Strategy};
use marigold_core::shares::Shares;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::arrivals;
use events::Queue;
use target::FakeTarget;

/// Time between load reports of a target.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// A stage and the pool that runs it.
#[derive(Clone, Debug)]
pub struct StagePlan {
    /// Targets in the pool.
    pub targets: usize,
    /// Calls that one target runs at a time.
    pub concurrency: u32,
    /// Mean duration of a call on an idle target.
    pub service: Duration,
    /// Cost of one second of service.
    pub cost_per_s: f64,
}

/// A burst of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start.
    pub at: Duration,
    /// Length.
    pub length: Duration,
    /// Factor on the rate.
    pub factor: f64,
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Length of the arrivals.
    pub duration: Duration,
    /// Requests a second.
    pub rate: f64,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Stages in order.
    pub stages: Vec<StagePlan>,
    /// One target in so many is slow; zero for none.
    pub slow_one_in: usize,
    /// Factor on the service time of slow targets.
    pub slow_factor: f64,
    /// A burst.
    pub burst: Option<Burst>,
    /// Weights of the customers; requests are spread evenly unless `greedy`.
    pub customers: Vec<u32>,
    /// Share of the requests that the first customer sends beyond its even part.
    pub greedy: f64,
    /// Whether requests are refused early and by share.
    pub admission: bool,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests answered within the deadline.
    pub attained: u64,
    /// Requests refused before the deadline.
    pub refused: u64,
    /// Requests whose deadline passed.
    pub late: u64,
    /// Cost of service that went into answers.
    pub useful_cost: f64,
    /// Cost of service that did not.
    pub wasted_cost: f64,
    /// Attained and sent by second of arrival.
    pub by_second: BTreeMap<u64, (u64, u64)>,
    /// Attained and sent by customer.
    pub by_customer: Vec<(u64, u64)>,
}

impl Figures {
    /// Share of requests answered within the deadline.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.sent.max(1) as f64
    }

    /// Cost of each answer, wasted work included.
    pub fn cost_per_answer(&self) -> f64 {
        (self.useful_cost + self.wasted_cost) / self.attained.max(1) as f64
    }

    /// Share of the cost that went into no answer.
    pub fn waste(&self) -> f64 {
        let total = self.useful_cost + self.wasted_cost;
        if total > 0.0 { self.wasted_cost / total } else { 0.0 }
    }

    /// Attainment of the requests that arrived in a span of seconds.
    pub fn attainment_between(&self, from_s: u64, to_s: u64) -> f64 {
        let span = self.by_second.range(from_s..to_s);
        let (attained, sent) =
            span.fold((0, 0), |(a, s), (_, (attained, sent))| (a + attained, s + sent));
        attained as f64 / sent.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive,
    Finish { target: usize, request: usize },
    Deadline { request: usize },
    Report,
}

struct Request {
    arrived: Duration,
    deadline: Duration,
    customer: usize,
    stage: usize,
    target: Option<usize>,
    sent_at: Duration,
    load_at_send: u32,
    cost: f64,
    ended: bool,
}

struct Pool {
    first: usize,
    len: usize,
    shares: Shares,
    clock: StageDurations,
}

struct Simulation<'a, S> {
    plan: &'a SimulationPlan,
    /// One strategy for each pool.
    strategies: Vec<S>,
    rng: ChaCha8Rng,
    queue: Queue<Event>,
    now: Duration,
    targets: Vec<FakeTarget>,
    loads: Vec<Load>,
    pools: Vec<Pool>,
    requests: Vec<Request>,
    figures: Figures,
}

/// Runs a simulation with a routing strategy.
pub fn run(plan: &SimulationPlan, strategy: impl Strategy + Clone) -> Figures {
    let mut simulation = Simulation::new(plan, strategy);
    while let Some((at, event)) = simulation.queue.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.figures
}

impl<'a, S: Strategy + Clone> Simulation<'a, S> {
    fn new(plan: &'a SimulationPlan, strategy: S) -> Self {
        let mut targets = Vec::new();
        let mut pools = Vec::new();
        for stage in &plan.stages {
            let first = targets.len();
            for i in 0..stage.targets {
                let is_slow = plan.slow_one_in > 0 && i % plan.slow_one_in == plan.slow_one_in - 1;
                let factor = if is_slow { plan.slow_factor } else { 1.0 };
                targets.push(FakeTarget::new(stage.concurrency, stage.service.mul_f64(factor)));
            }
            let capacity = stage.concurrency * stage.targets as u32;
            pools.push(Pool {
                first,
                len: stage.targets,
                shares: Shares::new(capacity),
                clock: StageDurations::default(),
            });
        }
        let loads = targets.iter().map(|_| Load::default()).collect();
        let mut queue = Queue::default();
        queue.push(Duration::ZERO, Event::Arrive);
        queue.push(REPORT_EVERY, Event::Report);
        let figures =
            Figures { by_customer: vec![(0, 0); plan.customers.len()], ..Figures::default() };
        let rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let strategies = vec![strategy; plan.stages.len()];
        let requests = Vec::new();
        Self {
            plan,
            strategies,
            rng,
            queue,
            now: Duration::ZERO,
            targets,
            loads,
            pools,
            requests,
            figures,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Finish { target, request } => self.finish(target, request),
            Event::Deadline { request } => self.deadline_passed(request),
            Event::Report => self.report(),
        }
    }

    fn rate(&self) -> f64 {
        let burst = self
            .plan
            .burst
            .filter(|burst| self.now >= burst.at && self.now < burst.at + burst.length);
        self.plan.rate * burst.map_or(1.0, |burst| burst.factor)
    }

    fn draw_customer(&mut self) -> usize {
        if arrivals::unit(&mut self.rng) < self.plan.greedy {
            return 0;
        }
        (self.rng.next_u64() % self.plan.customers.len() as u64) as usize
    }

    fn arrive(&mut self) {
        let rate = self.rate();
        let wait = Duration::from_secs_f64(arrivals::exponential(&mut self.rng, rate));
        if self.now + wait < self.plan.duration {
            self.queue.push(self.now + wait, Event::Arrive);
        }
        let customer = self.draw_customer();
        let id = self.requests.len();
        let deadline = self.now + self.plan.deadline;
        self.requests.push(Request {
            arrived: self.now,
            deadline,
            customer,
            stage: 0,
            target: None,
            sent_at: self.now,
            load_at_send: 0,
            cost: 0.0,
            ended: false,
        });
        self.figures.sent += 1;
        self.figures.by_second.entry(self.now.as_secs()).or_default().1 += 1;
        self.figures.by_customer[customer].1 += 1;
        self.queue.push(deadline, Event::Deadline { request: id });
        self.start_stage(id);
    }

    fn candidates(&self, stage: usize) -> Vec<Candidate> {
        let pool = &self.pools[stage];
        let candidate = |target: usize| Candidate {
            load: self.loads[target].snapshot(self.now),
            concurrency: self.plan.stages[stage].concurrency,
            round_trip: Duration::from_millis(1),
            has_prefix: false,
        };
        (pool.first..pool.first + pool.len).map(candidate).collect()
    }

    fn start_stage(&mut self, id: usize) {
        let request = &self.requests[id];
        let (stage, customer) = (request.stage, request.customer);
        let candidates = self.candidates(stage);
        if self.plan.admission {
            let left = request.deadline.saturating_sub(self.now);
            let later = self.pools[stage + 1..].iter().map(|pool| pool.clock.lower_estimate());
            let expected = router::best_completion_time(&candidates).unwrap_or_default();
            let name = customer.to_string();
            if !deadline::can_meet_deadline(left, expected, later)
                || !self.pools[stage].shares.admit(&name, self.plan.customers[customer])
            {
                self.end(id, false);
                self.figures.refused += 1;
                return;
            }
        }
        self.send(id, stage, &candidates);
    }

    fn send(&mut self, id: usize, stage: usize, candidates: &[Candidate]) {
        let Some(picked) = self.strategies[stage].pick(candidates, &mut self.rng) else { return };
        let pool = &self.pools[stage];
        let target = pool.first + picked;
        let load = candidates[picked].load.total;
        self.loads[target].on_send();
        let request = &mut self.requests[id];
        request.target = Some(target);
        request.sent_at = self.now;
        request.load_at_send = load;
        self.targets[target].push(id, &mut self.rng);
        self.start_waiting(target);
    }

    /// Starts what the target has room for.
    fn start_waiting(&mut self, target: usize) {
        while let Some((request, service)) = self.targets[target].start(self.now) {
            self.queue.push(self.now + service, Event::Finish { target, request });
        }
    }

    fn cost_of(&self, stage: usize, service: Duration) -> f64 {
        service.as_secs_f64() * self.plan.stages[stage].cost_per_s
    }

    fn finish(&mut self, target: usize, id: usize) {
        let Some(service) = self.targets[target].finish(id, self.now) else { return };
        self.start_waiting(target);
        let stage = self.requests[id].stage;
        let cost = self.cost_of(stage, service);
        self.loads[target].on_end();
        self.release(id);
        let request = &mut self.requests[id];
        request.cost += cost;
        request.target = None;
        let duration = self.now.saturating_sub(request.sent_at);
        let load_at_send = request.load_at_send;
        request.stage += 1;
        let is_last = request.stage == self.plan.stages.len();
        self.loads[target].on_success(
            duration,
            load_at_send,
            self.plan.stages[stage].concurrency,
            self.now,
        );
        self.pools[stage].clock.record(duration, self.now);
        self.pools[stage].shares.on_success();
        if is_last {
            self.end(id, true);
        } else {
            self.start_stage(id);
        }
    }

    fn release(&mut self, id: usize) {
        if self.plan.admission {
            let request = &self.requests[id];
            self.pools[request.stage].shares.release(&request.customer.to_string());
        }
    }

    fn deadline_passed(&mut self, id: usize) {
        if self.requests[id].ended {
            return;
        }
        self.figures.late += 1;
        let stage = self.requests[id].stage;
        if let Some(target) = self.requests[id].target.take() {
            let service = self.targets[target].cancel(id, self.now);
            self.requests[id].cost += self.cost_of(stage, service);
            self.loads[target].on_end();
            let request = &self.requests[id];
            let duration = self.now.saturating_sub(request.sent_at);
            let concurrency = self.plan.stages[stage].concurrency;
            self.loads[target].on_timeout(duration, request.load_at_send, concurrency, self.now);
            self.release(id);
            self.start_waiting(target);
        }
        self.end(id, false);
    }

    fn end(&mut self, id: usize, attained: bool) {
        let request = &mut self.requests[id];
        request.ended = true;
        if attained {
            self.figures.attained += 1;
            self.figures.useful_cost += request.cost;
            self.figures.by_second.entry(request.arrived.as_secs()).or_default().0 += 1;
            self.figures.by_customer[request.customer].0 += 1;
        } else {
            self.figures.wasted_cost += request.cost;
        }
    }

    fn report(&mut self) {
        for (target, load) in self.targets.iter().zip(&self.loads) {
            load.on_report(target.load());
        }
        if self.now < self.plan.duration {
            self.queue.push(self.now + REPORT_EVERY, Event::Report);
        }
    }
}
