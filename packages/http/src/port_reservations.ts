import {
  linkSync,
  mkdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';

/**
 * Ports that processes of tests have taken, as one file for each port in a
 * folder that they share. A port stays reserved while its process runs, also
 * when nothing listens on it: the process may start a daemon there again.
 */
export class PortReservations {
  private readonly reserved = new Set<number>();

  /** @param processId the process for which ports are reserved */
  constructor(
    private readonly folder: string,
    private readonly processId = process.pid,
  ) {}

  /** Reserves a port; returns whether no other running process has it. */
  acquire(port: number): boolean {
    if (this.reserved.has(port)) return true;
    mkdirSync(this.folder, {recursive: true});
    const path = join(this.folder, String(port));
    if (!writeNew(path, this.processId)) {
      if (isRunning(readProcessId(path))) return false;
      rmSync(path, {force: true});
      if (!writeNew(path, this.processId)) return false;
    }
    this.reserved.add(port);
    return true;
  }

  /** Releases all ports of this process. */
  releaseAll(): void {
    for (const port of this.reserved) {
      rmSync(join(this.folder, String(port)), {force: true});
    }
    this.reserved.clear();
  }
}

/**
 * Creates a file with its content at once: another process that read it empty
 * would take its port.
 */
function writeNew(path: string, processId: number): boolean {
  const written = `${path}.${processId}`;
  writeFileSync(written, String(processId));
  try {
    linkSync(written, path);
    return true;
  } catch {
    // The file exists.
    return false;
  } finally {
    rmSync(written, {force: true});
  }
}

function readProcessId(path: string): number {
  try {
    return Number(readFileSync(path, 'utf8'));
  } catch {
    // Removed by its process meanwhile.
    return 0;
  }
}

function isRunning(processId: number): boolean {
  if (!(processId > 0)) return false;
  try {
    process.kill(processId, 0);
    return true;
  } catch {
    return false;
  }
}
