import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {
  Address,
  BackendServer,
  DaemonSettings,
} from '@greengagecross/common';
import type {DaemonState} from '@greengagecross/daemon';
import type {Host} from '@greengagecross/platform';
import {readRunLog} from '../backends/run_log.js';
import type {RunRecord} from '../backends/run_record.js';
import type {StandinFaults} from '../faults.js';
import {StandinKind} from '../standin_kind.js';
import {Child} from './child.js';
import type {DaemonPlan, FleetPlan} from './fleet_plan.js';
import {isAnswering, sendJson} from './http_json.js';
import {waitUntil} from './wait_until.js';

const START_LIMIT_MS = 20_000;
const STOP_LIMIT_MS = 20_000;
const REGION = 'centro';
/** Keys of every fleet that is started here. */
export const FLEET_KEYS = {
  peer: ['peer-key-of-this-fleet'],
  operator: ['operator-key-of-this-fleet', 'old-operator-key-of-this-fleet'],
  ticket: ['ticket-key-of-this-fleet'],
};

const require = createRequire(import.meta.url);
/** Compiled program of the daemon. */
export const DAEMON_SCRIPT = join(
  dirname(require.resolve('@greengagecross/daemon')),
  'main.js',
);
/** Compiled program of the operators' client. */
export const CLIENT_SCRIPT = join(
  dirname(require.resolve('@greengagecross/client')),
  'main.js',
);
const STANDIN_SCRIPT = fileURLToPath(
  new URL('../standin_main.js', import.meta.url),
);

/** The processes of a fleet on this machine, each started from its plan. */
export class Fleet {
  /** Folder of settings and logs; removed at the end. */
  readonly folder = mkdtempSync(join(tmpdir(), 'greengagecross-'));
  private readonly children = new Map<string, Child>();

  constructor(readonly plan: FleetPlan) {
    this.write('keys.json', FLEET_KEYS);
    this.write('answers.json', plan.answers);
    writeFileSync(
      this.findFile('operator.key'),
      `${FLEET_KEYS.operator[0] ?? ''}\n`,
    );
    this.write('greengagecross.json', {
      operator: 'demo',
      platform: plan.platform,
      keyFile: this.findFile('operator.key'),
    });
  }

  /** Starts the platform and backends, accepts the answers, starts daemons. */
  async start(): Promise<void> {
    await this.startStandins();
    await this.setHosts(this.plan.hosts);
    const code = await this.runClient([
      'accept',
      '--answers',
      this.findFile('answers.json'),
    ]);
    if (code !== 0) throw new Error(`accept ended with code ${code}`);
    await Promise.all(this.plan.daemons.map(d => this.startDaemon(d)));
    await this.waitMembers();
  }

  /** Starts one daemon and waits until it is ready. */
  async startDaemon(daemon: DaemonPlan): Promise<void> {
    const settings: DaemonSettings = {
      id: daemon.id,
      region: REGION,
      availabilityZone: daemon.zone,
      callerListener: daemon.caller,
      controlListener: daemon.control,
      platform: this.plan.platform,
      keysFile: this.findFile('keys.json'),
      ...(this.plan.size.tuning === undefined
        ? {}
        : {tuning: this.plan.size.tuning}),
    };
    const file = `${daemon.id}.json`;
    this.write(file, settings);
    const args = ['--settings', this.findFile(file)];
    this.startChild(daemon.id, DAEMON_SCRIPT, args);
    await this.waitStarted(daemon.id, daemon.control, '/readyz');
  }

  /** Starts one backend server again, or for the first time. */
  async startBackend(server: BackendServer, kind: StandinKind): Promise<void> {
    const profile = JSON.stringify(this.plan.size.profile ?? {});
    const runs = this.findFile(`${server.id}.runs`);
    const args = ['--profile', profile, '--runs', runs];
    this.startStandin(server.id, kind, server.port, args);
    await this.waitAnswering(server.id, server);
  }

  /** Finds a process by its name. */
  getChild(name: string): Child {
    const child = this.children.get(name);
    if (child === undefined) throw new Error(`no process ${name}`);
    return child;
  }

  /** Runs the operators' client to its end; returns its exit code. */
  async runClient(args: readonly string[]): Promise<number | null> {
    const settings = ['--settings', this.findFile('greengagecross.json')];
    const child = new Child(
      'client',
      CLIENT_SCRIPT,
      [...args, ...settings],
      this.findFile('client.log'),
    );
    return child.waitEnd();
  }

