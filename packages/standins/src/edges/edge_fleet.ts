import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import {hashCustomerKey, HeaderName} from '@greengagecross/common';
import {Fleet} from '../fleet/fleet.js';
import {planFleet, PlannedService} from '../fleet/fleet_plan.js';

const READ_LIMIT_MS = 30_000;

/** The first key of the first customer. */
export const OWN_KEY = 'key-of-customer-1';
/** A second key of the first customer, valid beside its own. */
export const SECOND_KEY = 'second-key-of-customer-1';
/** A key that the second customer no longer has. */
export const REVOKED_KEY = 'key-of-customer-2';
/** The second customer's key in its place. */
export const NEW_KEY = 'new-key-of-customer-2';

/** What the edge answered: its status line and headers. */
export interface EdgeReply {
  readonly status: number;
  readonly outcome: string;
  readonly reason: string;
  readonly ticket: string;
  readonly body: string;
}

let started: Promise<Fleet> | undefined;

/** Starts the fleet once for all scenarios of a test process. */
export function startEdgeFleet(): Promise<Fleet> {
  started ??= startFleet();
  return started;
}

/** Stops the fleet if it was started. */
export async function stopEdgeFleet(): Promise<void> {
  const fleet = await started;
  await fleet?.stop();
  fleet?.removeFolder();
}

/** Sends bytes as they are and reads until the edge closes. */
export function sendRaw(
  fleet: Fleet,
  isControl: boolean,
  bytes: string | Buffer,
): Promise<EdgeReply> {
  const [daemon] = fleet.plan.daemons;
  if (daemon === undefined) throw new Error('the plan has no daemon');
  const {host, port} = isControl ? daemon.control : daemon.caller;
  return new Promise((resolve, reject) => {
    let text = '';
    const socket = connect(port, host, () => socket.write(bytes));
    const end = (): void => {
      if (text === '') reject(new Error('the edge said nothing'));
      else resolve(parseReply(text));
    };
    socket.setEncoding('utf8');
    socket.setTimeout(READ_LIMIT_MS, () => socket.destroy());
    socket.on('data', (chunk: string) => {
      text += chunk;
    });
    socket.on('error', () => undefined);
    socket.on('close', end);
  });
}

/** Builds a request by hand that asks for the connection's end. */
export function buildRequest(
  line: string,
  headers: Readonly<Record<string, string>>,
  body = '',
): string {
  const all = {
    host: 'edge',
    connection: 'close',
    'content-length': String(Buffer.byteLength(body)),
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `${line} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Builds the headers of a customer's request. */
export function buildCustomerHeaders(
  customer: string,
  key: string | undefined,
): Record<string, string> {
  return {
    [HeaderName.CUSTOMER]: customer,
    ...(key === undefined ? {} : {authorization: `Bearer ${key}`}),
  };
}

/** Path of the booking service of the edge fleet. */
export const BOOKING_PATH = `/v1/services/${PlannedService.BOOKING}`;

/** Reads what the daemon logged so far. */
export function readDaemonLog(fleet: Fleet): string {
  const id = fleet.plan.daemons[0]?.id ?? '';
  return readFileSync(fleet.findFile(`${id}.log`), 'utf8');
}

async function startFleet(): Promise<Fleet> {
  const size = {daemons: 1, engines: 1, workers: 1, customers: 2};
  const plan = await planFleet({...size, tuning: {directoryKeepMs: 100}});
  const [first, second] = plan.answers.customers;
  if (first === undefined || second === undefined) throw new Error('customers');
  const customers = [
    {
      ...first,
      name: 'customer-1',
      keyHashes: [OWN_KEY, SECOND_KEY].map(hashCustomerKey),
    },
    {...second, name: 'customer-2', keyHashes: [hashCustomerKey(NEW_KEY)]},
  ];
  const fleet = new Fleet({...plan, answers: {...plan.answers, customers}});
  await fleet.start();
  return fleet;
}

function parseReply(text: string): EdgeReply {
  const end = text.indexOf('\r\n\r\n');
  const [statusLine = '', ...lines] = text.slice(0, end).split('\r\n');
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 2)];
    }),
  );
  return {
    status: Number(statusLine.split(' ')[1]),
    outcome: headers.get(HeaderName.OUTCOME) ?? '',
    reason: headers.get(HeaderName.REASON) ?? '',
    ticket: headers.get(HeaderName.TICKET) ?? '',
    body: text.slice(end + 4),
  };
}
