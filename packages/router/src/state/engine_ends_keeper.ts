import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {isWriter} from '@greengagecross/decisions';
import type {ServerChooser} from '../calls/server_chooser.js';
import type {MemberView} from '../members/member_view.js';
import type {EngineEndsStore} from '../ports/engine_ends_store.js';
import type {FleetState} from './fleet_state.js';

/** Ends within this time are written together, in milliseconds. */
const GATHER_MS = 1000;
const logger = new Logger('state');

/**
 * Keeps the ends of engines on the store: daemons that all start anew, as
 * after a loss of power, then still agree on where subjects are warm.
 */
export class EngineEndsKeeper {
  private written = '{}';

  constructor(
    private readonly selfId: string,
    private readonly state: FleetState,
    private readonly view: MemberView,
    private readonly chooser: ServerChooser,
    private readonly store: EngineEndsStore,
  ) {}

  /** Reads what is kept, then writes what changes while it is its turn. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      const ended = yield* this.store.read();
      this.chooser.addEnded(ended);
      logger.log('The ends of engines were read.', {
        services: Object.keys(ended).length,
      });
      for (;;) {
        yield* Effect.sleep(GATHER_MS);
        yield* this.writeChange();
      }
    });
  }

  private writeChange(): Effect.Effect<void> {
    return Effect.suspend(() => {
      const others = this.view.listReady(readSteadyMs());
      const isStoreReached = this.state.isStoreReached();
      if (!isWriter({id: this.selfId, isStoreReached}, others)) {
        return Effect.void;
      }
      const ended = this.chooser.listEnded();
      const text = JSON.stringify(ended);
      // Ends that only grew old need no call.
      if (text === this.written || text === '{}') return Effect.void;
      const isGrown = text.length >= this.written.length;
      this.written = text;
      return isGrown ? this.store.write(ended) : Effect.void;
    });
  }
}
