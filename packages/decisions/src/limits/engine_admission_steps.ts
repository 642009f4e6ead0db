import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {PriorityClass, SeededRandom} from '@greengagecross/common';
import type {AdmissionRequest} from './admission_request.js';
import {CLASS_ORDER} from './class_demand.js';
import {
  Admission,
  EngineAdmission,
  type AdmissionAnswer,
} from './engine_admission.js';

const LONG_MS = 1_000_000;
const SETTLED_MS = 200_000;

/** State of one scenario about admission. */
interface AdmissionWorld extends World {
  admission: EngineAdmission;
  limit: number;
  maxRunning: number;
  violations: string[];
  started: AdmissionRequest[];
  answer: AdmissionAnswer;
}

let nextSlot = 0;

function makeRequest(
  customer: string,
  changes: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  nextSlot += 1;
  return {
    slotId: `slot-${nextSlot}`,
    customer,
    priority: PriorityClass.CONSULTATION,
    customerShare: LONG_MS,
    waitUntilMs: LONG_MS,
    ...changes,
  };
}

Given(
  'an admission with a limit of {int}',
  function (this: AdmissionWorld, limit: number) {
    this.admission = new EngineAdmission();
    this.limit = limit;
    this.started = [];
    this.violations = [];
    this.maxRunning = 0;
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
    const running = new Set<string>();
    const waiting = new Set<string>();
    const {admission, limit} = this;
    const start = (slotId: string): void => {
      if (running.has(slotId)) this.violations.push(`${slotId} twice`);
      waiting.delete(slotId);
      running.add(slotId);
    };
    const end = (slotId: string, nowMs: number): void => {
      running.delete(slotId);
      for (const next of admission.release(slotId, limit, nowMs)) {
        start(next.slotId);
      }
    };
    let nowMs = 0;
    for (let index = 0; index < requests; index += 1) {
      nowMs += random.nextInt(20);
      const request = makeRequest(`customer-${random.nextInt(customers)}`, {
        priority: random.choose(CLASS_ORDER) ?? PriorityClass.BACKGROUND,
        customerShare: 1 + random.nextInt(limit),
      });
      const {admission: decided} = admission.request(request, limit, nowMs);
      if (decided === Admission.GRANTED) start(request.slotId);
      if (decided === Admission.WAITING) waiting.add(request.slotId);
      this.maxRunning = Math.max(this.maxRunning, admission.count());
      if (admission.count() !== running.size) this.violations.push('count');
      const ended = random.choose([...running]);
      if (ended !== undefined && random.nextUnit() < 0.6) end(ended, nowMs);
    }
    while (running.size > 0) {
      nowMs += 10_000;
      end([...running][0] ?? '', nowMs);
    }
    if (waiting.size > 0) this.violations.push(`${waiting.size} lost`);
  },
);

Then(
  'the admission never runs more than its limit',
  function (this: AdmissionWorld) {
    assert.ok(this.maxRunning <= this.limit, String(this.maxRunning));
  },
);

Then(
  'the admission never runs a request twice or loses one that waits',
  function (this: AdmissionWorld) {
    assert.deepEqual(this.violations, []);
    assert.equal(this.admission.count(), 0);
    assert.equal(this.admission.countWaiting(), 0);
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
      const request = makeRequest(customer);
      this.admission.request(request, this.limit, 0);
      if (index < running) this.started.push(request);
    }
    assert.equal(this.admission.count(), running);
    assert.equal(this.admission.countWaiting(), waiting);
  },
);

When(
  'customer {string} asks the admission for room',
  function (this: AdmissionWorld, customer: string) {
    this.answer = this.admission.request(makeRequest(customer), this.limit, 1);
  },
);

When(
  'one request of {string} ends on the engine',
  function (this: AdmissionWorld, customer: string) {
    const ended = this.started.find(request => request.customer === customer);
    assert.ok(ended);
    this.started = this.admission.release(ended.slotId, this.limit, 2);
  },
);

Then(
  'the next request that the admission starts is of {string}',
  function (this: AdmissionWorld, customer: string) {
    assert.deepEqual(
      this.started.map(request => request.customer),
      [customer],
    );
  },
);

When(
  'customer {string} asks for room with a share of {int}',
  function (this: AdmissionWorld, customer: string, customerShare: number) {
    const request = makeRequest(customer, {customerShare});
    this.answer = this.admission.request(request, this.limit, 1);
  },
);

Then('the admission does not run it', function (this: AdmissionWorld) {
  assert.notEqual(this.answer.admission, Admission.GRANTED);
});

Then(
  'a request of {string} is granted by the admission at once',
  function (this: AdmissionWorld, customer: string) {
    const request = makeRequest(customer);
    const answer = this.admission.request(request, this.limit, 2);
    assert.equal(answer.admission, Admission.GRANTED);
  },
);

Given(
  '{int} interactive requests were lately in flight on the engine',
  function (this: AdmissionWorld, mean: number) {
    const requests = Array.from({length: mean}, () =>
      makeRequest('counter', {priority: PriorityClass.INTERACTIVE}),
    );
    for (const r of requests) this.admission.request(r, this.limit, 0);
    for (const {slotId} of requests) {
      this.admission.release(slotId, this.limit, SETTLED_MS);
    }
  },
);

When('background requests fill the engine', function (this: AdmissionWorld) {
  for (let index = 0; index < this.limit; index += 1) {
    const request = makeRequest('archive', {
      priority: PriorityClass.BACKGROUND,
    });
    this.admission.request(request, this.limit, SETTLED_MS);
  }
});

Then(
  'the admission leaves room for at least {int} more',
  function (this: AdmissionWorld, free: number) {
    assert.ok(this.limit - this.admission.count() >= free);
    if (free === 0) assert.equal(this.admission.count(), this.limit);
  },
);

Given(
  'the engine ends one request every {int} ms while others wait',
  function (this: AdmissionWorld, intervalMs: number) {
    const requests = Array.from({length: 40}, () => makeRequest('busy'));
    let running = requests.filter(
      request =>
        this.admission.request(request, this.limit, 0).admission ===
        Admission.GRANTED,
    );
    for (let ended = 1; running.length > 0 && ended < 30; ended += 1) {
      const [first, ...rest] = running;
      const started = this.admission.release(
        first?.slotId ?? '',
        this.limit,
        ended * intervalMs,
      );
      running = [...rest, ...started];
      this.admission.request(
        makeRequest('busy'),
        this.limit,
        ended * intervalMs,
      );
    }
  },
);

When(
  'a request that waits at most {int} ms asks the admission for room',
  function (this: AdmissionWorld, waitMs: number) {
    const nowMs = 40 * 400;
    const request = makeRequest('late', {waitUntilMs: nowMs + waitMs});
    this.answer = this.admission.request(request, this.limit, nowMs);
  },
);

Then(
  'the admission refuses it and names at least {int} ms',
  function (this: AdmissionWorld, retryMs: number) {
    assert.equal(this.answer.admission, Admission.REFUSED);
    assert.ok(
      this.answer.retryAfterMs >= retryMs,
      `${this.answer.retryAfterMs}`,
    );
  },
);
