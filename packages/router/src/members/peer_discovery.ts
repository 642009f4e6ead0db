import {Effect} from 'effect';
import {
  hash32,
  Logger,
  readSteadyMs,
  type Address,
} from '@greengagecross/common';
import type {RouterSettings} from '../model/router_settings.js';
import type {MemberRegistry} from '../ports/member_registry.js';
import type {FleetState} from '../state/fleet_state.js';
import type {MemberView} from './member_view.js';

/** How long heartbeats are sent to discovered addresses that have sent none. */
const DISCOVERY_MS = 6000;
/** Interval between reads of the registry while no peer is running. */
const REGISTRY_POLL_MS = 3000;
/** Interval between checks whether the store lost this daemon's entry. */
const ERA_CHECK_MS = 500;
/** Time over which the daemons of a fleet write their entries again. */
const REWRITE_SPREAD_MS = 2000;
const MAX_HASH = 0xffff_ffff;
const logger = new Logger('members');

/** Finds addresses of other daemons in the settings and the registry. */
export class PeerDiscovery {
  private addresses: readonly Address[] = [];
  private endMs = 0;

  constructor(
    private readonly settings: RouterSettings,
    private readonly state: FleetState,
    private readonly view: MemberView,
    private readonly registry: MemberRegistry,
  ) {
    this.setAddresses(this.listSeeds());
  }

  /**
   * Writes this daemon's entry to the registry, and again whenever the store has
   * returned from an older copy, which may lack the entry.
   */
  runRegistration(): Effect.Effect<never> {
    const {self} = this.settings;
    const spreadMs = (hash32(self.id) / MAX_HASH) * REWRITE_SPREAD_MS;
    return Effect.gen({self: this}, function* () {
      for (;;) {
        const era = yield* this.registry.add(self);
        while (this.state.getStoreEra() <= era) {
          yield* Effect.sleep(ERA_CHECK_MS);
        }
        logger.log("This daemon's entry is written again after a new era.", {
          era: this.state.getStoreEra(),
          before: era,
        });
        yield* Effect.sleep(spreadMs);
      }
    });
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
