import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {LeavingHosts} from '@greengagecross/peers';
import {
  HostRole,
  HostState,
  type Host,
  type HostListSource,
  type HostList,
  type PlatformError,
} from '@greengagecross/platform';

/** Longest time between polls that return the list only if it changed. */
const MAX_CONDITIONAL_POLL_MS = 5000;
const logger = new Logger('hosts');

/**
 * Polls the platform's host list and holds the newest version.
 *
 * Other daemons advertise which hosts are leaving; if that is from a
 * newer version of the host list than this daemon has read, it takes
 * precedence.
 */
export class HostFollower {
  private hosts: ReadonlyMap<string, Host> = new Map();
  private version = 0;
  private leavingIds: readonly string[] = [];
  /** Last list; a conditional poll returns the same object if unchanged. */
  private fetchedList: HostList | undefined;
  /** Whether the last poll succeeded; false until the first one. */
  private isLastPollOk = false;
  /** Leaving hosts on the newest list that another daemon advertised. */
  private peerUpdate: LeavingHosts = {version: 0, leaving: []};

  /** @param computePollMs computes the time until the next poll, in ms */
  constructor(
    private readonly directory: HostListSource,
    private readonly computePollMs: () => number,
  ) {}

  /** Lists the hosts of daemons (role `entry`); empty until the first poll. */
  listEntryHosts(): Host[] {
    return [...this.hosts.values()].filter(h => h.role === HostRole.ENTRY);
  }

  /**
   * Returns whether a host is marked as leaving; false for unknown ids.
   *
   * @param id id of the daemon or backend server that runs on the host
   */
  isLeaving(id: string): boolean {
    if (this.peerUpdate.version > this.version) {
      return this.peerUpdate.leaving.includes(id);
    }
    return this.hosts.get(id)?.state === HostState.LEAVING;
  }

  /** Returns the ids of the leaving hosts and the list version of these ids. */
  getLeavingHosts(): LeavingHosts {
    if (this.peerUpdate.version > this.version) return this.peerUpdate;
    return {version: this.version, leaving: this.leavingIds};
  }

  /** Merges what a peer advertised; returns whether its version was newer. */
  mergeUpdate(update: LeavingHosts): boolean {
    if (update.version <= Math.max(this.version, this.peerUpdate.version)) {
      return false;
    }
    this.peerUpdate = update;
    return true;
  }

  /** Returns whether the last poll succeeded; false until the first one. */
  isCurrent(): boolean {
    return this.isLastPollOk;
  }

  /** Polls repeatedly and never returns; failed polls are logged. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        this.poll().pipe(Effect.catch(error => this.recordFailure(error))),
        Effect.suspend(() => Effect.sleep(this.computeNextPollMs())),
      ),
    );
  }

  /** Polls once; ignores a list that is older than the current one. */
  poll(): Effect.Effect<void, PlatformError> {
    return Effect.map(this.directory.fetch(), list => {
      this.isLastPollOk = true;
      if (list.version < this.version || list === this.fetchedList) return;
      this.fetchedList = list;
      this.version = list.version;
      this.hosts = new Map(list.hosts.map(host => [host.id, host]));
      this.leavingIds = list.hosts
        .filter(host => host.state === HostState.LEAVING)
        .map(host => host.id);
    });
  }

  /**
   * A conditional poll transfers the list only after a change, so the interval
   * need not grow with the size of the fleet.
   */
  private computeNextPollMs(): number {
    const pollMs = this.computePollMs();
    if (!this.directory.isFetchConditional()) return pollMs;
    return Math.min(pollMs, MAX_CONDITIONAL_POLL_MS);
  }

  private recordFailure(error: PlatformError): Effect.Effect<void> {
    return Effect.sync(() => {
      if (this.isLastPollOk) {
        logger.log(
          'The host list cannot be read; any earlier version stays in use.',
          {error: error.message},
        );
      }
      this.isLastPollOk = false;
    });
  }
}
