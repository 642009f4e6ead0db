import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {readSteadyMs} from '@greengagecross/common';
import {CrashSuspects, RequestDeadline} from '@greengagecross/decisions';
import {ChatTexts} from './chat_texts.js';
import type {GuardedRequest} from './request_guard.js';
import {TrialVerdicts} from './trial_verdicts.js';

const DEADLINE_MS = 60_000;
/** Time between the crashes of a message, and from its request to a crash. */
const GAP_MS = 3000;

/** One chat on trial, and what the daemon knows of messages. */
interface VerdictWorld extends World {
  suspects: CrashSuspects;
  texts: ChatTexts;
  request: GuardedRequest;
  server: string;
  sentAtMs: number;
  isToBlame: boolean;
  afterMs: number;
}

/** Makes a chat with one message. */
export function makeChat(message: string): GuardedRequest {
  return {
    requestId: `chat-${message}`,
    fingerprintParts: {
      customer: 'acme',
      service: 'assistant',
      call: '',
      body: Buffer.from(JSON.stringify({messages: [{content: message}]})),
    },
    deadline: RequestDeadline.make(undefined, DEADLINE_MS, Date.now()),
  };
}

function addCrash(
  {suspects, texts}: VerdictWorld,
  message: string,
  server: string,
  atMs: number,
): void {
  suspects.recordCrash(texts.list(makeChat(message)), {
    server,
    atMs,
    sentAtMs: atMs - 1,
  });
}

Given(
  'a daemon on which a chat with the message {string} runs as a trial on {string}',
  function (this: VerdictWorld, message: string, server: string) {
    this.suspects = new CrashSuspects();
    this.texts = new ChatTexts('key');
    this.request = makeChat(message);
    this.server = server;
    this.sentAtMs = readSteadyMs();
  },
);

Given(
  'the message {string} crashed {int} engines',
  function (this: VerdictWorld, message: string, count: number) {
    for (let at = 0; at < count; at += 1) {
      const atMs = this.sentAtMs - (count - at) * GAP_MS;
      addCrash(this, message, `other-${at}`, atMs);
    }
  },
);

Given(
  /^the message "(\w+)" crashed (\d+) engines, the last of them "([\w-]+)" (during|before) the trial$/,
  function (
    this: VerdictWorld,
    message: string,
    count: string,
    server: string,
    when: string,
  ) {
    for (let at = Number(count) - 1; at > 0; at -= 1) {
      const atMs = this.sentAtMs - (at + 1) * GAP_MS;
      addCrash(this, message, `other-${at}`, atMs);
    }
    const lastMs = this.sentAtMs + (when === 'during' ? 1 : -1);
    addCrash(this, message, server, lastMs);
  },
);

async function runVerdict(world: VerdictWorld): Promise<void> {
  const startedAtMs = performance.now();
  const verdicts = new TrialVerdicts(world.suspects, world.texts);
  world.isToBlame = await Effect.runPromise(
    verdicts.isToBlame(world.request, world.server, world.sentAtMs),
  );
  world.afterMs = performance.now() - startedAtMs;
}

When(
  '{string} crashes during the trial',
  function (this: VerdictWorld, server: string) {
    assert.equal(server, this.server);
    return runVerdict(this);
  },
);

When(
  '{string} crashes during the trial, as another daemon reports {int} ms later for {string}',
  async function (
    this: VerdictWorld,
    server: string,
    laterMs: number,
    message: string,
  ) {
    const verdict = runVerdict(this);
    await new Promise(resolve => setTimeout(resolve, laterMs));
    addCrash(this, message, server, readSteadyMs());
    await verdict;
  },
);

Then(
  /^the request is (not )?to blame, decided within (\d+) ms$/,
  function (this: VerdictWorld, not: string | null, limitMs: string) {
    assert.equal(this.isToBlame, not === null);
    assert.ok(this.afterMs < Number(limitMs), `${this.afterMs} ms`);
  },
);
