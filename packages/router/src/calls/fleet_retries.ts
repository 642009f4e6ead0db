import {readSteadyMs} from '@greengagecross/common';
import {FleetSize, type FleetRetryBudget} from '@greengagecross/decisions';
import type {MemberView} from '../members/member_view.js';

/** This daemon's share of a retry budget for all daemons of the fleet. */
export class FleetRetries {
  private readonly size = new FleetSize();

  constructor(
    private readonly budget: FleetRetryBudget,
    private readonly members: MemberView,
  ) {}

  /** Records the first attempt of a request, which adds to the budget. */
  recordFirstTry(service: string): void {
    const nowMs = readSteadyMs();
    // Also records the size of the fleet while its daemons are still heard.
    this.countDaemons(nowMs);
    this.budget.recordFirstTry(service, nowMs);
  }

  /**
   * Takes one retry from this daemon's share of the budget.
   *
   * @return whether the share allowed the retry
   */
  take(service: string): boolean {
    const nowMs = readSteadyMs();
    return this.budget.take(service, this.countDaemons(nowMs), nowMs);
  }

  /** Returns whether a retry remains in this daemon's share of the budget. */
  isAvailable(service: string): boolean {
    const nowMs = readSteadyMs();
    const daemons = this.countDaemons(nowMs);
    return this.budget.countRemaining(service, daemons, nowMs) >= 1;
  }

  private countDaemons(nowMs: number): number {
    const heard = this.members.listRunning(nowMs).length + 1;
    return this.size.update(heard, nowMs);
  }
}
