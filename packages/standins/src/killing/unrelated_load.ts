import {setTimeout as sleep} from 'node:timers/promises';
import {Effect} from 'effect';
import {Outcome} from '@greengagecross/common';
import {WorkKind, type CallerVerdict} from '../callers/caller_verdict.js';
import {FleetCaller} from '../callers/fleet_caller.js';
import type {FleetPlan} from '../fleet/fleet_plan.js';

const MAX_SENDS = 100;
const RESEND_MS = 100;
const CHAT_TOKENS = 300;
/** Enough that each worker has lookups in flight. */
const LOOKUPS_PER_CHAT = 3;

/** Work that crashes no server, with the results of all its sends. */
export interface UnrelatedWork {
  readonly kind: WorkKind;
  readonly isStream: boolean;
  readonly verdicts: CallerVerdict[];
}

/** Callers whose requests run beside a request that crashes servers. */
export class UnrelatedLoad {
  readonly works: UnrelatedWork[] = [];
  private isStopping = false;
  private readonly callers: FleetCaller[];

  constructor(plan: FleetPlan) {
    const directoryAddresses = plan.daemons.map(daemon => daemon.caller);
    this.callers = plan.customers.map((customer, index) => {
      const rotated = [
        ...directoryAddresses.slice(index),
        ...directoryAddresses.slice(0, index),
      ];
      return new FleetCaller(customer, rotated);
    });
  }

  /**
   * Runs loops of each kind of work until `stop` was called, then closes the
   * connections.
   */
  async run(loopsOfEach: number): Promise<void> {
    const loops = Array.from({length: loopsOfEach}, (unused, index) => [
      this.runLoop(`whole-${index}`, WorkKind.CHAT, false, index),
      this.runLoop(`stream-${index}`, WorkKind.CHAT, true, index),
      ...Array.from({length: LOOKUPS_PER_CHAT}, (ignored, at) =>
        this.runLoop(`lookup-${index}-${at}`, WorkKind.LOOKUP, false, index),
      ),
    ]);
    await Promise.all(loops.flat());
    for (const caller of this.callers) caller.close();
  }

  /** Starts no more work; started work is still resent until answered. */
  stop(): void {
    this.isStopping = true;
  }

  private async runLoop(
    name: string,
    kind: WorkKind,
    isStream: boolean,
    index: number,
  ): Promise<void> {
    const caller = this.callers[index % this.callers.length];
    for (let turn = 0; !this.isStopping && caller !== undefined; turn += 1) {
      const work: UnrelatedWork = {kind, isStream, verdicts: []};
      this.works.push(work);
      await sendUntilAnswered(caller, work, `${name}-${turn}`);
    }
  }
}

async function sendUntilAnswered(
  caller: FleetCaller,
  {kind, isStream, verdicts}: UnrelatedWork,
  workId: string,
): Promise<void> {
  const messages = [{role: 'user', content: workId}];
  const body = {messages, max_tokens: CHAT_TOKENS, stream: isStream};
  const request = {kind, chat: workId, workId, ticket: undefined, body};
  for (let sends = 0; sends < MAX_SENDS; sends += 1) {
    const verdict = await Effect.runPromise(caller.send(request));
    verdicts.push(verdict);
    if (verdict.outcome === Outcome.COMPLETE) return;
    await sleep(RESEND_MS);
  }
}
