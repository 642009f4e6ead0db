import {
  PlacementPreference,
  SeededRandom,
  type PlacementRules,
} from '@greengagecross/common';
import {
  CostPlacement,
  PlacementCosts,
  type EngineTimes,
  type PlacementPolicy,
} from '@greengagecross/decisions';
import type {Figure} from '../figure.js';
import {Measure, type MeasureRun} from '../measure.js';
import {PREFILL_MS_PER_TOKEN} from '../modelled_engine.js';
import {MEAN_SERVICE_MS} from '../trace.js';
import {FixedOrderPlacement} from './fixed_order_placement.js';
import {OwnCountsWay} from './own_counts_way.js';
import {OwnerWay} from './owner_way.js';
import {PlacementSimulation, type WayMaker} from './placement_simulation.js';
import {ProbedWay} from './probed_way.js';
import {RendezvousWay} from './rendezvous_way.js';
import {Scenario} from './scenario.js';

/** The multiples of the two deployments. */
export const BENCH_RULES: readonly PlacementRules[] = [
  {preference: PlacementPreference.EVENNESS, maxLoadMultiple: 1.25},
  {preference: PlacementPreference.REUSE, maxLoadMultiple: 1.5},
];

const TIMES: EngineTimes = {
  serviceMs: MEAN_SERVICE_MS,
  prefillMsPerToken: PREFILL_MS_PER_TOKEN,
  transfer: undefined,
};
const TRANSFER = {setupMs: 50, msPerToken: 0.03};

/** Places chats in each of the ways that were weighed. */
export class PlacementMeasure extends Measure {
  override readonly name = 'placement';
  override readonly ways = [
    'rendezvous',
    'own-counts',
    'probed-ticket',
    'owner-fixed',
    'owner-cost',
    'owner-cost-transfer',
  ];

  override run({size, way, seed}: MeasureRun): Figure[] {
    const figures: Figure[] = [];
    for (const rules of BENCH_RULES) {
      for (const scenario of Object.values(Scenario)) {
        const simulation = new PlacementSimulation(
          size,
          scenario,
          rules,
          seed,
          makeWay(way, seed),
        );
        const prefix = `${this.name}.${rules.preference}.${scenario}`;
        for (const {name, value, unit} of simulation.run().listValues()) {
          const measure = `${prefix}.${name}`;
          figures.push({measure, way, size: size.name, value, unit, seed});
        }
      }
    }
    return figures;
  }
}

function makeWay(way: string, seed: number): WayMaker {
  const random = new SeededRandom(seed);
  switch (way) {
    case 'own-counts':
      return (fleet, run) => new OwnCountsWay(fleet, run, random);
    case 'probed-ticket':
      return (fleet, run) => new ProbedWay(fleet, run, random);
    case 'owner-fixed':
      return (fleet, run) =>
        new OwnerWay(fleet, run, random, new FixedOrderPlacement());
    case 'owner-cost':
      return (fleet, run) =>
        new OwnerWay(fleet, run, random, makeCostPolicy(TIMES));
    case 'owner-cost-transfer': {
      const policy = makeCostPolicy({...TIMES, transfer: TRANSFER});
      return (fleet, run) => new OwnerWay(fleet, run, random, policy);
    }
    default:
      return (fleet, run) => new RendezvousWay(fleet, run, random);
  }
}

/** Makes the daemon's policy with fixed times. */
export function makeCostPolicy(times: EngineTimes): PlacementPolicy {
  const costs = new PlacementCosts(times);
  return new CostPlacement(() => costs);
}
