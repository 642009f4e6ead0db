import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {PriorityClass, SeededRandom} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASS_ORDER} from './class_demand.js';
import {Admission, EngineAdmission} from './engine_admission.js';
import {EngineOccupancy} from './engine_occupancy.js';

const LONG_MS = 1_000_000_000;
const SETTLED_MS = 200_000;
const ASK_MS = 20;
const END_SHARE = 0.1;

/** An engine that runs what the admission grants, tick by tick. */
class AskedEngine extends EngineOccupancy {
  readonly admission = new EngineAdmission();
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

  /** Asks once; a request that waits is asked for again by `askAll`. */
  ask(request: AdmissionRequest): Admission {
    const {limit, nowMs} = this;
    const answer = this.admission.request(request, this, limit, nowMs);
    if (answer === Admission.GRANTED) this.running.push(request);
    this.maxRunning = Math.max(this.maxRunning, this.running.length);
    return answer;
  }

  /** Lets every waiting request ask again; gives those that now run. */
  askAll(): AdmissionRequest[] {
    const granted = this.waiting.filter(
      request => this.ask(request) === Admission.GRANTED,
    );
    for (const request of granted) {
      this.waiting.splice(this.waiting.indexOf(request), 1);
    }
    return granted;
  }

  /** Adds a request that keeps asking. */
  add(request: AdmissionRequest): void {
    if (this.ask(request) === Admission.WAITING) this.waiting.push(request);
  }
}

/** State of one scenario about admission. */
interface AdmissionWorld extends World {
  asked: AskedEngine;
  answer: Admission;
}

let nextSlot = 0;

function makeRequest(
  customer: string,
  priority = PriorityClass.CONSULTATION,
  waitUntilMs = LONG_MS,
): AdmissionRequest {
  nextSlot += 1;
  return {slotId: `slot-${nextSlot}`, customer, priority, waitUntilMs};
}

Given(
  'an admission with a limit of {int}',
  function (this: AdmissionWorld, limit: number) {
    this.asked = new AskedEngine(limit);
  },
);

When(
  '{int} random requests of {int} customers come and go with seed {int}',
  function (
    this: AdmissionWorld,
    requests: number,
    customers: number,
    seed: number,
  ) {
    const random = new SeededRandom(seed);
    const {asked} = this;
    const tick = (): void => {
      asked.nowMs += ASK_MS;
      for (let at = asked.running.length - 1; at >= 0; at -= 1) {
        if (random.nextUnit() < END_SHARE) asked.running.splice(at, 1);
      }
      asked.askAll();
    };
    for (let index = 0; index < requests; index += 1) {
      const customer = `customer-${random.nextInt(customers)}`;
      const priority = random.choose(CLASS_ORDER);
      asked.add(makeRequest(customer, priority));
      tick();
    }
    for (let left = requests * 100; left > 0; left -= 1) {
      if (asked.waiting.length === 0) break;
      tick();
    }
  },
);

Then(
  'the admission never ran more than its limit',
  function (this: AdmissionWorld) {
    assert.ok(this.asked.maxRunning <= this.asked.limit);
  },
);

Then(
  'the admission ran every request that kept asking',
  function (this: AdmissionWorld) {
    assert.equal(this.asked.waiting.length, 0);
    assert.equal(this.asked.admission.countWaiting(), 0);
  },
);

Given(
  'customer {string} has {int} requests on the engine and {int} that wait there',
  function (
    this: AdmissionWorld,
    customer: string,
    running: number,
    waiting: number,
  ) {
    for (let index = 0; index < running + waiting; index += 1) {
      this.asked.add(makeRequest(customer));
    }
    assert.equal(this.asked.running.length, running);
    assert.equal(this.asked.waiting.length, waiting);
  },
);

When(
  'customer {string} asks the admission for room',
  function (this: AdmissionWorld, customer: string) {
    this.asked.add(makeRequest(customer));
  },
);

When(
  'an interactive request of {string} asks the admission for room',
  function (this: AdmissionWorld, customer: string) {
    this.asked.add(makeRequest(customer, PriorityClass.INTERACTIVE));
  },
);

When(
  'one request of {string} ends on the engine',
  function (this: AdmissionWorld, customer: string) {
    const {running} = this.asked;
    const at = running.findIndex(request => request.customer === customer);
    assert.ok(at >= 0);
    running.splice(at, 1);
  },
);

Then(
  'the next request that the admission runs is of {string}',
  function (this: AdmissionWorld, customer: string) {
    const [next] = this.asked.askAll();
    assert.equal(next?.customer, customer);
  },
);

When(
  '{int} ms pass for the admission without a question',
  function (this: AdmissionWorld, ms: number) {
    this.asked.nowMs += ms;
  },
);

Then(
  'a request of {string} is granted by the admission at once',
  function (this: AdmissionWorld, customer: string) {
    const answer = this.asked.ask(makeRequest(customer));
    assert.equal(answer, Admission.GRANTED);
  },
);

Given(
  '{int} interactive requests were lately in flight on the engine',
  function (this: AdmissionWorld, mean: number) {
    const {asked} = this;
    for (let index = 0; index < mean; index += 1) {
      asked.add(makeRequest('counter', PriorityClass.INTERACTIVE));
    }
    asked.nowMs = SETTLED_MS;
    asked.ask(makeRequest('counter', PriorityClass.INTERACTIVE));
    asked.running.length = 0;
  },
);

When('background requests fill the engine', function (this: AdmissionWorld) {
  for (let index = 0; index < this.asked.limit; index += 1) {
    this.asked.add(makeRequest('archive', PriorityClass.BACKGROUND));
  }
});

Then(
  'the admission leaves room for at least {int} more',
  function (this: AdmissionWorld, free: number) {
    const {limit, running} = this.asked;
    assert.ok(limit - running.length >= free, `${running.length} run`);
    if (free === 0) assert.equal(running.length, limit);
  },
);

Given(
  'the engine ends one request every {int} ms while others wait',
  function (this: AdmissionWorld, intervalMs: number) {
    const {asked} = this;
    for (let index = 0; index < 20; index += 1) {
      asked.add(makeRequest('busy'));
    }
    for (let atMs = 0; atMs < 15 * intervalMs; atMs += ASK_MS) {
      asked.nowMs = atMs;
      if (atMs % intervalMs === 0) asked.running.shift();
      asked.askAll();
    }
    assert.ok(asked.waiting.length > 0);
  },
);

When(
  'a request that waits at most {int} ms asks the admission for room',
  function (this: AdmissionWorld, waitMs: number) {
    const {nowMs} = this.asked;
    const priority = PriorityClass.CONSULTATION;
    const request = makeRequest('late', priority, nowMs + waitMs);
    this.answer = this.asked.ask(request);
  },
);

Then('the admission refuses it', function (this: AdmissionWorld) {
  assert.equal(this.answer, Admission.REFUSED);
});
