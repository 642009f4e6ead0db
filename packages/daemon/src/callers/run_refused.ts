import {Effect, Fiber} from 'effect';
import {TestClock} from 'effect/testing';
import type {Refusal} from './refusal.js';

/**
 * For tests: runs a dispatch for 30 s of virtual time and returns its refusal;
 * rejects when the dispatch succeeds.
 */
export function runRefused(
  dispatching: Effect.Effect<void, Refusal>,
): Promise<Refusal> {
  const program = Effect.gen(function* () {
    const fiber = yield* Effect.forkChild(Effect.flip(dispatching));
    yield* TestClock.adjust('30 seconds');
    return yield* Fiber.join(fiber);
  });
  return Effect.runPromise(
    Effect.provide(program, TestClock.layer()) as Effect.Effect<Refusal>,
  );
}
