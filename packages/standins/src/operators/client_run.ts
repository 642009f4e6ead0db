import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync} from 'node:fs';
import {CLIENT_SCRIPT, type Fleet} from '../fleet/fleet.js';

/** How a run of the operators' client ended. */
export interface ClientRun {
  readonly code: number | null;
  /** What it printed on both streams. */
  readonly output: string;
}

/** Runs the client as an operator would, with lines typed ahead. */
export function runClient(
  args: readonly string[],
  folder: string,
  input?: string,
): Promise<ClientRun> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [CLIENT_SCRIPT, ...args], {
      cwd: folder,
      stdio: 'pipe',
    });
    let output = '';
    child.stdout.on('data', data => (output += String(data)));
    child.stderr.on('data', data => (output += String(data)));
    child.stdin.on('error', () => undefined);
    child.stdin.end(input ?? '');
    child.once('error', reject);
    child.once('close', code => resolve({code, output}));
  });
}

/** Writes settings of another operator; returns the option that names them. */
export function writeOperator(fleet: Fleet, operator: string): string[] {
  const text = readFileSync(fleet.findFile('greengagecross.json'), 'utf8');
  const settings = JSON.parse(text) as object;
  const daemons = fleet.plan.daemons.map(daemon => daemon.control);
  const file = fleet.findFile(`${operator}.json`);
  writeFileSync(file, JSON.stringify({...settings, operator, daemons}));
  return ['--settings', file];
}
