import {appendFileSync, existsSync, readFileSync} from 'node:fs';
import type {RunRecord} from './run_record.js';

/** The runs of a backend server; in a file they outlive its process. */
export class RunLog {
  readonly records: RunRecord[] = [];

  constructor(private readonly file?: string) {}

  /** Adds a run as it begins. */
  add(record: RunRecord): void {
    this.records.push(record);
    if (this.file === undefined) return;
    appendFileSync(this.file, `${JSON.stringify(record)}\n`);
  }
}

/** Reads the runs that a backend server's processes have begun. */
export function readRunLog(file: string): RunRecord[] {
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter(line => line !== '')
    .map(line => JSON.parse(line) as RunRecord);
}
