import {Effect} from 'effect';
import {build} from 'hdr-histogram-js';
import {HttpClient} from '@greengagecross/http';
import type {PathTarget} from './path_target.js';
import {readProcessCost} from './process_cost.js';

const TIMEOUT_MS = 10_000;
const MICROSECONDS_PER_MS = 1000;

/** Throughput and latency of a run of lookups; CPU figures are 0 without a pid. */
export interface LookupCost {
  readonly requestsPerSecond: number;
  readonly requestsPerCpuSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * Sends `count` lookups, `concurrency` at a time, and measures their cost.
 * Rejects if a reply has a status other than 200.
 */
export async function runLookups(
  target: PathTarget,
  count: number,
  concurrency: number,
): Promise<LookupCost> {
  const client = new HttpClient();
  const histogram = build();
  const sendLookup = Effect.gen(function* () {
    const startMs = performance.now();
    const reply = yield* client.send({
      address: target.address,
      method: 'GET',
      path: target.lookupPath,
      headers: target.headers,
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    });
    if (reply.status !== 200) throw new Error(`status ${reply.status}`);
    const tookMs = performance.now() - startMs;
    histogram.recordValue(Math.round(tookMs * MICROSECONDS_PER_MS));
  });
  const before = target.pid === undefined ? 0 : readCpuSeconds(target.pid);
  const startMs = performance.now();
  await Effect.runPromise(
    Effect.forEach(Array.from({length: count}), () => sendLookup, {
      concurrency,
      discard: true,
    }),
  );
  const seconds = (performance.now() - startMs) / 1000;
  const cpu =
    target.pid === undefined ? 0 : readCpuSeconds(target.pid) - before;
  client.close();
  return {
    requestsPerSecond: count / seconds,
    requestsPerCpuSecond: cpu === 0 ? 0 : count / cpu,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}

function readCpuSeconds(pid: number): number {
  return readProcessCost(pid).cpuSeconds;
}
