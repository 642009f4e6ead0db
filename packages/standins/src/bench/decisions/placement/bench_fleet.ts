import {SeededRandom, type PlacementRules} from '@greengagecross/common';
import {
  EngineGroup,
  EngineLedger,
  OwnerTable,
  SlotAuthority,
} from '@greengagecross/decisions';
import type {BenchSize} from '../bench_size.js';
import {LaggedList} from '../lagged_list.js';
import {ModelledEngine} from '../modelled_engine.js';
import {Scenario} from './scenario.js';

const MAX_LAG_MS = 3000;
const FLAP_MS = 10_000;
const ZONES = 4;
const LEASE_MS = 10 * 60_000;

/** One daemon's own state. */
export interface BenchDaemon {
  readonly id: string;
  readonly availabilityZone: string;
  readonly ledger: EngineLedger;
  readonly authority: SlotAuthority;
}

/** Engines and daemons of a run, and each daemon's view of both. */
export class BenchFleet {
  readonly engines: readonly ModelledEngine[];
  readonly daemons: readonly BenchDaemon[];
  private readonly groups: LaggedList<EngineGroup>;
  private readonly owners: LaggedList<OwnerTable>;
  private readonly byId: ReadonlyMap<string, ModelledEngine>;
  private readonly indexes: ReadonlyMap<string, number>;

  constructor(
    size: BenchSize,
    scenario: Scenario,
    private readonly rules: PlacementRules,
    seed: number,
  ) {
    const random = new SeededRandom(seed);
    this.engines = Array.from(
      {length: size.engines},
      (unused, index) =>
        new ModelledEngine(`engine-${index}`, `zone-${index % ZONES}`),
    );
    this.daemons = Array.from({length: size.daemons}, (unused, index) =>
      makeDaemon(index),
    );
    this.byId = new Map(this.engines.map(engine => [engine.id, engine]));
    this.indexes = new Map(this.daemons.map((daemon, i) => [daemon.id, i]));
    this.groups = this.makeGroups(size, scenario, random);
    this.owners = this.makeOwners(size, scenario, random);
  }

  /** Returns the engines that one daemon takes for available. */
  getGroup(daemon: number, nowMs: number): EngineGroup {
    return this.groups.getSeen(daemon, nowMs);
  }

  /** Returns the engines that truly are available. */
  getTrueGroup(nowMs: number): EngineGroup {
    return this.groups.getTrue(nowMs);
  }

  /** Finds the daemon that one daemon takes for an engine's owner. */
  findOwner(daemon: number, engine: string, nowMs: number): number {
    const owner = this.owners.getSeen(daemon, nowMs).find(engine) ?? '';
    return this.indexes.get(owner) ?? daemon;
  }

  /** Finds an engine by its id. */
  getEngine(id: string): ModelledEngine {
    const engine = this.byId.get(id);
    if (engine === undefined) throw new Error(`no engine ${id}`);
    return engine;
  }

  private makeGroups(
    size: BenchSize,
    scenario: Scenario,
    random: SeededRandom,
  ): LaggedList<EngineGroup> {
    const all = new EngineGroup('model', this.rules, this.engines);
    const fewer = new EngineGroup('model', this.rules, this.engines.slice(1));
    const isJoining = scenario === Scenario.ENGINE_JOINS;
    const first = isJoining ? fewer : all;
    const list = new LaggedList(first, size.daemons, MAX_LAG_MS, random);
    const halfMs = size.durationMs / 2;
    if (isJoining) list.add(halfMs, all);
    if (scenario === Scenario.ENGINE_LEAVES) list.add(halfMs, fewer);
    if (isFlapping(scenario)) addFlaps(list, size, all, fewer);
    return list;
  }

  private makeOwners(
    size: BenchSize,
    scenario: Scenario,
    random: SeededRandom,
  ): LaggedList<OwnerTable> {
    const ids = this.daemons.map(daemon => daemon.id);
    const all = new OwnerTable(ids);
    const flapping = all.find(this.engines[1]?.id ?? '');
    const fewer = new OwnerTable(ids.filter(id => id !== flapping));
    const list = new LaggedList(all, size.daemons, MAX_LAG_MS, random);
    if (scenario === Scenario.LISTS_DIFFER) addFlaps(list, size, all, fewer);
    return list;
  }
}

function isFlapping(scenario: Scenario): boolean {
  return (
    scenario === Scenario.ENGINE_FLAPS || scenario === Scenario.LISTS_DIFFER
  );
}

function addFlaps<T>(
  list: LaggedList<T>,
  size: BenchSize,
  all: T,
  fewer: T,
): void {
  let isOut = false;
  for (let atMs = FLAP_MS; atMs < size.durationMs; atMs += FLAP_MS) {
    isOut = !isOut;
    list.add(atMs, isOut ? fewer : all);
  }
}

function makeDaemon(index: number): BenchDaemon {
  const id = `daemon-${index}`;
  const ledger = new EngineLedger(LEASE_MS);
  const authority = new SlotAuthority(id, ledger);
  return {id, availabilityZone: `zone-${index % ZONES}`, ledger, authority};
}
