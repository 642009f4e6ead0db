import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import type {BackendServer} from '@greengagecross/common';
import {findFreePorts} from '@greengagecross/http';
import {readRunLog} from '../backends/run_log.js';
import type {StandinFaults} from '../faults.js';
import {Child} from '../fleet/child.js';
import {isAnswering, sendJson} from '../fleet/http_json.js';
import {waitUntil} from '../fleet/wait_until.js';
import type {StandinKind} from '../standin_kind.js';

const START_LIMIT_MS = 30_000;
const SCRIPT = fileURLToPath(new URL('../standin_main.js', import.meta.url));

/** A stand-in backend server in a process of its own. */
export class BackendProcess {
  private readonly folder = mkdtempSync(join(tmpdir(), 'greengagecross-'));
  private child: Child | undefined;
  private port = 0;

  constructor(private readonly kind: StandinKind) {}

  /** Starts the process, again on its port where it had one. */
  async start(): Promise<void> {
    if (this.port === 0) [this.port = 0] = await findFreePorts(1);
    const own = ['--kind', this.kind, '--port', String(this.port)];
    const log = join(this.folder, 'log');
    const args = [...own, '--runs', this.findRuns()];
    this.child = new Child('backend', SCRIPT, args, log);
    await waitUntil('the backend server answers', START_LIMIT_MS, () =>
      isAnswering(this.getServer(), '/observe/load'),
    );
  }

  /** Returns its place as a configuration names it. */
  getServer(): BackendServer {
    return {
      id: 'backend-1',
      host: '127.0.0.1',
      port: this.port,
      availabilityZone: 'centro-a',
    };
  }

  /** Sets faults; they answer only once they are in force. */
  async setFaults(faults: Partial<StandinFaults>): Promise<void> {
    await sendJson(this.getServer(), 'POST', '/control', faults);
  }

  /** Sends the process a signal. */
  send(signal: NodeJS.Signals): void {
    this.child?.send(signal);
  }

  /** Waits until the process has ended. */
  async waitEnd(): Promise<void> {
    await this.child?.waitEnd();
  }

  /** Returns whether an attempt began to run in any of its processes. */
  hasRun(attemptId: string): boolean {
    const runs = readRunLog(this.findRuns());
    return runs.some(run => run.attemptId === attemptId);
  }

  /** Ends the process and removes its files. */
  async stop(): Promise<void> {
    this.send('SIGKILL');
    await this.waitEnd();
    rmSync(this.folder, {recursive: true, force: true});
  }

  private findRuns(): string {
    return join(this.folder, 'runs');
  }
}
