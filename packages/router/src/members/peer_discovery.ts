import {Effect} from 'effect';
import {readSteadyMs, type Address} from '@greengagecross/common';
import type {RouterSettings} from '../model/router_settings.js';
import type {MemberRegistry} from '../ports/member_registry.js';
import type {MemberView} from './member_view.js';

/** How long heartbeats are sent to discovered addresses that have sent none. */
const DISCOVERY_MS = 6000;
/** Interval between reads of the registry while no peer is running. */
const REGISTRY_POLL_MS = 3000;

/** Finds addresses of other daemons in the settings and the registry. */
export class PeerDiscovery {
  private addresses: readonly Address[] = [];
  private endMs = 0;

  constructor(
    private readonly settings: RouterSettings,
    private readonly view: MemberView,
    private readonly registry: MemberRegistry,
  ) {
    this.setAddresses(this.listSeeds());
  }

  /** Writes this daemon's entry to the registry. */
  addSelf(): Effect.Effect<void> {
    return this.registry.add(this.settings.self);
  }

  /** Reads the registry at the start and then while no peer is running. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        if (this.view.listRunning(readSteadyMs()).length === 0) {
          const found = yield* this.registry.list();
          const {self} = this.settings;
          const others = found.filter(({id}) => id !== self.id);
          const addresses = others.map(({heartbeats}) => heartbeats);
          this.setAddresses([...addresses, ...this.listSeeds()]);
        }
        yield* Effect.sleep(REGISTRY_POLL_MS);
      }
    });
  }

  /** Lists the addresses found in the last DISCOVERY_MS. */
  listAddresses(nowMs: number): readonly Address[] {
    return nowMs < this.endMs ? this.addresses : [];
  }

  private listSeeds(): Address[] {
    const {self, seeds} = this.settings;
    return seeds
      .filter(({host}) => host !== self.heartbeats.host)
      .map(({host}) => ({host, port: self.heartbeats.port}));
  }

  private setAddresses(addresses: readonly Address[]): void {
    this.addresses = addresses;
    this.endMs = readSteadyMs() + DISCOVERY_MS;
  }
}
