import type {PlacementRules} from '@greengagecross/common';
import {makeHashedIds, type HashedId} from './rendezvous_hash.js';

/** An engine that accepts new requests. */
export interface GroupEngine {
  readonly id: string;
  readonly availabilityZone: string;
}

/**
 * The engines of one service that accept new requests. Immutable: a changed
 * list of engines needs a new group.
 */
export class EngineGroup {
  readonly ids: readonly string[];
  readonly hashedIds: readonly HashedId[];
  private readonly zones: ReadonlyMap<string, string>;

  constructor(
    readonly service: string,
    readonly rules: PlacementRules,
    engines: readonly GroupEngine[],
  ) {
    this.ids = engines.map(engine => engine.id);
    this.hashedIds = makeHashedIds(this.ids);
    this.zones = new Map(engines.map(e => [e.id, e.availabilityZone]));
  }

  /** Returns whether an engine belongs to the group. */
  has(engine: string): boolean {
    return this.zones.has(engine);
  }

  /** Finds an engine's availability zone; undefined outside the group. */
  findZone(engine: string): string | undefined {
    return this.zones.get(engine);
  }
}
