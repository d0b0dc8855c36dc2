//! Discrete-event simulation of the policy: routing and admission of one entry against simulated targets.
//!
//! Time is virtual, and a run with the same plan returns the same metrics.

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
use events::EventQueue;
use target::SimulatedTarget;

/// Interval at which targets report their load.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// A stage and the pool that runs it.
#[derive(Clone, Debug)]
pub struct StagePlan {
    /// Targets in the pool.
    pub targets: usize,
    /// Calls that one target runs at a time.
    pub concurrency: u32,
    /// Mean duration of a call on an idle target.
    pub service_time: Duration,
    /// Cost of one second of service time.
    pub cost_per_s: f64,
}

/// A burst of arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Start, relative to the start of the run.
    pub at: Duration,
    /// Duration.
    pub duration: Duration,
    /// Factor by which the rate is multiplied.
    pub factor: f64,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationPlan {
    /// Seed of arrivals, service times and routing choices.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Rate in requests per second.
    pub rate: f64,
    /// Time from arrival to the deadline of a request.
    pub deadline: Duration,
    /// Stages in order of execution.
    pub stages: Vec<StagePlan>,
    /// Every nth target of a pool is slow; zero for none.
    pub slow_every_nth: usize,
    /// Factor by which the service time of slow targets is multiplied.
    pub slow_factor: f64,
    /// Burst, if any.
    pub burst: Option<Burst>,
    /// Weights of the customers in admission; they send equal shares of the requests beside `greedy_share`.
    pub customers: Vec<u32>,
    /// Share of all requests that the first customer sends in addition to its equal share of the rest.
    pub greedy_share: f64,
    /// Whether requests are refused that cannot meet their deadline or exceed the share of their customer.
    pub admission: bool,
}

/// Metrics of a simulation.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SimulationMetrics {
    /// Requests that arrived.
    pub sent: u64,
    /// Requests completed within the deadline.
    pub attained: u64,
    /// Requests refused by admission.
    pub refused: u64,
    /// Requests that were still in progress at their deadline.
    pub late: u64,
    /// Cost of the service time of completed requests.
    pub useful_cost: f64,
    /// Cost of the service time of refused and late requests.
    pub wasted_cost: f64,
    /// Numbers of requests attained and sent, by second of arrival.
    pub by_second: BTreeMap<u64, (u64, u64)>,
    /// Numbers of requests attained and sent, by customer.
    pub by_customer: Vec<(u64, u64)>,
}

impl SimulationMetrics {
    /// Returns the share of requests completed within the deadline.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.sent.max(1) as f64
    }

    /// Returns the total cost per completed request, wasted cost included.
    pub fn cost_per_answer(&self) -> f64 {
        (self.useful_cost + self.wasted_cost) / self.attained.max(1) as f64
    }

    /// Returns the share of the cost that was spent on requests that did not complete.
    pub fn wasted_share(&self) -> f64 {
        let total = self.useful_cost + self.wasted_cost;
        if total > 0.0 { self.wasted_cost / total } else { 0.0 }
    }

    /// Returns the attainment of the requests that arrived from `from_s` to before `to_s`, in seconds.
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
    has_ended: bool,
}

struct Pool {
    first_target: usize,
    target_count: usize,
    shares: Shares,
    durations: StageDurations,
}

struct Simulation<'a, S> {
    plan: &'a SimulationPlan,
    /// Strategies by pool.
    strategies: Vec<S>,
    rng: ChaCha8Rng,
    queue: EventQueue<Event>,
    now: Duration,
    targets: Vec<SimulatedTarget>,
    loads: Vec<Load>,
    pools: Vec<Pool>,
    requests: Vec<Request>,
    metrics: SimulationMetrics,
}

/// Runs a simulation with a routing strategy and returns its metrics.
pub fn run(plan: &SimulationPlan, strategy: impl Strategy + Clone) -> SimulationMetrics {
    let mut simulation = Simulation::new(plan, strategy);
    while let Some((at, event)) = simulation.queue.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.metrics
}

