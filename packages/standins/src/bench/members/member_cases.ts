import {Effect} from 'effect';
import type {MemberNode} from './member_node.js';
import type {VirtualFleet} from './virtual_fleet.js';

const LIMIT_MS = 120_000;
const MINUTE_MS = 60_000;
const DEAD_HOSTS = 20;
const SLOW_ONE_WAY_MS = 250;
const ZONES = 6;

/** How long a case took. */
export interface CaseTimes {
  readonly goneMs: number;
  readonly wholeMs: number;
}

type MemberCase = (
  fleet: VirtualFleet,
  size: number,
) => Effect.Effect<CaseTimes>;

/** Names of the cases. */
export type CaseName = keyof typeof CASES;

/** What may happen to a fleet's membership. */
export const CASES = {
  kill: (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      const lost = getNode(fleet, 1);
      yield* fleet.stopNode(lost);
      const goneMs = yield* waitGone(fleet, lost);
      const wholeMs = yield* waitWhole(fleet);
      yield* fleet.wait(2 * MINUTE_MS);
      return {goneMs, wholeMs: fleet.isWhole() ? wholeMs : LIMIT_MS};
    }),
  freeze: (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      const lost = getNode(fleet, 1);
      const {id} = lost.plan;
      fleet.expectedGone.add(id);
      fleet.links.frozen.add(id);
      const goneMs = yield* waitGone(fleet, lost);
      yield* fleet.wait(MINUTE_MS / 6);
      fleet.links.frozen.delete(id);
      const wholeMs = yield* waitWhole(fleet);
      fleet.expectedGone.delete(id);
      yield* fleet.wait(MINUTE_MS);
      return {goneMs, wholeMs};
    }),
  'one-way-cut': (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      const [from, to] = [getNode(fleet, 0).plan.id, getNode(fleet, 1).plan.id];
      fleet.links.isCut = (a, b) => a === from && b === to;
      yield* fleet.wait(5 * MINUTE_MS);
      return {goneMs: 0, wholeMs: yield* waitWhole(fleet)};
    }),
  'zone-parted': (fleet, size) => runParted(fleet, size, 0.25, 5 * MINUTE_MS),
  'region-parted': (fleet, size) => runParted(fleet, size, 0.5, 2 * MINUTE_MS),
  'region-parted-for-an-hour': (fleet, size) =>
    runParted(fleet, size, 0.5, 60 * MINUTE_MS),
  restarts: (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      let slowestMs = 0;
      for (let count = 0; count < 20; count += 1) {
        const lost = getNode(fleet, count % size === 0 ? 0 : 1);
        yield* fleet.stopNode(lost);
        yield* fleet.wait(count % 2 === 0 ? 500 : 10_000);
        yield* fleet.startAgain(lost);
        slowestMs = Math.max(slowestMs, yield* waitWhole(fleet));
        yield* fleet.wait(MINUTE_MS / 2);
      }
      return {goneMs: 0, wholeMs: slowestMs};
    }),
  'all-replaced': (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      let slowestMs = 0;
      for (let count = 0; count < size; count += 1) {
        const old = getNode(fleet, 0);
        const plan = fleet.makePlan(`new-${count}`);
        yield* fleet.start(plan);
        const kept = fleet.nodes.filter(node => node !== old);
        fleet.hosts.setPlans(kept.map(node => node.plan));
        yield* fleet.wait(MINUTE_MS / 6);
        yield* fleet.stopNode(old);
        slowestMs = Math.max(slowestMs, yield* waitWhole(fleet));
      }
      return {goneMs: 0, wholeMs: slowestMs};
    }),
  'started-without-platform': (fleet, size) =>
    Effect.gen(function* () {
      fleet.hosts.isDown = true;
      const first = fleet.makePlan('entry-0');
      yield* fleet.start(first);
      for (let index = 1; index < size; index += 1) {
        const plan = fleet.makePlan(`entry-${index}`, [first.control]);
        yield* fleet.start(plan);
      }
      return {goneMs: 0, wholeMs: yield* waitWhole(fleet)};
    }),
  'started-without-platform-or-seeds': (fleet, size) =>
    Effect.gen(function* () {
      fleet.hosts.isDown = true;
      for (let index = 0; index < size; index += 1) {
        yield* fleet.start(fleet.makePlan(`entry-${index}`));
      }
      yield* fleet.wait(MINUTE_MS);
      fleet.hosts.setPlans(fleet.nodes.map(node => node.plan));
      fleet.hosts.isDown = false;
      return {goneMs: 0, wholeMs: yield* waitWhole(fleet)};
    }),
  'wrong-host-list': (fleet, size) =>
    Effect.gen(function* () {
      const dead = Array.from({length: DEAD_HOSTS}, (unused, index) =>
        fleet.makePlan(`dead-${index}`),
      );
      const plans = Array.from({length: size}, (unused, index) =>
        fleet.makePlan(`entry-${index}`),
      );
      // The list misses the first one, which knows the others.
      fleet.hosts.setPlans([...dead, ...plans.slice(1)]);
      for (const plan of plans) yield* fleet.start(plan);
      return {goneMs: 0, wholeMs: yield* waitWhole(fleet)};
    }),
  // Replies take longer than the shortest time for which they are awaited.
  'slow-replies': (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      fleet.links.oneWayMs = SLOW_ONE_WAY_MS;
      yield* fleet.wait(2 * MINUTE_MS);
      return {goneMs: 0, wholeMs: yield* waitWhole(fleet)};
    }),
  // Their hosts and their network go too, so nothing refuses a connection.
  'zone-lost': (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      for (const node of fleet.nodes.slice(0, Math.ceil(size / ZONES))) {
        fleet.links.lostPorts.add(node.plan.control.port);
        yield* fleet.stopNode(node);
      }
      const goneMs = yield* waitWhole(fleet);
      yield* fleet.wait(MINUTE_MS);
      return {goneMs, wholeMs: yield* waitWhole(fleet)};
    }),
  'one-percent-loss': (fleet, size) =>
    Effect.gen(function* () {
      yield* fleet.startAll(size);
      fleet.links.lossShare = 0.01;
      yield* fleet.wait(10 * MINUTE_MS);
      return {goneMs: 0, wholeMs: yield* waitWhole(fleet)};
    }),
} satisfies Record<string, MemberCase>;

