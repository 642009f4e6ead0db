import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import type {FleetWorld} from '../fleet/fleet_world_steps.js';
import {waitUntil} from '../fleet/wait_until.js';
import {
  BOOKING_PATH,
  buildCustomerHeaders,
  buildRequest,
  sendRaw,
} from './edge_fleet.js';

const SIZE = {daemons: 1, engines: 1, workers: 1, customers: 1};
const REQUEST = 'GET /none HTTP/1.1\r\nhost: edge\r\n\r\n';
const MANY_LINES_REQUEST = `GET /none HTTP/1.1\r\nhost: edge\r\n${'a:b\r\n'.repeat(3100)}\r\n`;
const REQUESTS_PER_WRITE = 500;
const LIMIT_MS = 30_000;
const KB_PER_MB = 1_000_000 / 1024;

/** State of one scenario about callers that do not read. */
interface UnreadWorld extends FleetWorld {
  unreadSockets?: Socket[];
}

function openUnreadSender(
  host: string,
  port: number,
  request: string,
  count: number,
): Socket {
  const socket = connect({host, port});
  // A socket that is not paused reads up to its high-water mark.
  socket.pause();
  socket.on('error', () => undefined);
  const block = Buffer.from(request.repeat(REQUESTS_PER_WRITE));
  let left = count;
  const send = (): void => {
    while (left > 0) {
      left -= REQUESTS_PER_WRITE;
      if (!socket.write(block)) return;
    }
  };
  socket.on('drain', send);
  socket.once('connect', send);
  return socket;
}

Given(
  'a daemon of the own interface with a worker',
  async function (this: UnreadWorld) {
    await this.startFleet(SIZE);
  },
);

When(
  /^(\d+) clients each send (\d+) requests( of many header lines)? to its (caller|control) listener and read nothing for (\d+) s$/,
  async function (
    this: UnreadWorld,
    clients: string,
    requests: string,
    manyLines: string | null,
    listener: 'caller' | 'control',
    seconds: string,
  ) {
    const [daemon] = this.getFleet().plan.daemons;
    assert.ok(daemon !== undefined);
    const {host, port} = daemon[listener];
    this.unreadSockets = Array.from({length: Number(clients)}, () =>
      openUnreadSender(
        host,
        port,
        manyLines === null ? REQUEST : MANY_LINES_REQUEST,
        Number(requests),
      ),
    );
    await new Promise(resolve => setTimeout(resolve, Number(seconds) * 1000));
  },
);

Then(
  'the daemon of the own interface runs and never took more than {int} MB',
  function (this: UnreadWorld, limitMb: number) {
    const fleet = this.getFleet();
    const child = fleet.getChild(fleet.plan.daemons[0]?.id ?? '');
    assert.ok(child.isRunning());
    const status = readFileSync(`/proc/${child.getPid()}/status`, 'utf8');
    const peakKb = Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1]);
    const peakMb = Math.round(peakKb / KB_PER_MB);
    this.log(`highest resident memory: ${peakMb} MB`);
    assert.ok(peakMb <= limitMb, `${peakMb} MB`);
  },
);

Then(
  'a lookup is answered with 200 while the clients are connected',
  async function (this: UnreadWorld) {
    const fleet = this.getFleet();
    const [customer] = fleet.plan.customers;
    assert.ok(customer !== undefined);
    const headers = buildCustomerHeaders(customer.id, customer.key);
    const request = buildRequest(`GET ${BOOKING_PATH}/cloths`, headers);
    await waitUntil('a lookup is answered', LIMIT_MS, async () => {
      const {status} = await sendRaw(fleet, false, request);
      return status === 200;
    });
  },
);

After(function (this: UnreadWorld) {
  for (const socket of this.unreadSockets ?? []) socket.destroy();
});
