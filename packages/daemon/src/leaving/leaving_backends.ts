import {Logger} from '@greengagecross/common';
import type {HostFollower} from '../hosts/host_follower.js';

/** A word not repeated for this long is taken back. */
const HOLD_MS = 30_000;
/** Until then the owner knows, which alone lets work through. */
const TOLD_HOLD_MS = 5000;
const logger = new Logger('leaving');

interface Word {
  readonly saidAtMs: number;
  readonly untilMs: number;
}

/** Backend servers that leave, by the host list or by their own word. */
export class LeavingBackends {
  private readonly words = new Map<string, Word>();

  constructor(private readonly hosts: HostFollower) {}

  /**
   * Records a backend server's own word; tells whether it was news.
   *
   * @param isOwner whether this daemon goes on asking the server itself.
   */
  record(id: string, nowMs: number, isOwner: boolean): boolean {
    const isNews = !this.hasSaidSo(id, nowMs);
    const holdMs = isOwner ? HOLD_MS : TOLD_HOLD_MS;
    this.words.set(id, {saidAtMs: nowMs, untilMs: nowMs + holdMs});
    if (isNews) logger.log('A backend server is leaving.', {id});
    return isNews;
  }

  /** Takes a server's word back when it says otherwise after it. */
  remove(id: string, saidAtMs: number): void {
    const word = this.words.get(id);
    if (word === undefined || saidAtMs <= word.saidAtMs) return;
    this.words.delete(id);
    logger.log('A backend server takes work again.', {id});
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
    return [...this.words.keys()].filter(id => this.hasSaidSo(id, nowMs));
  }

  private hasSaidSo(id: string, nowMs: number): boolean {
    const word = this.words.get(id);
    if (word === undefined) return false;
    if (nowMs < word.untilMs) return true;
    this.words.delete(id);
    return false;
  }
}
