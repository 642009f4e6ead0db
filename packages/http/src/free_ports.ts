import {createServer, type Server} from 'node:net';

/** Below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
const LAST_PORT = 31_999;
/** Runners that start at the same time look in different places. */
const PORTS_BETWEEN_RUNNERS = 211;

let nextPort = FIRST_PORT + computeOffset(process.pid);

/**
 * Finds ports for stand-ins and tests that nothing listens on; all are held
 * until all are known.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = FIRST_PORT + computeOffset(0, nextPort - FIRST_PORT + 1);
    const server = await openServer(port);
    if (server === undefined) continue;
    servers.push(server);
    ports.push(port);
  }
  await Promise.all(servers.map(closeServer));
  return ports;
}

function computeOffset(runner: number, steps = 0): number {
  const range = LAST_PORT - FIRST_PORT + 1;
  return (runner * PORTS_BETWEEN_RUNNERS + steps) % range;
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
