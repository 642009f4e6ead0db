import {Logger} from '@greengagecross/common';
import type {HostFollower} from '../hosts/host_follower.js';

/** On the owner, a notice expires this long after it was last repeated. */
const OWNER_NOTICE_MS = 30_000;
/**
 * On other daemons a notice expires sooner. By then the owner has it, and only
 * the owner grants slots of the server.
 */
const FORWARDED_NOTICE_MS = 5000;
const logger = new Logger('leaving');

/** Records that a backend server itself announced that it is leaving. */
interface LeavingNotice {
  readonly receivedAtMs: number;
  readonly expiresAtMs: number;
}

/**
 * Registry of the backend servers that are leaving: those marked on the host
 * list, and those that sent a leaving notice themselves.
 */
export class LeavingBackends {
  /** By id of the backend server. */
  private readonly notices = new Map<string, LeavingNotice>();

  constructor(private readonly hosts: HostFollower) {}

  /**
   * Records a backend server's leaving notice; tells whether it was new.
   *
   * @param isOwner whether this daemon owns the server, that is counts its
   *     requests; the owner keeps polling the server
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
   * Removes a server's notice if the server later reported that it accepts
   * work.
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

  /** Tells whether a backend server must not be sent new work. */
  isLeaving(id: string, nowMs: number): boolean {
    return this.isListed(id) || this.hasNotice(id, nowMs);
  }

  /** Tells whether the host list marks a backend server as leaving. */
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
