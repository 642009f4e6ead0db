import assert from 'node:assert/strict';
import {Effect} from 'effect';
import {createParser} from 'eventsource-parser';
import {
  BackendHeader,
  type BackendCall,
  type EngineClient,
  type ServiceClient,
} from '@greengagecross/backend';
import {PriorityClass, type BackendServer} from '@greengagecross/common';
import {readBody, type OpenReply} from '@greengagecross/http';
import type {WeightStore} from '@greengagecross/platform';
import {computeAnswerTokens} from '../backends/expected_answer.js';

const MAX_BYTES = 1024 * 1024;
const TOKENS = 5;
/** Events of a whole stream: the tokens, the last chunk and the done event. */
const EVENTS = TOKENS + 2;
const MANY_TOKENS = 2000;
const MESSAGES = [{role: 'user', content: 'a question'}];

/** Checks one case of a backend server's contract. */
export type BackendCase<T> = (
  client: T,
  server: BackendServer,
) => Promise<void>;

/** Makes the call of one attempt. */
export function makeCall(
  server: BackendServer,
  attemptId: string,
): BackendCall {
  return {
    server,
    attemptId,
    customer: 'customer-1',
    chat: 'chat',
    priority: PriorityClass.INTERACTIVE,
    deadlineMs: 60_000,
  };
}

/** Makes the body of a chat request. */
export function makeChatBody(stream: boolean, tokens = TOKENS): Buffer {
  const body = {model: 'm', messages: MESSAGES, max_tokens: tokens, stream};
  return Buffer.from(JSON.stringify(body));
}

/** The engine's contract. */
export const ENGINE_CASES: Readonly<Record<string, BackendCase<EngineClient>>> =
  {
    "streams every event once, in order, under the attempt's id": async (
      engine,
      server,
    ) => {
      const call = makeCall(server, 'attempt-1');
      const reply = await Effect.runPromise(
        engine.open(call, makeChatBody(true)),
      );
      assert.equal(reply.status, 200);
      assert.equal(reply.headers[BackendHeader.REQUEST_ID], 'attempt-1');
      const events = await readEvents(reply);
      assert.deepEqual(events.ids, listNumbers(0, EVENTS));
      assert.equal(events.content, listTokens().join(''));
      assert.equal(events.last, '[DONE]');
    },
    'resumes after an event with none missing or twice': async (
      engine,
      server,
    ) => {
      const call = makeCall(server, 'attempt-2');
      const first = await Effect.runPromise(
        engine.open(call, makeChatBody(true)),
      );
      await readEvents(first);
      const rest = await Effect.runPromise(engine.resume(call, 2));
      assert.equal(rest.headers[BackendHeader.REQUEST_ID], 'attempt-2');
      const events = await readEvents(rest);
      assert.deepEqual(events.ids, listNumbers(3, EVENTS));
      assert.equal(events.content, listTokens().slice(3).join(''));
    },
    'answers whole where no stream was asked for': async (engine, server) => {
      const call = makeCall(server, 'attempt-3');
      const reply = await Effect.runPromise(
        engine.open(call, makeChatBody(false)),
      );
      const {id, choices} = JSON.parse(await readText(reply)) as {
        id: string;
        choices: {message: {content: string}; finish_reason: string}[];
      };
      assert.equal(id, 'chatcmpl-attempt-3');
      assert.equal(choices[0]?.message.content, listTokens().join(''));
      assert.equal(choices[0].finish_reason, 'stop');
    },
    'ends the stream of a cancelled attempt undone': async (engine, server) => {
      const call = makeCall(server, 'attempt-4');
      const body = makeChatBody(true, MANY_TOKENS);
      const reply = await Effect.runPromise(engine.open(call, body));
      await Effect.runPromise(engine.cancel(call));
      const events = await readEvents(reply);
      assert.notEqual(events.last, '[DONE]');
      assert.ok(events.ids.length < MANY_TOKENS);
    },
    'reports its load': async (engine, server) => {
      const load = await Effect.runPromise(engine.fetchLoad(server));
      assert.ok(load.capacity > 0);
      assert.deepEqual([load.running, load.waiting], [0, 0]);
      assert.equal(load.leaving, false);
    },
  };

/** The plain service's contract. */
export const SERVICE_CASES: Readonly<
  Record<string, BackendCase<ServiceClient>>
> = Object.fromEntries(
  ['GET', 'POST', 'PUT', 'PATCH', 'DELETE'].map(method => [
    `answers ${method} with its path and work under the call's id`,
    (service: ServiceClient, server: BackendServer) =>
      checkService(service, server, method),
  ]),
);

/** The weight store's contract. */
export const WEIGHT_CASES: Readonly<
  Record<string, (weights: WeightStore) => Promise<void>>
> = {
  "gives a version's bytes": async weights => {
    const bytes = await Effect.runPromise(weights.getSize('a model/x', '1'));
    assert.ok(bytes !== undefined && bytes > 0);
  },
  'has nothing of an absent version': async weights => {
    const bytes = await Effect.runPromise(weights.getSize('m', 'absent'));
    assert.equal(bytes, undefined);
  },
};

async function checkService(
  service: ServiceClient,
  server: BackendServer,
  method: string,
): Promise<void> {
  const request = {
    method,
    path: '/a/path',
    headers: {'content-type': 'application/json'},
    body: Buffer.from(JSON.stringify({workId: 'café'})),
  };
  const reply = await Effect.runPromise(
    service.send(makeCall(server, 'attempt-5'), request),
  );
  assert.equal(reply.status, 200);
  assert.equal(reply.headers[BackendHeader.REQUEST_ID], 'attempt-5');
  const answer: unknown = JSON.parse(reply.body.toString());
  assert.deepEqual(answer, {method, path: '/a/path', workId: 'café'});
}

interface ReadEvents {
  readonly ids: readonly number[];
  readonly content: string;
  readonly last: string;
}

async function readEvents(reply: OpenReply): Promise<ReadEvents> {
  const found: {id: number; data: string}[] = [];
  const parser = createParser({
    onEvent: event => found.push({id: Number(event.id), data: event.data}),
  });
  parser.feed(await readText(reply));
  const contents = found
    .filter(event => event.data !== '[DONE]')
    .map(event => JSON.parse(event.data) as StreamedChunk)
    .map(chunk => chunk.choices[0]?.delta.content ?? '');
  return {
    ids: found.map(event => event.id),
    content: contents.join(''),
    last: found.at(-1)?.data ?? '',
  };
}

interface StreamedChunk {
  readonly choices: readonly {readonly delta: {readonly content: string}}[];
}

async function readText(reply: OpenReply): Promise<string> {
  const body = readBody(reply.stream, MAX_BYTES, 'contract');
  return (await Effect.runPromise(body)).toString();
}

function listTokens(): string[] {
  return computeAnswerTokens({messages: MESSAGES, max_tokens: TOKENS});
}

function listNumbers(first: number, end: number): number[] {
  return Array.from({length: end - first}, (unused, index) => first + index);
}
