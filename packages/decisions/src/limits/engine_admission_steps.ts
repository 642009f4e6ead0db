import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {PriorityClass, SeededRandom} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASSES_BY_URGENCY} from './class_demand.js';
import {Admission, EngineAdmitter} from './engine_admission.js';
import {EngineOccupancy} from './engine_occupancy.js';

const FAR_FUTURE_MS = 1_000_000_000;
/** After this time the moving average equals the current count. */
const SETTLED_MS = 200_000;
const ASK_INTERVAL_MS = 20;
const END_PROBABILITY = 0.1;

/** A simulated engine that runs the requests that its admitter grants. */
class SimulatedEngine extends EngineOccupancy {
  readonly admitter = new EngineAdmitter();
  readonly running: AdmissionRequest[] = [];
  readonly waiting: AdmissionRequest[] = [];
  maxRunning = 0;
  nowMs = 0;

  constructor(readonly limit: number) {
    super();
  }

  override count(): number {
    return this.running.length;
  }

  override countOfCustomer(customer: string): number {
    return this.running.filter(r => r.customer === customer).length;
  }

  override countCustomers(): number {
    return new Set(this.running.map(request => request.customer)).size;
  }

  override countOfClass(priority: PriorityClass): number {
    return this.running.filter(r => r.priority === priority).length;
  }

  /** Asks the admitter once for a slot; runs the request if it is granted. */
  request(request: AdmissionRequest): Admission {
    const {limit, nowMs} = this;
    const answer = this.admitter.answer(request, this, limit, nowMs);
    if (answer === Admission.GRANTED) this.running.push(request);
    this.maxRunning = Math.max(this.maxRunning, this.running.length);
    return answer;
  }

  /** Lets every waiting request ask again; returns those granted now. */
  requestAll(): AdmissionRequest[] {
    const granted = this.waiting.filter(
      request => this.request(request) === Admission.GRANTED,
    );
    for (const request of granted) {
      this.waiting.splice(this.waiting.indexOf(request), 1);
    }
    return granted;
  }

  /** Asks for a slot; `requestAll` asks again if the request must wait. */
  add(request: AdmissionRequest): void {
    if (this.request(request) === Admission.WAITING) this.waiting.push(request);
  }
}

/** Fixture of the admission scenarios. */
interface AdmissionWorld extends World {
  engine: SimulatedEngine;
  /** Answer to the request whose waiting time is limited. */
  answer: Admission;
}

let nextSlot = 0;

function makeRequest(
  customer: string,
  priority = PriorityClass.CONSULTATION,
  waitUntilMs = FAR_FUTURE_MS,
): AdmissionRequest {
  nextSlot += 1;
  return {slotId: `slot-${nextSlot}`, customer, priority, waitUntilMs};
}

Given(
  'an engine with a limit of {int}',
  function (this: AdmissionWorld, limit: number) {
    this.engine = new SimulatedEngine(limit);
  },
);

When(
  '{int} random requests of {int} customers arrive and end with seed {int}',
  function (
    this: AdmissionWorld,
    requests: number,
    customers: number,
    seed: number,
  ) {
    const random = new SeededRandom(seed);
    const {engine} = this;
    const tick = (): void => {
      engine.nowMs += ASK_INTERVAL_MS;
      for (let at = engine.running.length - 1; at >= 0; at -= 1) {
        if (random.nextUnit() < END_PROBABILITY) engine.running.splice(at, 1);
      }
      engine.requestAll();
    };
    for (let index = 0; index < requests; index += 1) {
      const customer = `customer-${random.nextInt(customers)}`;
      const priority = random.choose(CLASSES_BY_URGENCY);
      engine.add(makeRequest(customer, priority));
      tick();
    }
    for (
      let remainingTicks = requests * 100;
      remainingTicks > 0;
      remainingTicks -= 1
    ) {
      if (engine.waiting.length === 0) break;
      tick();
    }
  },
);

