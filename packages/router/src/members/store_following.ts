import {Logger} from '@greengagecross/common';
import {isStoreFollower} from '@greengagecross/decisions';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {FleetState} from '../state/fleet_state.js';
import type {MemberView} from './member_view.js';

const logger = new Logger('members');

/**
 * Starts and stops following the store. A daemon follows the store if it is one
 * of the followers or its state is incomplete: the store is the fastest source.
 */
export class StoreFollowing {
  constructor(
    private readonly selfId: string,
    private readonly state: FleetState,
    private readonly view: MemberView,
    private readonly source: FleetStateSource,
  ) {}

  /** Starts or stops following; `nowMs` is a time on the monotonic clock. */
  update(nowMs: number): void {
    const others = this.view.listReady(nowMs);
    const self = {
      id: this.selfId,
      isStoreReached: this.state.isStoreReached(),
    };
    const isNeeded = !this.state.isComplete() || isStoreFollower(self, others);
    if (isNeeded === this.source.isFollowing()) return;
    this.source.setFollowing(isNeeded);
    logger.log(
      isNeeded
        ? 'This daemon now follows the store.'
        : 'This daemon stopped following the store; some peers follow the store.',
      {heard: others.length, storeReached: self.isStoreReached},
    );
  }
}
