import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {isStoreWriter} from '@greengagecross/decisions';
import type {ServerChooser} from '../calls/server_chooser.js';
import type {MemberView} from '../members/member_view.js';
import type {EndedEnginesStore} from '../ports/ended_engines_store.js';
import type {FleetState} from './fleet_state.js';

/** Interval between writes: engines that end within it are written together. */
const WRITE_INTERVAL_MS = 1000;
const logger = new Logger('state');

/**
 * Persists engines that recently stopped accepting requests. After a simultaneous
 * restart of all daemons, such as after a power failure, the daemons then still
 * agree on the engines that hold the cached context of a subject (the last
 * shared part of a prompt).
 */
export class EndedEnginesPersister {
  /** The record when it last changed, in JSON; it may not have been written. */
  private lastText = '{}';
  /** Store era of the last record; undefined until the state is complete. */
  private era: number | undefined;

  constructor(
    private readonly selfId: string,
    private readonly state: FleetState,
    private readonly members: MemberView,
    private readonly chooser: ServerChooser,
    private readonly store: EndedEnginesStore,
  ) {}

  /**
   * Loads the stored record, then writes its changes while this daemon is the
   * writer of the fleet (see `isStoreWriter`).
   */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      const ended = yield* this.store.read();
      this.chooser.addEnded(ended);
      logger.log('Ended engines were loaded.', {
        services: Object.keys(ended).length,
      });
      for (;;) {
        yield* Effect.sleep(WRITE_INTERVAL_MS);
        yield* this.writeChange();
      }
    });
  }

  private writeChange(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (!this.state.isComplete()) return Effect.void;
      const storeEra = this.state.getStoreEra();
      this.era ??= storeEra;
      const others = this.members.listReady(readSteadyMs());
      const isStoreReached = this.state.isStoreReached();
      if (!isStoreWriter({id: this.selfId, isStoreReached}, others)) {
        return Effect.void;
      }
      const ended = this.chooser.listEnded();
      const text = JSON.stringify(ended);
      // After a new era the store may lack the record, also if it is unchanged.
      const isRestored = storeEra > this.era;
      const isChanged = text !== this.lastText;
      if (text === '{}' || (!isChanged && !isRestored)) return Effect.void;
      // A shorter text means that old entries expired; it is not written.
      const isGrown = text.length >= this.lastText.length;
      this.lastText = text;
      if (!isGrown && !isRestored) return Effect.void;
      return Effect.map(this.store.write(ended), isWritten => {
        if (isWritten) this.recordWritten(storeEra);
      });
    });
  }

  private recordWritten(storeEra: number): void {
    if (storeEra !== this.era) {
      logger.log('Ended engines were written again after a new store era.', {
        era: storeEra,
        before: this.era,
      });
    }
    this.era = storeEra;
  }
}
