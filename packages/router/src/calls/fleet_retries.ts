import {readSteadyMs} from '@greengagecross/common';
import type {FleetRetryBudget} from '@greengagecross/decisions';
import type {MemberView} from '../members/member_view.js';

/** Draws on the budget of second tries that all daemons share. */
export class FleetRetries {
  constructor(
    private readonly budget: FleetRetryBudget,
    private readonly members: MemberView,
  ) {}

  /** Records a request's first try at a service. */
  recordFirstTry(service: string): void {
    this.budget.recordFirstTry(service, readSteadyMs());
  }

  /** Takes one more try; tells whether this daemon's share has one left. */
  take(service: string): boolean {
    const nowMs = readSteadyMs();
    const daemons = this.members.listLive(nowMs).length + 1;
    return this.budget.take(service, daemons, nowMs);
  }
}
