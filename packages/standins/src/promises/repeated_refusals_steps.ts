import assert from 'node:assert/strict';
import {After, Given, Then, When, World} from '@cucumber/cucumber';
import {Outcome} from '@greengagecross/common';
import {findFreePorts} from '@greengagecross/http';
import {makeIdempotencyKey} from '../callers/make_idempotency_key.js';
import {ChatFixture} from './chat_fixture.js';
import {RepeatingBackend, type RepeatMoment} from './repeating_backend.js';
import {ServiceFixture} from './service_fixture.js';

const HOST = '127.0.0.1';
const REFUSE_EVERY = 3;
const TOKENS = 3;
const MAX_SENDS = 5;

/** One request of a caller and what it was told. */
interface ToldRequest {
  readonly workId: string;
  readonly requestId: string;
  readonly outcome: Outcome | undefined;
  readonly isOwnAnswer: boolean;
}

/** Sends the request of a work once, with the key of at-most-once calls. */
type SendWork = (workId: string, key: string) => Promise<ToldRequest>;

/** World of the scenarios with one backend server that repeats refusals. */
interface RepeatedWorld extends World {
  repeatingBackend: RepeatingBackend;
  repeatedPath: ChatFixture | ServiceFixture;
  sendWork: SendWork;
  toldRequests: ToldRequest[];
  isAtMostOnce: boolean;
}

function makeChatSender(fixture: ChatFixture, isStream: boolean): SendWork {
  return async workId => {
    const messages = [{role: 'user', content: workId}];
    const body = {messages, max_tokens: TOKENS, stream: isStream};
    const reply = await fixture.send(body);
    return {
      workId,
      requestId: reply?.requestId ?? '',
      outcome: reply?.outcome,
      isOwnAnswer: reply?.isCompleteAndOwn === true,
    };
  };
}

function makeCallSender(fixture: ServiceFixture, isOnce: boolean): SendWork {
  return async (workId, key) => {
    const sending = isOnce
      ? fixture.sendAtMostOnce(workId, key)
      : fixture.sendRepeatable(workId);
    const {outcome, requestId, body} = await sending;
    return {workId, requestId, outcome, isOwnAnswer: body === workId};
  };
}

/** Runs `work` for each index below `count`, `atOnce` at a time. */
async function runConcurrently(
  count: number,
  atOnce: number,
  work: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  const runOne = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      await work(next);
    }
  };
  await Promise.all(Array.from({length: atOnce}, runOne));
}

Given(
  /^the path of (streamed chat|non-streamed chat|repeatable call|at-most-once call)s in front of a backend server that repeats refusals (.+)$/,
  async function (this: RepeatedWorld, kind: string, moment: string) {
    const [backendPort = 0, daemonPort = 0] = await findFreePorts(2);
    const address = {host: HOST, port: backendPort};
    const daemon = {host: HOST, port: daemonPort};
    this.toldRequests = [];
    this.isAtMostOnce = kind === 'at-most-once call';
    this.repeatingBackend = new RepeatingBackend(
      address,
      moment as RepeatMoment,
    );
    this.repeatingBackend.refuseEvery = REFUSE_EVERY;
    await this.repeatingBackend.start();
    if (kind.endsWith('chat')) {
      const fixture = new ChatFixture(daemon, address);
      this.sendWork = makeChatSender(fixture, kind === 'streamed chat');
      this.repeatedPath = fixture;
    } else {
      const fixture = new ServiceFixture(daemon, address);
      this.sendWork = makeCallSender(fixture, this.isAtMostOnce);
      this.repeatedPath = fixture;
    }
    await this.repeatedPath.start();
  },
);

Given('its answers name no attempt', function (this: RepeatedWorld) {
  this.repeatingBackend.namesAttempts = false;
});