  /** Sets what the host list shows. */
  async setHosts(hosts: readonly Host[]): Promise<void> {
    await sendJson(this.plan.platform, 'POST', '/observe/hosts', hosts);
  }

  /** Sets faults of the platform. */
  async setPlatformFaults(faults: Partial<StandinFaults>): Promise<void> {
    await sendJson(this.plan.platform, 'POST', '/control', faults);
  }

  /** Sets faults of a backend server. */
  async setBackendFaults(
    server: BackendServer,
    faults: Partial<StandinFaults>,
  ): Promise<void> {
    await sendJson(server, 'POST', '/control', faults);
  }

  /** Reads what a backend server has run since its process started. */
  readRecord(server: BackendServer): Promise<RunRecord[]> {
    return sendJson<RunRecord[]>(server, 'GET', '/observe/record');
  }

  /** Reads what all processes of a backend server have begun to run. */
  readRuns(server: BackendServer): RunRecord[] {
    return readRunLog(this.findFile(`${server.id}.runs`));
  }

  /** Reads a daemon's dump. */
  readDump(daemon: DaemonPlan): Promise<DaemonState> {
    const authorization = `Bearer ${FLEET_KEYS.operator[0] ?? ''}`;
    const headers = {authorization};
    const {control} = daemon;
    return sendJson(control, 'GET', '/v1/dump', undefined, headers);
  }

  /** Stops every process, daemons gracefully first. Returns exit codes. */
  async stop(): Promise<Map<string, number | null>> {
    const codes = new Map<string, number | null>();
    const daemons = new Set(this.plan.daemons.map(daemon => daemon.id));
    await this.stopChildren(name => daemons.has(name), codes);
    await this.stopChildren(name => !daemons.has(name), codes);
    return codes;
  }

  /** Removes the folder of settings and logs. */
  removeFolder(): void {
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Finds the path of one of the fleet's files. */
  findFile(name: string): string {
    return join(this.folder, name);
  }

  private async startStandins(): Promise<void> {
    const {platform, engines, workers} = this.plan;
    this.startStandin('platform', StandinKind.PLATFORM, platform.port, []);
    await Promise.all([
      this.waitAnswering('platform', platform),
      ...engines.map(e => this.startBackend(e, StandinKind.ENGINE)),
      ...workers.map(w => this.startBackend(w, StandinKind.WORKER)),
    ]);
  }

  /** Waits until every daemon sees all of them live. */
  private async waitMembers(): Promise<void> {
    const {daemons} = this.plan;
    for (const daemon of daemons) {
      await waitUntil(`${daemon.id} sees all`, START_LIMIT_MS, async () => {
        const state = await this.readDump(daemon);
        return state.live.length === daemons.length;
      });
    }
  }

  private async waitAnswering(
    name: string,
    address: {readonly host: string; readonly port: number},
  ): Promise<void> {
    const path = name === 'platform' ? '/observe/counts' : '/observe/load';
    const {host, port} = address;
    await this.waitStarted(name, {host, port}, path);
  }

  /** Waits for a process to answer; throws with its log if it ends. */
  private async waitStarted(
    name: string,
    address: Address,
    path: string,
  ): Promise<void> {
    await waitUntil(`${name} answers`, START_LIMIT_MS, () => {
      if (this.getChild(name).isRunning()) return isAnswering(address, path);
      const log = readFileSync(this.findFile(`${name}.log`), 'utf8');
      throw new Error(`${name} ended at its start: ${log}`);
    });
  }

  private startStandin(
    name: string,
    kind: StandinKind,
    port: number,
    args: readonly string[],
  ): void {
    const own = ['--kind', kind, '--port', String(port)];
    this.startChild(name, STANDIN_SCRIPT, [...own, ...args]);
  }

  private startChild(
    name: string,
    script: string,
    args: readonly string[],
  ): void {
    const log = this.findFile(`${name}.log`);
    this.children.set(name, new Child(name, script, args, log));
  }

  private async stopChildren(
    isChosen: (name: string) => boolean,
    codes: Map<string, number | null>,
  ): Promise<void> {
    const chosen = [...this.children].filter(([name]) => isChosen(name));
    for (const [, child] of chosen) child.send('SIGTERM');
    await Promise.all(
      chosen.map(async ([name, child]) => {
        const timer = setTimeout(() => child.send('SIGKILL'), STOP_LIMIT_MS);
        codes.set(name, await child.waitEnd());
        clearTimeout(timer);
      }),
    );
  }

  private write(name: string, value: unknown): void {
    writeFileSync(this.findFile(name), JSON.stringify(value, null, 2));
  }
}
