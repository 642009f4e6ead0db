import {createServer, type AddressInfo, type Socket} from 'node:net';
import {Effect, Result} from 'effect';
import {HttpClient} from './http_client.js';

const TIMEOUT_MS = 3000;
/** Id of the first request on a connection. */
export const FIRST_ID = 'first';
/** Id of the second request on a connection. */
export const SECOND_ID = 'second';
/** Body of the replies of `makeOwnReply`. */
export const OWN_BODY = 'the own reply';

/** What one request got, by the name of the reply that was sent for it. */
export interface ShapeResult {
  readonly name: string;
  /** `failed: FAILURE`, `own` or what else was received. */
  readonly got: string;
  readonly afterMs: number;
  /** Connections of the server, with a further request sent at the end. */
  readonly connections: number;
  /** Requests received on each connection, in order. */
  readonly requests: readonly number[];
}

/** Bytes that one server writes for the first requests of a connection. */
export interface ShapePlan {
  readonly name: string;
  readonly replies: readonly string[];
  /** Body of the reply to the last of these requests. */
  readonly body: string;
  readonly pieceBytes: number;
  /** Whether the server closes the connection after the last reply. */
  readonly isLast?: boolean;
  /** Whether the client does not know how replies name their requests. */
  readonly isUnnamed?: boolean;
}

/** Makes the header lines that name a request. */
export function makeIds(id: string): string {
  return `x-id: ${id}\r\n`;
}

/** Makes a sound reply to a request. */
export function makeOwnReply(id: string, body = OWN_BODY): string {
  return `HTTP/1.1 200 OK\r\n${makeIds(id)}content-length: ${body.length}\r\n\r\n${body}`;
}

async function writePieces(
  socket: Socket,
  text: string,
  pieceBytes: number,
): Promise<void> {
  for (let at = 0; at < text.length && socket.writable; at += pieceBytes) {
    const end = Math.min(text.length, at + pieceBytes);
    socket.write(text.slice(at, end), 'latin1');
    await new Promise(resolve => setImmediate(resolve));
  }
}

async function sendId(
  client: HttpClient,
  port: number,
  id: string,
  body: string,
  isUnnamed = false,
): Promise<string> {
  const result = await Effect.runPromise(
    Effect.result(
      client.send({
        address: {host: '127.0.0.1', port},
        method: 'POST',
        path: '/',
        ...(isUnnamed ? {} : {replyId: {header: 'x-id', value: id}}),
        connectTimeoutMs: TIMEOUT_MS,
        silenceMs: TIMEOUT_MS,
      }),
    ),
  );
  if (Result.isFailure(result)) return `failed: ${result.failure.failure}`;
  const {headers} = result.success;
  const received = result.success.body.toString('latin1');
  if (headers['x-id'] !== id) return `other id ${headers['x-id']?.toString()}`;
  return received === body ? 'own' : `body ${received}`;
}

/** Sends the requests of a plan, then one more on what is kept. */
export async function runShape(plan: ShapePlan): Promise<ShapeResult> {
  const requests: number[] = [];
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    const connection = requests.push(0) - 1;
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      const at = (requests[connection] = (requests[connection] ?? 0) + 1) - 1;
      const text =
        connection > 0 ? makeOwnReply('next') : (plan.replies[at] ?? '');
      const isLast = plan.isLast === true && at === plan.replies.length - 1;
      void writePieces(socket, text, plan.pieceBytes).then(() => {
        if (isLast) socket.end();
      });
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const client = new HttpClient();
  let startedAtMs = 0;
  let got = '';
  for (const at of plan.replies.keys()) {
    startedAtMs = performance.now();
    const id = at === 0 ? FIRST_ID : SECOND_ID;
    const isTested = at === plan.replies.length - 1;
    const body = isTested ? plan.body : OWN_BODY;
    got = await sendId(client, port, id, body, plan.isUnnamed);
  }
  const afterMs = performance.now() - startedAtMs;
  const {length} = requests;
  if (plan.isLast !== true) {
    await sendId(client, port, 'next', OWN_BODY, plan.isUnnamed);
  }
  client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
  return {name: plan.name, got, afterMs, connections: length, requests};
}
