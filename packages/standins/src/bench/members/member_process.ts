import {LoopbackNode} from './loopback_node.js';
import type {NodePlan} from './member_node.js';
import {DoubleMeshNeighbours, MeshNeighbours} from './mesh_neighbours.js';
import {ShownHosts} from './shown_hosts.js';

const LOAD_CHANGE_MS = 500;
const ENGINES_PER_MEMBER = 2;
const START_GAP_MS = 500;
const END_GAP_MS = 3000;

/** Ways of choosing neighbours that the bench compares. */
export enum NeighbourWay {
  RINGS = 'two-rings',
  MESH = 'mesh',
  DOUBLE_MESH = 'mesh-both-ways-500ms',
}

/** What one process of the bench runs. */
export interface ProcessPlan {
  readonly way: NeighbourWay;
  readonly nodes: readonly NodePlan[];
  /** When all processes of the fleet begin to measure, by the wall clock. */
  readonly measureAtMs: number;
  readonly measureMs: number;
}

/** What one process measured, over all of its members. */
export interface ProcessFigures {
  readonly bytes: number;
  readonly cpuMs: number;
  readonly memoryBytes: number;
  /** Fewest members that one of them took for live. */
  readonly fewestLive: number;
  /** Ages of other members' loads as known here, on average. */
  readonly meanLoadAgeMs: number;
}

/** Runs members of a fleet in this process and measures them. */
export async function runProcess(plan: ProcessPlan): Promise<ProcessFigures> {
  const nodes = plan.nodes.map(node => makeNode(node, plan.way));
  const timer = setInterval(() => nodes.forEach(setLoad), LOAD_CHANGE_MS);
  for (const node of nodes) {
    await node.start();
    await wait(START_GAP_MS);
  }
  await wait(plan.measureAtMs - Date.now());
  const bytes = countBytes(nodes);
  const cpu = process.cpuUsage();
  await wait(plan.measureMs);
  const used = process.cpuUsage(cpu);
  const figures = {
    bytes: countBytes(nodes) - bytes,
    cpuMs: (used.user + used.system) / 1000,
    memoryBytes: process.memoryUsage().rss,
    fewestLive: Math.min(...nodes.map(countLive)),
    meanLoadAgeMs: computeMeanLoadAge(nodes),
  };
  // Others may still measure; the first to end would be a loss to them.
  await wait(END_GAP_MS);
  clearInterval(timer);
  await Promise.all(nodes.map(node => node.stop()));
  return figures;
}

function makeNode(plan: NodePlan, way: NeighbourWay): LoopbackNode {
  const hosts = new ShownHosts();
  hosts.isDown = true;
  switch (way) {
    case NeighbourWay.RINGS:
      return new LoopbackNode(plan, hosts);
    case NeighbourWay.MESH:
      return new LoopbackNode({...plan, policy: new MeshNeighbours()}, hosts);
    case NeighbourWay.DOUBLE_MESH: {
      const policy = new DoubleMeshNeighbours();
      return new LoopbackNode({...plan, policy, heartbeatMs: 500}, hosts);
    }
  }
}

/** Reports loads that change; the first count tells when it was made. */
function setLoad({node, plan}: LoopbackNode): void {
  const engines = Array.from({length: ENGINES_PER_MEMBER}, (unused, index) => ({
    engine: `engine-of-${plan.id}-${index}`,
    inFlight:
      index === 0 ? Math.round(performance.timeOrigin + performance.now()) : 7,
  }));
  node.report = {configurationRevision: 1, engines};
}

function computeMeanLoadAge(nodes: readonly LoopbackNode[]): number {
  const nowMs = performance.timeOrigin + performance.now();
  const ages = nodes.flatMap(({node, plan}) =>
    node.service
      .listLive(Date.now())
      .filter(member => member.id !== plan.id)
      .flatMap(member => member.engines.slice(0, 1))
      .map(count => nowMs - count.inFlight),
  );
  return ages.reduce((a, b) => a + b, 0) / Math.max(1, ages.length);
}

function countLive({node}: LoopbackNode): number {
  return node.listLive(Date.now()).size;
}

function countBytes(nodes: readonly LoopbackNode[]): number {
  return nodes.reduce((total, node) => total + node.countBytes(), 0);
}

function wait(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
