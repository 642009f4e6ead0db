import {fileURLToPath} from 'node:url';
import {HeaderName} from '@greengagecross/common';
import {findFreePorts} from '@greengagecross/http';
import {Child} from '../../fleet/child.js';
import {Fleet} from '../../fleet/fleet.js';
import {planFleet, PlannedService} from '../../fleet/fleet_plan.js';
import {closeCalls} from '../../fleet/http_json.js';
import type {Bench} from '../main.js';
import {runLookups} from './lookup_run.js';
import type {PathTarget} from './path_target.js';
import {runIdleStreams, runStreams} from './stream_run.js';

const SIZE = {
  daemons: 1,
  engines: 1,
  workers: 1,
  customers: 1,
  profile: {capacity: 5000, prefillMsPerToken: 0, msPerToken: 4},
};
const IDLE_PROFILE = {...SIZE.profile, msPerToken: 20_000};
const WARM_UP_LOOKUPS = 2000;
const LOOKUPS = 8000;
const CONCURRENCY = 32;
const STREAMS = 100;
const IDLE_STREAMS = 500;
const PASS_THROUGH = fileURLToPath(
  new URL('./pass_through_main.js', import.meta.url),
);

/** Compares the daemon with a plain reverse proxy and a direct connection. */
export class PathBench implements Bench {
  readonly run = async (): Promise<number> => {
    await this.runWith(SIZE.profile, async targets => {
      for (const target of targets) await printLookups(target);
      for (const target of targets.filter(isStreamTarget)) {
        const cpu = await runStreams(target, STREAMS);
        print(target.route, 'cpu-seconds-per-100000-tokens', cpu);
      }
    });
    await this.runWith(IDLE_PROFILE, async targets => {
      for (const target of targets.filter(isStreamTarget)) {
        const bytes = await runIdleStreams(target, IDLE_STREAMS);
        print(target.route, 'bytes-per-idle-stream', bytes);
      }
    });
    closeCalls();
    return 0;
  };

  /** Starts a fleet of one daemon, and a reverse proxy per backend server. */
  private async runWith(
    profile: typeof SIZE.profile,
    work: (targets: readonly PathTarget[]) => Promise<void>,
  ): Promise<void> {
    const fleet = new Fleet(await planFleet({...SIZE, profile}));
    const ports = await findFreePorts(2);
    const children: Child[] = [];
    try {
      await fleet.start();
      const [engine] = fleet.plan.engines;
      const [worker] = fleet.plan.workers;
      const targets = [engine, worker].map((server, index) => {
        const port = String(ports[index]);
        const args = ['--port', port, '--target', String(server?.port)];
        const log = fleet.findFile('pass-through.log');
        const child = new Child('pass-through', PASS_THROUGH, args, log);
        children.push(child);
        return {port: ports[index] ?? 0, pid: child.getPid()};
      });
      await work(listTargets(fleet, targets));
    } finally {
      for (const child of children) child.send('SIGKILL');
      await fleet.stop();
      fleet.removeFolder();
    }
  }
}

interface PassThrough {
  readonly port: number;
  readonly pid: number | undefined;
}

/** Lists the routes; only the proxy to the worker is measured with lookups. */
function listTargets(
  fleet: Fleet,
  passThroughs: readonly PassThrough[],
): PathTarget[] {
  const [daemon] = fleet.plan.daemons;
  const [worker] = fleet.plan.workers;
  const [customer] = fleet.plan.customers;
  if (daemon === undefined || worker === undefined || customer === undefined) {
    return [];
  }
  const headers = {
    authorization: `Bearer ${customer.key}`,
    [HeaderName.CUSTOMER]: customer.id,
  };
  const lookupPath = '/cloths';
  const [toEngine, toWorker] = passThroughs.map(({port, pid}) => ({
    route: 'pass-through',
    address: {host: '127.0.0.1', port},
    lookupPath,
    pid,
    headers,
  }));
  return [
    {route: 'direct', address: worker, lookupPath, pid: undefined, headers},
    ...(toWorker === undefined ? [] : [{...toWorker, route: 'pass-through'}]),
    ...(toEngine === undefined
      ? []
      : [{...toEngine, route: 'pass-through-engine'}]),
    {
      route: 'daemon',
      address: daemon.caller,
      lookupPath: `/v1/services/${PlannedService.BOOKING}${lookupPath}`,
      pid: fleet.getChild(daemon.id).getPid(),
      headers,
    },
  ];
}

function isStreamTarget(target: PathTarget): boolean {
  return target.pid !== undefined && target.route !== 'pass-through';
}

async function printLookups(target: PathTarget): Promise<void> {
  if (target.route === 'pass-through-engine') return;
  await runLookups(target, WARM_UP_LOOKUPS, CONCURRENCY);
  const cost = await runLookups(target, LOOKUPS, CONCURRENCY);
  print(target.route, 'requests-per-second', cost.requestsPerSecond);
  print(target.route, 'requests-per-cpu-second', cost.requestsPerCpuSecond);
  print(target.route, 'latency-p50-ms', cost.p50Ms);
  print(target.route, 'latency-p99-ms', cost.p99Ms);
}

function print(way: string, measure: string, value: number): void {
  process.stdout.write(`${JSON.stringify({measure, way, value})}\n`);
}
