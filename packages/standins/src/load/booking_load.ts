import {Effect} from 'effect';
import {Outcome, type SeededRandom} from '@greengagecross/common';
import {WorkKind, type CallerVerdict} from '../callers/caller_verdict.js';
import type {FleetCaller} from '../callers/fleet_caller.js';

const MAX_SENDS = 4;
const RESEND_MS = 200;

/** Lookups and reservations of one customer; failed ones are resent. */
export class BookingLoad {
  constructor(
    private readonly caller: FleetCaller,
    private readonly random: SeededRandom,
    private readonly pauseMs: number,
    private readonly onVerdict: (verdict: CallerVerdict) => void,
  ) {}

  /** Sends requests one after the other until `isEnding` returns true. */
  run(name: string, isEnding: () => boolean): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (let index = 0; !isEnding(); index += 1) {
        const isLookup = this.random.nextUnit() < 0.5;
        const kind = isLookup ? WorkKind.LOOKUP : WorkKind.RESERVATION;
        yield* this.sendUntilAnswered(kind, `${name}-${index}`);
        yield* Effect.sleep(this.random.nextExponential(this.pauseMs));
      }
    });
  }

  private sendUntilAnswered(
    kind: WorkKind,
    workId: string,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (let sends = 0; sends < MAX_SENDS; sends += 1) {
        const verdict = yield* this.caller.send({
          kind,
          chat: workId,
          workId,
          ticket: undefined,
          body: {messages: []},
        });
        this.onVerdict(verdict);
        if (verdict.outcome === Outcome.COMPLETE) return;
        yield* Effect.sleep(RESEND_MS);
      }
    });
  }
}
