import {Effect} from 'effect';
import type {ConfigurationFollower} from '@greengagecross/daemon';
import {makeConfigurationParts} from '@greengagecross/platform';
import {makeConfiguration, setAnswer} from '@greengagecross/questionnaire';
import {Deployment, readFixture} from '../fleet/plan_answers.js';
import {FollowerStage} from './follower_stage.js';

const SIZES = [10, 300, 3000, 30_000];
const CHANGES = 5;
const BYTES_PER_MB = 1024 * 1024;
const FIXTURE = readFixture(Deployment.REGISTRY);

/** Measures what a configuration and a change of it cost, by its size. */
export async function run(): Promise<number> {
  for (const size of SIZES) await runSize(size);
  return 0;
}

async function runSize(size: number): Promise<void> {
  const [template] = FIXTURE.customers;
  if (template === undefined) throw new Error('a fixture without customers');
  const customers = Array.from({length: size}, (unused, at) => ({
    ...template,
    name: `customer-${at}`,
  }));
  const answers = {...FIXTURE, customers};
  let startMs = performance.now();
  const parts = makeConfigurationParts(makeConfiguration(answers));
  printFigure(size, 'generate', performance.now() - startMs, 'ms');
  const bytes = parts.parts.reduce((sum, part) => sum + part.body.length, 0);
  printFigure(size, 'whole configuration', bytes, 'bytes');
  const stage = new FollowerStage();
  startMs = performance.now();
  await stage.accept(answers, 0);
  printFigure(size, 'first accept', performance.now() - startMs, 'ms');
  const before = readHeap();
  const follower = stage.makeFollower();
  await runPoll(stage, follower, size, 'boot');
  printFigure(size, 'memory held', (readHeap() - before) / BYTES_PER_MB, 'MB');
  await runChanges(stage, follower, size);
  const late = stage.makeFollower();
  await runPoll(stage, late, size, 'boot after changes');
}

async function runChanges(
  stage: FollowerStage,
  follower: ConfigurationFollower,
  size: number,
): Promise<void> {
  const [template] = FIXTURE.customers;
  let answers = {
    ...FIXTURE,
    customers: Array.from({length: size}, (unused, at) => ({
      ...(template ?? FIXTURE.customers[0]!),
      name: `customer-${at}`,
    })),
  };
  const readBefore = stage.objects.readBytes;
  let acceptMs = 0;
  let pollMs = 0;
  let pollBytes = 0;
  let calls = 0;
  for (let change = 1; change <= CHANGES; change += 1) {
    const at = (change * 7919) % size;
    const id = `customers/customer-${at}/atMostAtOnce`;
    answers = setAnswer(answers, id, 10 + change) as typeof answers;
    let startMs = performance.now();
    await stage.accept(answers, change);
    acceptMs += performance.now() - startMs;
    const read = stage.objects.readBytes;
    const called = stage.faults.calls;
    startMs = performance.now();
    await Effect.runPromise(follower.poll());
    pollMs += performance.now() - startMs;
    pollBytes += stage.objects.readBytes - read;
    calls += stage.faults.calls - called;
  }
  printFigure(size, 'accept a change', acceptMs / CHANGES, 'ms');
  printFigure(size, 'take a change', pollMs / CHANGES, 'ms');
  printFigure(size, 'bytes of parts a change', pollBytes / CHANGES, 'bytes');
  printFigure(size, 'calls a change', calls / CHANGES, 'calls');
  const all = stage.objects.readBytes - readBefore - pollBytes;
  printFigure(size, "operator's reads a change", all / CHANGES, 'bytes');
}

async function runPoll(
  stage: FollowerStage,
  follower: ConfigurationFollower,
  size: number,
  what: string,
): Promise<void> {
  const read = stage.objects.readBytes;
  const called = stage.faults.calls;
  const startMs = performance.now();
  await Effect.runPromise(follower.poll());
  printFigure(size, `${what}, time`, performance.now() - startMs, 'ms');
  printFigure(size, `${what}, bytes`, stage.objects.readBytes - read, 'bytes');
  printFigure(size, `${what}, calls`, stage.faults.calls - called, 'calls');
}

function readHeap(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

function printFigure(
  size: number,
  measure: string,
  value: number,
  unit: string,
): void {
  const rounded = Math.round(value * 100) / 100;
  process.stdout.write(
    `${JSON.stringify({measure, customers: size, value: rounded, unit})}\n`,
  );
}
