import {Effect, Fiber} from 'effect';
import {SeededRandom} from '@greengagecross/common';
import type {CallerVerdict} from '../callers/caller_verdict.js';
import {FleetCaller} from '../callers/fleet_caller.js';
import type {FleetPlan} from '../fleet/fleet_plan.js';
import {BookingLoad} from './booking_load.js';
import {ChatLoad} from './chat_load.js';

/** Size of a load: numbers of concurrent loops and their mean pauses. */
export interface LoadOptions {
  readonly seed: number;
  readonly chats: number;
  readonly bookings: number;
  readonly turnsPerChat: number;
  readonly chatPauseMs: number;
  readonly bookingPauseMs: number;
}

/** Concurrent chats, lookups and reservations of all customers of a fleet. */
export class FleetLoad {
  readonly verdicts: CallerVerdict[] = [];
  private readonly callers: FleetCaller[];
  private isEnding = false;

  constructor(
    plan: FleetPlan,
    private readonly options: LoadOptions,
  ) {
    const directoryAddresses = plan.daemons.map(daemon => daemon.caller);
    this.callers = plan.customers.map((customer, index) => {
      const rotated = [
        ...directoryAddresses.slice(index),
        ...directoryAddresses.slice(0, index),
      ];
      return new FleetCaller(customer, rotated);
    });
  }

  /** Runs until `stop` was called and all requests have finished. */
  run(): Effect.Effect<void> {
    const record = (verdict: CallerVerdict): void => {
      this.verdicts.push(verdict);
    };
    const isEnding = (): boolean => this.isEnding;
    const {options} = this;
    return Effect.gen({self: this}, function* () {
      const fibers: Fiber.Fiber<void>[] = [];
      for (let index = 0; index < options.chats; index += 1) {
        const load = new ChatLoad(
          this.getCaller(index),
          new SeededRandom(options.seed + index),
          options.chatPauseMs,
          record,
        );
        const chats = this.runChats(load, index);
        fibers.push(yield* Effect.forkChild(chats));
      }
      for (let index = 0; index < options.bookings; index += 1) {
        const load = new BookingLoad(
          this.getCaller(index),
          new SeededRandom(options.seed + options.chats + index),
          options.bookingPauseMs,
          record,
        );
        const bookings = load.run(`booking-${index}`, isEnding);
        fibers.push(yield* Effect.forkChild(bookings));
      }
      yield* Effect.forEach(fibers, Fiber.join, {concurrency: 'unbounded'});
      for (const caller of this.callers) caller.close();
    });
  }

  /** Starts no more requests; those in flight still finish. */
  stop(): void {
    this.isEnding = true;
  }

  private runChats(load: ChatLoad, index: number): Effect.Effect<void> {
    const {turnsPerChat} = this.options;
    return Effect.gen({self: this}, function* () {
      for (let chat = 0; !this.isEnding; chat += 1) {
        const name = `chat-${index}-${chat}`;
        yield* load.runChat(name, turnsPerChat, () => this.isEnding);
      }
    });
  }

  private getCaller(index: number): FleetCaller {
    const caller = this.callers[index % this.callers.length];
    if (caller === undefined) throw new Error('the plan has no customers');
    return caller;
  }
}
