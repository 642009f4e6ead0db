import {PlacementPreference} from '@greengagecross/common';
import {
  EngineGroup,
  EngineLedger,
  LoadSnapshot,
  OwnerTable,
  SlotAuthority,
  type PlacementPolicy,
} from '@greengagecross/decisions';
import type {BenchSize} from '../bench_size.js';
import type {Figure} from '../figure.js';
import {Measure, type MeasureRun} from '../measure.js';
import {PREFILL_MS_PER_TOKEN} from '../modelled_engine.js';
import {MEAN_SERVICE_MS} from '../trace.js';
import {FixedOrderPlacement} from './fixed_order_placement.js';
import {makeCostPolicy} from './placement_measure.js';

const WARM_UP = 2000;
const DECISIONS = 20_000;
const SELF = 'daemon-0';
const ZONE = 'zone-0';

/** Times one decision: the bound, every load and the order of engines. */
export class DecisionTimeMeasure extends Measure {
  override readonly name = 'placement-time';
  override readonly ways = ['owner-fixed', 'owner-cost'];

  override run({size, way, seed}: MeasureRun): Figure[] {
    const policy =
      way === 'owner-fixed'
        ? new FixedOrderPlacement()
        : makeCostPolicy({
            serviceMs: MEAN_SERVICE_MS,
            prefillMsPerToken: PREFILL_MS_PER_TOKEN,
            transfer: undefined,
          });
    const decide = makeDecision(policy, size);
    for (let index = 0; index < WARM_UP; index += 1) decide(index);
    const startMs = performance.now();
    for (let index = 0; index < DECISIONS; index += 1) decide(index);
    const value = ((performance.now() - startMs) * 1000) / DECISIONS;
    return [
      {
        measure: `${this.name}.decision`,
        way,
        size: size.name,
        value: Math.round(value * 100) / 100,
        unit: 'us',
        seed,
      },
    ];
  }
}

function makeDecision(
  policy: PlacementPolicy,
  size: BenchSize,
): (index: number) => void {
  const engines = Array.from({length: size.engines}, (unused, index) => ({
    id: `engine-${index}`,
    availabilityZone: `zone-${index % 4}`,
  }));
  const group = new EngineGroup(
    'model',
    {preference: PlacementPreference.REUSE, maxLoadMultiple: 1.5},
    engines,
  );
  const daemons = Array.from(
    {length: size.daemons},
    (unused, index) => `daemon-${index}`,
  );
  const owners = new OwnerTable(daemons);
  const snapshot = new LoadSnapshot(
    daemons.map(daemon => ({
      daemon,
      engines: engines
        .filter(engine => owners.find(engine.id) === daemon)
        .map(engine => ({engine: engine.id, inFlight: 4})),
    })),
  );
  const authority = new SlotAuthority(SELF, new EngineLedger(1));
  return index => {
    const chat = `chat-${index}`;
    const ticket = {
      customer: 'customer',
      chat,
      service: 'model',
      engine: `engine-${index % size.engines}`,
      contextTokens: 4000,
      warmAtMs: 0,
    };
    policy.choose(
      {chatKey: chat, ticket, availabilityZone: ZONE, nowMs: 1000},
      group,
      {
        count: engine => authority.countOverall(engine, snapshot),
        isOwnedLocally: engine => owners.find(engine) === SELF,
        bound: authority.computeBound(group, snapshot),
      },
    );
  };
}
