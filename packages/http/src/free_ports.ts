import {createServer, type Server} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {PortReservations} from './port_reservations.js';

/** The range lies below the ephemeral ports of outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;
/** Folder of the reservations, shared by all processes of tests. */
export const RESERVATIONS_FOLDER = join(tmpdir(), 'greengagecross-ports');
/**
 * Distance between the first ports of consecutive process ids, so that test
 * processes started together search different ports.
 */
const PORTS_BETWEEN_PROCESSES = 211;

let reservations: PortReservations | undefined;
let nextPort = FIRST_PORT + computeOffset(process.pid);

/**
 * Finds free TCP ports on 127.0.0.1 for tests and stand-ins (test doubles).
 *
 * Each port stays bound until `count` ports are found; then all are closed. They
 * stay reserved for this process: no other one finds them while it runs.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = FIRST_PORT + computeOffset(0, nextPort - FIRST_PORT + 1);
    // Reserved before it is bound: a port that another process has reserved is
    // not bound even for a moment, as its daemon may start to listen just then.
    if (!getReservations().acquire(port)) continue;
    const server = await openServer(port);
    if (server === undefined) continue;
    servers.push(server);
    ports.push(port);
  }
  await Promise.all(servers.map(closeServer));
  return ports;
}

function getReservations(): PortReservations {
  if (reservations !== undefined) return reservations;
  const created = new PortReservations(RESERVATIONS_FOLDER);
  process.once('exit', () => created.releaseAll());
  reservations = created;
  return created;
}

/**
 * Computes the offset of a port from the first port, wrapped to the range of
 * ports. With process id 0, only the increment counts.
 */
function computeOffset(processId: number, increment = 0): number {
  const range = LAST_PORT - FIRST_PORT + 1;
  return (processId * PORTS_BETWEEN_PROCESSES + increment) % range;
}

function openServer(port: number): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
