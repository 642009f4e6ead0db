import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import type {LeavingHosts} from '@greengagecross/peers';
import {
  HostRole,
  HostState,
  type Host,
  type HostDirectory,
  type HostList,
  type PlatformError,
} from '@greengagecross/platform';

const MAX_CONDITIONAL_POLL_MS = 5000;
const logger = new Logger('hosts');

/** Keeps the platform's host list as last seen. */
export class HostFollower {
  private hosts: ReadonlyMap<string, Host> = new Map();
  private version = 0;
  private leaving: readonly string[] = [];
  private list: HostList | undefined;
  private isReachable = false;
  /** What other daemons saw on a newer list. */
  private told: LeavingHosts = {version: 0, leaving: []};

  /** @param computePollMs time until the next poll, in milliseconds */
  constructor(
    private readonly directory: HostDirectory,
    private readonly computePollMs: () => number,
  ) {}

  /** Lists the daemons that the platform shows. */
  listEntryHosts(): Host[] {
    return [...this.hosts.values()].filter(h => h.role === HostRole.ENTRY);
  }

  /** Tells whether the list shows a backend server as leaving. */
  isLeaving(id: string): boolean {
    if (this.told.version > this.version) {
      return this.told.leaving.includes(id);
    }
    return this.hosts.get(id)?.state === HostState.LEAVING;
  }

  /** Gets which hosts leave, for daemons that have not read the list since. */
  getNews(): LeavingHosts {
    if (this.told.version > this.version) return this.told;
    return {version: this.version, leaving: this.leaving};
  }

  /** Takes in what another daemon saw; tells whether it is newer. */
  observeNews(news: LeavingHosts): boolean {
    if (news.version <= Math.max(this.version, this.told.version)) {
      return false;
    }
    this.told = news;
    return true;
  }

  /** Tells whether the last poll reached the platform. */
  isCurrent(): boolean {
    return this.isReachable;
  }

  /** Polls the list for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        this.poll().pipe(Effect.catch(error => this.recordFailure(error))),
        Effect.suspend(() => Effect.sleep(this.computeNextMs())),
      ),
    );
  }

  /** Polls once; an older list than the one kept is ignored. */
  poll(): Effect.Effect<void, PlatformError> {
    return Effect.map(this.directory.fetch(), list => {
      this.isReachable = true;
      if (list.version < this.version || list === this.list) return;
      this.list = list;
      this.version = list.version;
      this.hosts = new Map(list.hosts.map(host => [host.id, host]));
      this.leaving = list.hosts
        .filter(host => host.state === HostState.LEAVING)
        .map(host => host.id);
    });
  }

  /** A fleet of any size may ask often for what it is sent only if changed. */
  private computeNextMs(): number {
    const pollMs = this.computePollMs();
    if (!this.directory.isFetchConditional()) return pollMs;
    return Math.min(pollMs, MAX_CONDITIONAL_POLL_MS);
  }

  private recordFailure(error: PlatformError): Effect.Effect<void> {
    return Effect.sync(() => {
      if (this.isReachable) {
        logger.log('The host list cannot be read.', {error: error.message});
      }
      this.isReachable = false;
    });
  }
}
