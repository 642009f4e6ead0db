import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Result} from 'effect';
import {BackendError, BackendFailure} from '@greengagecross/backend';
import type {BackendServer} from '@greengagecross/common';
import {CrashSuspects} from '@greengagecross/decisions';
import {ChatTexts} from './chat_texts.js';
import {PermissiveGuard} from './permissive_guard.js';
import {SharedTextGuard} from './shared_text_guard.js';
import type {TextReports} from './text_reports.js';
import {makeChat} from './trial_verdicts_steps.js';

/** More than the time that a report may be late by. */
const GAP_MS = 30;

/** A guard and what it knows of messages. */
interface TextWorld extends World {
  guard: SharedTextGuard;
}

async function runChats(
  {guard}: TextWorld,
  servers: string,
  message: string,
  failure?: BackendFailure,
): Promise<void> {
  for (const id of servers.split(',')) {
    const server = {id, host: '127.0.0.1', port: 1} as BackendServer;
    const result =
      failure === undefined
        ? Result.succeed('answer')
        : Result.fail(new BackendError(failure, id));
    const run = Effect.as(Effect.sleep(GAP_MS), result);
    const attempt = {attemptId: id, server, run};
    await Effect.runPromise(guard.run(makeChat(message), attempt));
    await sleep(GAP_MS);
  }
}

Given(
  'a daemon that attributes crashes to messages of chats',
  function (this: TextWorld) {
    const reports = {
      selfId: 'daemon-1',
      listDaemons: () => ['daemon-1'],
      send: () => Effect.void,
    };
    this.guard = new SharedTextGuard(
      new PermissiveGuard(),
      new ChatTexts('key'),
      new CrashSuspects(),
      reports as unknown as TextReports,
    );
  },
);

When(
  'engines {string} crash in turn under chats with the message {string}',
  function (this: TextWorld, servers: string, message: string) {
    return runChats(this, servers, message, BackendFailure.CRASHED);
  },
);

When(
  'chats with the message {string} are cut in turn at {string}',
  function (this: TextWorld, message: string, servers: string) {
    return runChats(this, servers, message, BackendFailure.CRASHED);
  },
);

When(
  'engines {string} answer chats with the message {string}',
  function (this: TextWorld, servers: string, message: string) {
    return runChats(this, servers, message);
  },
);

Then(
  /^"(\w+)" is (not )?condemned$/,
  async function (this: TextWorld, message: string, not: string | null) {
    const isCondemned = await Effect.runPromise(
      this.guard.isCondemned(makeChat(message)),
    );
    assert.equal(isCondemned, not === null);
  },
);
