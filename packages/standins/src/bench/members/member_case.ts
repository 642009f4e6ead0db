import {Effect} from 'effect';
import {TestClock} from 'effect/testing';
import {CASES, type CaseName} from './member_cases.js';
import {VirtualFleet} from './virtual_fleet.js';

/** Figures of one case. */
export interface CaseFigures {
  /** Until no member sends callers to what was lost, in milliseconds. */
  readonly goneMs: number;
  /** Until all agree again after the fault, in milliseconds. */
  readonly wholeMs: number;
  readonly falseSuspicions: number;
}

/** Runs one case in virtual time. */
export function runMemberCase(
  name: CaseName,
  size: number,
  seed: number,
): Promise<CaseFigures> {
  const program = Effect.gen(function* () {
    const fleet = new VirtualFleet(seed);
    const times = yield* CASES[name](fleet, size);
    yield* fleet.stopAll();
    return {...times, falseSuspicions: fleet.falseSuspicions};
  });
  return Effect.runPromise(
    Effect.provide(Effect.scoped(program), TestClock.layer()),
  );
}
