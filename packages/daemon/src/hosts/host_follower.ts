import {Effect} from 'effect';
import {Logger} from '@greengagecross/common';
import {
  HostRole,
  HostState,
  type Host,
  type HostDirectory,
  type PlatformError,
} from '@greengagecross/platform';

const logger = new Logger('hosts');

/** Keeps the platform's host list as last seen. */
export class HostFollower {
  private hosts: ReadonlyMap<string, Host> = new Map();
  private version = 0;
  private isReachable = false;

  constructor(
    private readonly directory: HostDirectory,
    private readonly pollMs: number,
  ) {}

  /** Lists the daemons that the platform shows. */
  listEntryHosts(): Host[] {
    return [...this.hosts.values()].filter(h => h.role === HostRole.ENTRY);
  }

  /** Tells whether the list shows a backend server as leaving. */
  isLeaving(id: string): boolean {
    return this.hosts.get(id)?.state === HostState.LEAVING;
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
        Effect.sleep(this.pollMs),
      ),
    );
  }

  /** Polls once; an older list than the one kept is ignored. */
  poll(): Effect.Effect<void, PlatformError> {
    return Effect.map(this.directory.fetch(), list => {
      this.isReachable = true;
      if (list.version < this.version) return;
      this.version = list.version;
      this.hosts = new Map(list.hosts.map(host => [host.id, host]));
    });
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