Then(
  'the engine never ran more requests than its limit',
  function (this: AdmissionWorld) {
    assert.ok(this.engine.maxRunning <= this.engine.limit);
  },
);

Then(
  'every request that kept asking was granted',
  function (this: AdmissionWorld) {
    assert.equal(this.engine.waiting.length, 0);
    assert.equal(this.engine.admitter.countWaiting(), 0);
  },
);

Given(
  'customer {string} has {int} requests running and {int} waiting on the engine',
  function (
    this: AdmissionWorld,
    customer: string,
    running: number,
    waiting: number,
  ) {
    for (let index = 0; index < running + waiting; index += 1) {
      this.engine.add(makeRequest(customer));
    }
    assert.equal(this.engine.running.length, running);
    assert.equal(this.engine.waiting.length, waiting);
  },
);

When(
  'customer {string} asks for a slot on the engine',
  function (this: AdmissionWorld, customer: string) {
    this.engine.add(makeRequest(customer));
  },
);

When(
  'an interactive request of {string} asks for a slot on the engine',
  function (this: AdmissionWorld, customer: string) {
    this.engine.add(makeRequest(customer, PriorityClass.INTERACTIVE));
  },
);

When(
  'one request of {string} ends on the engine',
  function (this: AdmissionWorld, customer: string) {
    const {running} = this.engine;
    const at = running.findIndex(request => request.customer === customer);
    assert.ok(at >= 0);
    running.splice(at, 1);
  },
);

Then(
  'the next request granted is of {string}',
  function (this: AdmissionWorld, customer: string) {
    const [next] = this.engine.requestAll();
    assert.equal(next?.customer, customer);
  },
);

When(
  '{int} ms pass in which no request asks again',
  function (this: AdmissionWorld, ms: number) {
    this.engine.nowMs += ms;
  },
);

Then(
  'a request of {string} is granted at once',
  function (this: AdmissionWorld, customer: string) {
    const answer = this.engine.request(makeRequest(customer));
    assert.equal(answer, Admission.GRANTED);
  },
);

Given(
  'a recent mean of {int} interactive requests in flight on the engine',
  function (this: AdmissionWorld, mean: number) {
    const {engine} = this;
    for (let index = 0; index < mean; index += 1) {
      engine.add(makeRequest('counter', PriorityClass.INTERACTIVE));
    }
    engine.nowMs = SETTLED_MS;
    // Made only to update the moving average.
    engine.request(makeRequest('counter', PriorityClass.INTERACTIVE));
    engine.running.length = 0;
  },
);

When('background requests fill the engine', function (this: AdmissionWorld) {
  for (let index = 0; index < this.engine.limit; index += 1) {
    this.engine.add(makeRequest('archive', PriorityClass.BACKGROUND));
  }
});

Then(
  'at least {int} slots of the engine stay free',
  function (this: AdmissionWorld, free: number) {
    const {limit, running} = this.engine;
    assert.ok(limit - running.length >= free, `${running.length} run`);
    if (free === 0) assert.equal(running.length, limit);
  },
);

Given(
  'the engine ends one request every {int} ms while others wait',
  function (this: AdmissionWorld, intervalMs: number) {
    const {engine} = this;
    for (let index = 0; index < 20; index += 1) {
      engine.add(makeRequest('busy'));
    }
    for (let atMs = 0; atMs < 15 * intervalMs; atMs += ASK_INTERVAL_MS) {
      engine.nowMs = atMs;
      if (atMs % intervalMs === 0) engine.running.shift();
      engine.requestAll();
    }
    assert.ok(engine.waiting.length > 0);
  },
);

When(
  'a request that waits at most {int} ms asks for a slot on the engine',
  function (this: AdmissionWorld, waitMs: number) {
    const {nowMs} = this.engine;
    const priority = PriorityClass.CONSULTATION;
    const request = makeRequest('late', priority, nowMs + waitMs);
    this.answer = this.engine.request(request);
  },
);

Then('the request is refused a slot', function (this: AdmissionWorld) {
  assert.equal(this.answer, Admission.REFUSED);
});
