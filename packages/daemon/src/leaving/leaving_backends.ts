import {Logger} from '@greengagecross/common';
import type {HostFollower} from '../hosts/host_follower.js';

/**
 * On the owner, the daemon that counts a server's requests and polls its load,
 * a notice expires this long after the server or another daemon last sent it.
 * While the server leaves, each of its load reports repeats the notice.
 */
const OWNER_NOTICE_MS = 30_000;
/**
 * On other daemons a notice expires sooner. By then the owner normally has the
 * notice, and only the owner grants slots of the server.
 */
const FORWARDED_NOTICE_MS = 5000;
const logger = new Logger('leaving');

/** Notice from a backend server itself that it is leaving. */
interface LeavingNotice {
  readonly receivedAtMs: number;
  readonly expiresAtMs: number;
}

/**
 * Registry of the backend servers that are leaving: those marked on the host
 * list, and those that sent a leaving notice themselves. Times are in ms since
 * the epoch.
 */
export class LeavingBackends {
  /** By id of the backend server. */
  private readonly notices = new Map<string, LeavingNotice>();

  constructor(private readonly hosts: HostFollower) {}

  /**
   * Records a backend server's leaving notice; returns whether no earlier one
   * was valid.
   *
   * @param isOwner whether this daemon owns the server
   */
  record(id: string, nowMs: number, isOwner: boolean): boolean {
    const isNew = !this.hasNotice(id, nowMs);
    const lifetimeMs = isOwner ? OWNER_NOTICE_MS : FORWARDED_NOTICE_MS;
    this.notices.set(id, {
      receivedAtMs: nowMs,
      expiresAtMs: nowMs + lifetimeMs,
    });
    if (isNew) logger.log('A backend server is leaving.', {id});
    return isNew;
  }

  /**
   * Removes a server's notice if the server later reported that it is not
   * leaving.
   *
   * @param reportedAtMs when the server reported this; ignored unless later
   *     than the notice
   */
  remove(id: string, reportedAtMs: number): void {
    const notice = this.notices.get(id);
    if (notice === undefined || reportedAtMs <= notice.receivedAtMs) return;
    this.notices.delete(id);
    logger.log('A backend server accepts work again.', {id});
  }

  /** Returns whether a backend server must not be sent new work. */
  isLeaving(id: string, nowMs: number): boolean {
    return this.isListed(id) || this.hasNotice(id, nowMs);
  }

  /** Returns whether the host list marks a backend server as leaving. */
  isListed(id: string): boolean {
    return this.hosts.isLeaving(id);
  }

  /** Lists the ids of the servers whose notice has not expired. */
  listNotified(nowMs: number): string[] {
    return [...this.notices.keys()].filter(id => this.hasNotice(id, nowMs));
  }

  private hasNotice(id: string, nowMs: number): boolean {
    const notice = this.notices.get(id);
    if (notice === undefined) return false;
    if (nowMs < notice.expiresAtMs) return true;
    this.notices.delete(id);
    return false;
  }
}