/** Parts the first share of the fleet from the rest, for a while. */
function runParted(
  fleet: VirtualFleet,
  size: number,
  share: number,
  partedMs: number,
): Effect.Effect<CaseTimes> {
  return Effect.gen(function* () {
    yield* fleet.startAll(size);
    const count = Math.max(1, Math.floor(size * share));
    const parts = [fleet.nodes.slice(0, count), fleet.nodes.slice(count)];
    const ids = new Set(parts[0]?.map(node => node.plan.id));
    fleet.links.isCut = (a, b) => ids.has(a) !== ids.has(b);
    const goneMs = yield* fleet.waitUntil(LIMIT_MS, () =>
      parts.every(part => fleet.isWhole(part)),
    );
    yield* fleet.wait(partedMs);
    fleet.links.isCut = () => false;
    return {goneMs, wholeMs: yield* waitWhole(fleet)};
  });
}

function waitGone(fleet: VirtualFleet, lost: MemberNode) {
  return fleet.waitUntil(LIMIT_MS, () => fleet.isGone(lost.plan.id));
}

function waitWhole(fleet: VirtualFleet) {
  return fleet.waitUntil(LIMIT_MS, () => fleet.isWhole());
}

function getNode(fleet: VirtualFleet, index: number): MemberNode {
  const node = fleet.nodes[index];
  if (node === undefined) throw new RangeError(`no member ${index}`);
  return node;
}
