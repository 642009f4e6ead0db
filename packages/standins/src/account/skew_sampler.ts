import {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import {sendJson} from '../fleet/http_json.js';

const SAMPLE_MS = 50;
/** Below one request an engine on average, the ratio is only rounding. */
const MIN_MEAN = 1;

interface ObservedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Samples the requests in flight on each engine, at the engines. */
export class SkewSampler {
  private worstTotal = 0;
  private meanTotal = 0;
  private samples = 0;

  constructor(private readonly engines: readonly BackendServer[]) {}

  /** Samples until it is interrupted. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        Effect.promise(() => this.sample()),
        Effect.sleep(SAMPLE_MS),
      ),
    );
  }

  /** Computes worst over mean, each averaged over the samples. */
  compute(): number {
    if (this.samples === 0) return 0;
    return this.worstTotal / this.meanTotal;
  }

  private async sample(): Promise<void> {
    const loads = await Promise.all(
      this.engines.map(engine =>
        sendJson<ObservedLoad>(engine, 'GET', '/observe/load').catch(
          () => undefined,
        ),
      ),
    );
    const counts = loads.flatMap(load =>
      load === undefined ? [] : [load.running + load.waiting],
    );
    const mean = counts.reduce((a, b) => a + b, 0) / counts.length;
    if (!(mean >= MIN_MEAN)) return;
    this.worstTotal += Math.max(...counts);
    this.meanTotal += mean;
    this.samples += 1;
  }
}
