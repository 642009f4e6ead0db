import {createServer, type Server} from 'node:net';

/** Finds ports that nothing listens on; all are held until all are known. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, () => openServer()),
  );
  const ports = servers.map(server => {
    const address = server.address();
    if (address === null || typeof address === 'string') return 0;
    return address.port;
  });
  await Promise.all(servers.map(closeServer));
  return ports;
}

function openServer(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
