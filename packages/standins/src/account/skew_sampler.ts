import {Effect} from 'effect';
import type {BackendServer} from '@greengagecross/common';
import {sendJson} from '../fleet/http_json.js';

const SAMPLE_MS = 50;
/** Samples below this mean are dropped: their ratio is mostly rounding. */
const MIN_MEAN = 1;

interface ObservedLoad {
  readonly running: number;
  readonly waiting: number;
}

/** Samples each engine's running and waiting requests, read at the engine. */
export class SkewSampler {
  private maxTotal = 0;
  private meanTotal = 0;
  private sampleCount = 0;

  constructor(private readonly engines: readonly BackendServer[]) {}

  /** Takes samples until the fiber is interrupted. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        Effect.promise(() => this.sample()),
        Effect.sleep(SAMPLE_MS),
      ),
    );
  }

  /** Computes the mean of the maximum over the mean load; 0 without samples. */
  computeSkew(): number {
    if (this.sampleCount === 0) return 0;
    return this.maxTotal / this.meanTotal;
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
    this.maxTotal += Math.max(...counts);
    this.meanTotal += mean;
    this.sampleCount += 1;
  }
}
