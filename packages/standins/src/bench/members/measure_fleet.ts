import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {findFreePorts} from '@greengagecross/http';
import type {NodePlan} from './member_node.js';
import type {NeighbourWay, ProcessFigures} from './member_process.js';

const HOST = '127.0.0.1';
const SCRIPT = fileURLToPath(
  new URL('./member_process_main.js', import.meta.url),
);
const MEMBERS_PER_PROCESS = 10;
const ZONES = 6;
const execute = promisify(execFile);

/** Figures of a fleet over real sockets, for one of its daemons. */
export interface FleetFigures {
  readonly bytesPerSecond: number;
  readonly cpuShare: number;
  readonly fewestLive: number;
  readonly loadAgeMs: number;
}

/** Runs a fleet's membership in a few processes and measures it. */
export async function computeFleetFigures(
  way: NeighbourWay,
  size: number,
  settleMs: number,
  measureMs: number,
): Promise<FleetFigures> {
  const folder = mkdtempSync(join(tmpdir(), 'greengagecross-members-'));
  const plans = await planNodes(size);
  const parts = listParts(plans);
  const measureAtMs = Date.now() + settleMs;
  const runs = parts.map(async (nodes, index) => {
    const file = join(folder, `${index}.json`);
    writeFileSync(file, JSON.stringify({way, nodes, measureAtMs, measureMs}));
    const env = {...process.env, DEBUG: 'none'};
    const {stdout} = await execute(process.execPath, [SCRIPT, file], {env});
    return JSON.parse(stdout) as ProcessFigures;
  });
  try {
    const figures = await Promise.all(runs);
    const total = (read: (part: ProcessFigures) => number): number =>
      figures.reduce((sum, part) => sum + read(part), 0);
    return {
      bytesPerSecond: (total(f => f.bytes) * 1000) / measureMs / size,
      cpuShare: total(f => f.cpuMs) / measureMs / size,
      fewestLive: Math.min(...figures.map(f => f.fewestLive)),
      loadAgeMs: total(f => f.meanLoadAgeMs) / figures.length,
    };
  } finally {
    rmSync(folder, {recursive: true});
  }
}

async function planNodes(size: number): Promise<NodePlan[]> {
  const ports = await findFreePorts(size);
  const controls = ports.map(port => ({host: HOST, port}));
  return controls.map((control, index) => ({
    id: `entry-${index + 1}`,
    zone: `zone-${index % ZONES}`,
    control,
    incarnation: Date.now(),
    seeds: controls.slice(0, 2),
  }));
}

function listParts(plans: readonly NodePlan[]): NodePlan[][] {
  const count = Math.ceil(plans.length / MEMBERS_PER_PROCESS);
  return Array.from({length: count}, (unused, part) =>
    plans.filter((plan, index) => index % count === part),
  );
}
