import {Logger} from '@greengagecross/common';
import type {HostFollower} from '../hosts/host_follower.js';

/** A word not repeated for this long is taken back. */
const HOLD_MS = 30_000;
const logger = new Logger('leaving');

/** Backend servers that leave, by the host list or by their own word. */
export class LeavingBackends {
  /** Until when each server's own word holds, in milliseconds. */
  private readonly untilMs = new Map<string, number>();

  constructor(private readonly hosts: HostFollower) {}

  /** Records a backend server's own word; tells whether it was news. */
  record(id: string, nowMs: number): boolean {
    const isNews = !this.hasSaidSo(id, nowMs);
    this.untilMs.set(id, nowMs + HOLD_MS);
    if (isNews) logger.log('A backend server is leaving.', {id});
    return isNews;
  }

  /** Tells whether a backend server gets no new work. */
  isLeaving(id: string, nowMs: number): boolean {
    return this.isListed(id) || this.hasSaidSo(id, nowMs);
  }

  /** Tells whether the host list shows a backend server as leaving. */
  isListed(id: string): boolean {
    return this.hosts.isLeaving(id);
  }

  /** Lists those that said so themselves. */
  list(nowMs: number): string[] {
    return [...this.untilMs.keys()].filter(id => this.hasSaidSo(id, nowMs));
  }

  private hasSaidSo(id: string, nowMs: number): boolean {
    const untilMs = this.untilMs.get(id);
    if (untilMs === undefined) return false;
    if (nowMs < untilMs) return true;
    this.untilMs.delete(id);
    return false;
  }
}