When(
  /^callers send (\d+) (?:streamed chat|non-streamed chat|repeatable call|at-most-once call)s, (\d+) at a time$/,
  async function (this: RepeatedWorld, count: string, atOnce: string) {
    await runConcurrently(Number(count), Number(atOnce), async index => {
      const key = makeIdempotencyKey(Date.now());
      this.toldRequests.push(await this.sendWork(`work-${index}`, key));
    });
  },
);

When(
  'callers send {int} at-most-once calls, {int} at a time, each again with its key while it is told not-run',
  async function (this: RepeatedWorld, count: number, atOnce: number) {
    await runConcurrently(count, atOnce, async index => {
      const key = makeIdempotencyKey(Date.now());
      for (let sends = 0; sends < MAX_SENDS; sends += 1) {
        const told = await this.sendWork(`work-${index}`, key);
        this.toldRequests.push(told);
        if (told.outcome !== Outcome.NOT_RUN) return;
      }
    });
  },
);

/** Returns the ids of the requests of which an attempt ran, once per run. */
function listRunRequests(world: RepeatedWorld): string[] {
  return world.repeatingBackend.runs.map(
    attemptId => attemptId.split('.')[0] ?? '',
  );
}

function countOutcomes(world: RepeatedWorld): string {
  const counts = new Map<string, number>();
  for (const {outcome = 'no outcome'} of world.toldRequests) {
    counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
  }
  const texts = [...counts].map(([outcome, count]) => `${count} ${outcome}`);
  const {runs, repeats, connections} = world.repeatingBackend;
  return `${texts.join(', ')}; ${runs.length} ran, ${repeats} refusals repeated, ${connections} connections`;
}

Then('no request that was told not-run ran', function (this: RepeatedWorld) {
  const ran = new Set(listRunRequests(this));
  const broken = this.toldRequests.filter(
    ({outcome, requestId}) => outcome === Outcome.NOT_RUN && ran.has(requestId),
  );
  assert.deepEqual(broken, [], countOutcomes(this));
  assert.ok(this.toldRequests.every(({requestId}) => requestId !== ''));
  assert.ok(this.repeatingBackend.repeats > 0, 'no refusal was repeated');
});

Then(
  'at least {int} requests were told not-run and at least {int} ran',
  function (this: RepeatedWorld, refused: number, ran: number) {
    const notRun = this.toldRequests.filter(
      ({outcome}) => outcome === Outcome.NOT_RUN,
    );
    assert.ok(notRun.length >= refused, countOutcomes(this));
    assert.ok(this.repeatingBackend.runs.length >= ran, countOutcomes(this));
  },
);

Then(
  'no request that may run at most once ran twice',
  function (this: RepeatedWorld) {
    if (!this.isAtMostOnce) return;
    const workOf = new Map(
      this.toldRequests.map(told => [told.requestId, told.workId]),
    );
    const works = listRunRequests(this).map(id => workOf.get(id));
    assert.ok(!works.includes(undefined), 'a run of an unknown request');
    assert.equal(new Set(works).size, works.length, countOutcomes(this));
  },
);

Then(
  'no request was answered with the answer to another one',
  function (this: RepeatedWorld) {
    const wrong = this.toldRequests.filter(
      ({outcome, isOwnAnswer}) => outcome === Outcome.COMPLETE && !isOwnAnswer,
    );
    const text = `${wrong.length} wrong answers; ${countOutcomes(this)}`;
    assert.equal(wrong.length, 0, text);
  },
);

Then(
  'each request was answered completely or told not-run',
  function (this: RepeatedWorld) {
    const failed = this.toldRequests.filter(({outcome, isOwnAnswer}) =>
      outcome === Outcome.COMPLETE ? !isOwnAnswer : outcome !== Outcome.NOT_RUN,
    );
    assert.equal(failed.length, 0, countOutcomes(this));
  },
);

After(async function (this: RepeatedWorld) {
  if (this.repeatingBackend === undefined) return;
  await this.repeatedPath.stop();
  this.repeatingBackend.stop();
});
