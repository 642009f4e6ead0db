import {setTimeout as sleep} from 'node:timers/promises';
import {Effect} from 'effect';
import {HeaderName} from '@greengagecross/common';
import {BackendHeader} from '@greengagecross/backend';
import {HttpClient, readBody} from '@greengagecross/http';
import {PlannedService} from '../../fleet/fleet_plan.js';
import type {PathTarget} from './path_target.js';
import {readProcessCost} from './process_cost.js';

const TIMEOUT_MS = 60_000;
const MAX_REPLY_BYTES = 64 * 1024 * 1024;
const SETTLE_MS = 2000;
const STREAM_TOKENS = 500;

function makeRequest(target: PathTarget, chat: string, tokens: number) {
  return {
    address: target.address,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {
      ...target.headers,
      [HeaderName.CHAT]: chat,
      [BackendHeader.REQUEST_ID]: chat,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: PlannedService.ASSISTANT,
      messages: [{role: 'user', content: chat}],
      max_tokens: tokens,
      stream: true,
    }),
    connectTimeoutMs: TIMEOUT_MS,
    silenceMs: TIMEOUT_MS,
  };
}

/** Measures CPU seconds of the proxy process per 100,000 tokens; 0 without it. */
export async function runStreams(
  target: PathTarget,
  streams: number,
): Promise<number> {
  const {pid} = target;
  if (pid === undefined) return 0;
  const client = new HttpClient();
  const before = readProcessCost(pid).cpuSeconds;
  const names = Array.from({length: streams}, (unused, i) => `stream-${i}`);
  await Effect.runPromise(
    Effect.forEach(
      names,
      name =>
        Effect.flatMap(
          client.open(makeRequest(target, name, STREAM_TOKENS)),
          reply => readBody(reply.stream, MAX_REPLY_BYTES, name),
        ),
      {concurrency: 'unbounded', discard: true},
    ),
  );
  client.close();
  const cpu = readProcessCost(pid).cpuSeconds - before;
  return (cpu * 100_000) / (streams * STREAM_TOKENS);
}

/** Measures the proxy's resident bytes per idle stream; 0 without a proxy. */
export async function runIdleStreams(
  target: PathTarget,
  streams: number,
): Promise<number> {
  const {pid} = target;
  if (pid === undefined) return 0;
  const client = new HttpClient();
  const before = readProcessCost(pid).residentBytes;
  for (let index = 0; index < streams; index += 1) {
    const request = makeRequest(target, `idle-${index}`, 1);
    void Effect.runPromise(Effect.ignore(client.open(request)));
  }
  await sleep(SETTLE_MS);
  const after = readProcessCost(pid).residentBytes;
  client.close();
  return (after - before) / streams;
}