impl<'a, S: Strategy + Clone> Simulation<'a, S> {
    fn new(plan: &'a SimulationPlan, strategy: S) -> Self {
        let mut targets = Vec::new();
        let mut pools = Vec::new();
        for stage in &plan.stages {
            let first_target = targets.len();
            for i in 0..stage.targets {
                let is_slow =
                    plan.slow_every_nth > 0 && i % plan.slow_every_nth == plan.slow_every_nth - 1;
                let factor = if is_slow { plan.slow_factor } else { 1.0 };
                targets.push(SimulatedTarget::new(
                    stage.concurrency,
                    stage.service_time.mul_f64(factor),
                ));
            }
            let capacity = stage.concurrency * stage.targets as u32;
            pools.push(Pool {
                first_target,
                target_count: stage.targets,
                shares: Shares::new(capacity),
                durations: StageDurations::default(),
            });
        }
        let loads = targets.iter().map(|_| Load::default()).collect();
        let mut queue = EventQueue::default();
        queue.push(Duration::ZERO, Event::Arrive);
        queue.push(LOAD_REPORT_INTERVAL, Event::Report);
        let metrics = SimulationMetrics {
            by_customer: vec![(0, 0); plan.customers.len()],
            ..SimulationMetrics::default()
        };
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
            metrics,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Finish { target, request } => self.finish(target, request),
            Event::Deadline { request } => self.expire(request),
            Event::Report => self.report(),
        }
    }

    fn rate(&self) -> f64 {
        let burst = self
            .plan
            .burst
            .filter(|burst| self.now >= burst.at && self.now < burst.at + burst.duration);
        self.plan.rate * burst.map_or(1.0, |burst| burst.factor)
    }

    fn pick_customer(&mut self) -> usize {
        if arrivals::uniform(&mut self.rng) < self.plan.greedy_share {
            return 0;
        }
        (self.rng.next_u64() % self.plan.customers.len() as u64) as usize
    }

    fn arrive(&mut self) {
        let rate = self.rate();
        let interval = Duration::from_secs_f64(arrivals::exponential(&mut self.rng, rate));
        if self.now + interval < self.plan.duration {
            self.queue.push(self.now + interval, Event::Arrive);
        }
        let customer = self.pick_customer();
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
            has_ended: false,
        });
        self.metrics.sent += 1;
        self.metrics.by_second.entry(self.now.as_secs()).or_default().1 += 1;
        self.metrics.by_customer[customer].1 += 1;
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
        (pool.first_target..pool.first_target + pool.target_count).map(candidate).collect()
    }

    fn start_stage(&mut self, id: usize) {
        let request = &self.requests[id];
        let (stage, customer) = (request.stage, request.customer);
        let candidates = self.candidates(stage);
        if self.plan.admission {
            let time_left = request.deadline.saturating_sub(self.now);
            let later = self.pools[stage + 1..].iter().map(|pool| pool.durations.lower_estimate());
            let completion_time = router::best_completion_time(&candidates).unwrap_or_default();
            let name = customer.to_string();
            if !deadline::can_meet_deadline(time_left, completion_time, later)
                || !self.pools[stage].shares.admit(&name, self.plan.customers[customer])
            {
                self.end(id, false);
                self.metrics.refused += 1;
                return;
            }
        }
        self.send(id, stage, &candidates);
    }

    fn send(&mut self, id: usize, stage: usize, candidates: &[Candidate]) {
        let Some(index) = self.strategies[stage].pick(candidates, &mut self.rng) else { return };
        let pool = &self.pools[stage];
        let target = pool.first_target + index;
        let load = candidates[index].load.total;
        self.loads[target].on_send();
        let request = &mut self.requests[id];
        request.target = Some(target);
        request.sent_at = self.now;
        request.load_at_send = load;
        self.targets[target].enqueue(id, &mut self.rng);
        self.start_queued(target);
    }

    /// Starts queued calls until the target is at its concurrency.
    fn start_queued(&mut self, target: usize) {
        while let Some((request, service_time)) = self.targets[target].start_next(self.now) {
            self.queue.push(self.now + service_time, Event::Finish { target, request });
        }
    }

    fn cost_of(&self, stage: usize, service_time: Duration) -> f64 {
        service_time.as_secs_f64() * self.plan.stages[stage].cost_per_s
    }

    fn finish(&mut self, target: usize, id: usize) {
        let Some(service_time) = self.targets[target].finish(id, self.now) else { return };
        self.start_queued(target);
        let stage = self.requests[id].stage;
        let cost = self.cost_of(stage, service_time);
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
        self.pools[stage].durations.record(duration, self.now);
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

    fn expire(&mut self, id: usize) {
        if self.requests[id].has_ended {
            return;
        }
        self.metrics.late += 1;
        let stage = self.requests[id].stage;
        if let Some(target) = self.requests[id].target.take() {
            let service_time = self.targets[target].cancel(id, self.now);
            self.requests[id].cost += self.cost_of(stage, service_time);
            self.loads[target].on_end();
            let request = &self.requests[id];
            let duration = self.now.saturating_sub(request.sent_at);
            let concurrency = self.plan.stages[stage].concurrency;
            self.loads[target].on_timeout(duration, request.load_at_send, concurrency, self.now);
            self.release(id);
            self.start_queued(target);
        }
        self.end(id, false);
    }

    fn end(&mut self, id: usize, is_attained: bool) {
        let request = &mut self.requests[id];
        request.has_ended = true;
        if is_attained {
            self.metrics.attained += 1;
            self.metrics.useful_cost += request.cost;
            self.metrics.by_second.entry(request.arrived.as_secs()).or_default().0 += 1;
            self.metrics.by_customer[request.customer].0 += 1;
        } else {
            self.metrics.wasted_cost += request.cost;
        }
    }

    fn report(&mut self) {
        for (target, load) in self.targets.iter().zip(&self.loads) {
            load.on_report(target.load());
        }
        if self.now < self.plan.duration {
            self.queue.push(self.now + LOAD_REPORT_INTERVAL, Event::Report);
        }
    }
}
