import {Effect, Fiber} from 'effect';
import {Outcome, type SeededRandom} from '@greengagecross/common';
import {WorkKind, type CallerVerdict} from '../../callers/caller_verdict.js';
import type {FleetCaller} from '../../callers/fleet_caller.js';
import {PhaseCounts} from './phase_counts.js';

const PROMPT_CHARACTERS = 400;
const ANSWER_TOKENS = 24;
const MS_PER_SECOND = 1000;

/** An open-loop customer: its request rate does not depend on outcomes. */
export class SteadyCustomer {
  private sent = 0;
  private counts = new PhaseCounts();

  /** @param kind single-turn chats, or lookups. */
  constructor(
    private readonly name: string,
    private readonly kind: WorkKind,
    private readonly caller: FleetCaller,
    private readonly random: SeededRandom,
  ) {}

  /** Sends for `durationMs`, waits for all requests and counts outcomes. */
  run(requestsPerSecond: number, durationMs: number): Effect.Effect<void> {
    const meanMs = MS_PER_SECOND / requestsPerSecond;
    return Effect.gen({self: this}, function* () {
      const endMs = performance.now() + durationMs;
      const counts = new PhaseCounts();
      const sending: Fiber.Fiber<void>[] = [];
      this.counts = counts;
      while (performance.now() < endMs) {
        sending.push(yield* Effect.forkChild(this.sendRequest(counts)));
        yield* Effect.sleep(this.random.nextExponential(meanMs));
      }
      yield* Effect.forEach(sending, Fiber.join, {concurrency: 'unbounded'});
    });
  }

  /** Returns the counts of the latest phase. */
  getCounts(): PhaseCounts {
    return this.counts;
  }

  private sendRequest(counts: PhaseCounts): Effect.Effect<void> {
    this.sent += 1;
    const chat = `${this.name}-${this.sent}`;
    const messages = [
      {role: 'user', content: chat.padEnd(PROMPT_CHARACTERS, '.')},
    ];
    return this.caller
      .send({
        kind: this.kind,
        chat,
        workId: chat,
        ticket: undefined,
        body: {messages, max_tokens: ANSWER_TOKENS, stream: true},
      })
      .pipe(Effect.map(verdict => counts.add(verdict, isComplete(verdict))));
  }
}

function isComplete(verdict: CallerVerdict): boolean {
  return verdict.outcome === Outcome.COMPLETE && verdict.isCompleteAndOwn;
}
