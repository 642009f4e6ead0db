import {Effect} from 'effect';
import type {Address} from '@greengagecross/common';
import {HttpClient} from '@greengagecross/http';

const TIMEOUT_MS = 5000;
const client = new HttpClient();

/** Sends one call to a process of the fleet and parses its JSON reply. */
export async function sendJson<T>(
  address: Address,
  method: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<T> {
  const reply = await Effect.runPromise(
    client.send({
      address,
      method,
      path,
      headers,
      ...(body === undefined ? {} : {body: JSON.stringify(body)}),
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    }),
  );
  return JSON.parse(reply.body.toString()) as T;
}

/** Returns whether an address answers a path with status 200. */
export async function isAnswering(
  address: Address,
  path: string,
): Promise<boolean> {
  const reply = await Effect.runPromise(
    Effect.option(
      client.send({
        address,
        method: 'GET',
        path,
        connectTimeoutMs: TIMEOUT_MS,
        silenceMs: TIMEOUT_MS,
      }),
    ),
  );
  return reply._tag === 'Some' && reply.value.status === 200;
}

/** Closes the connections that the calls kept. */
export function closeCalls(): void {
  client.close();
}
