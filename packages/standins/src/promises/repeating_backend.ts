import {createServer, type Server, type Socket} from 'node:net';
import {BackendHeader} from '@greengagecross/backend';
import type {Address} from '@greengagecross/common';
import {
  computeAnswerTokens,
  type StandinChatBody,
} from '../backends/expected_answer.js';
import {makeChunk} from '../backends/make_chunk.js';

/** When a repeating backend sends a refusal once more. */
export enum RepeatMoment {
  NEVER = 'never',
  /** Before its reply to the next request on the same connection. */
  WITH_NEXT_REPLY = 'before its next answer',
  /** The same, in two writes. */
  IN_HALVES = 'before its next answer in two pieces',
  /** The same with a malformed head and another answer behind it. */
  BROKEN = 'before its next answer in a broken way',
  /** Some milliseconds after the refusal, whatever is under way by then. */
  SOON = 'some milliseconds later',
}

const STREAM_PREFIX = '/v1/streams/';
const CHAT_PATH = '/v1/chat/completions';
const SOON_MS = 3;
const HALF_PAUSE_MS = 2;
const WORK_MS = 5;

/** One connection that the backend accepted. */
interface BackendConnection {
  readonly socket: Socket;
  /** Refusal that is sent once more before the next reply. */
  repeated: string;
}

/** A request that the backend has received completely. */
interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly attemptId: string;
  readonly body: string;
}

/**
 * Stand-in of a backend server on a raw TCP server: of an engine and of a plain
 * service. Its replies carry the ids of their attempts, but each refusal
 * (`x-not-run: true`) is sent twice.
 */
export class RepeatingBackend {
  /** Ids of the attempts that ran, in order. */
  readonly runs: string[] = [];
  /** Ids of the attempts that were refused, in order. */
  readonly refused: string[] = [];
  /** Number of refusals that were sent once more. */
  repeats = 0;
  /** Every how many requests one is refused; 0 for none. */
  refuseEvery = 0;
  /** Whether its answers, other than refusals, carry the attempt's id. */
  namesAttempts = true;
  connections = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private received = 0;

  constructor(
    private readonly address: Address,
    private readonly moment: RepeatMoment,
  ) {
    this.server = createServer({noDelay: true}, socket => this.accept(socket));
  }

  /** Starts listening. */
  start(): Promise<void> {
    const {host, port} = this.address;
    return new Promise(resolve =>
      this.server.listen(port, host, () => resolve()),
    );
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    const connection: BackendConnection = {socket, repeated: ''};
    this.connections += 1;
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    let received = '';
    socket.on('data', bytes => {
      received += bytes.toString('latin1');
      const head = /^[^]*?\r\n\r\n/.exec(received)?.[0];
      if (head === undefined) return;
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (received.length < head.length + length) return;
      const body = received.slice(head.length, head.length + length);
      received = received.slice(head.length + length);
      this.answer(connection, parseRequest(head, body));
    });
  }

  private answer(
    connection: BackendConnection,
    request: ReceivedRequest,
  ): void {
    const {socket} = connection;
    if (request.path.startsWith(STREAM_PREFIX)) {
      const status = request.method === 'DELETE' ? '200 OK' : '404 Not Found';
      this.writeRepeated(
        connection,
        makeReply(status, request.attemptId, '{}'),
      );
      return;
    }
    this.received += 1;
    if (this.refuseEvery > 0 && this.received % this.refuseEvery === 0) {
      this.refuse(connection, request.attemptId);
      return;
    }
    this.runs.push(request.attemptId);
    const answer = makeAnswer(request, this.namesAttempts);
    const isForged =
      this.moment === RepeatMoment.BROKEN && connection.repeated !== '';
    const forged = isForged
      ? makeReply('200 OK', request.attemptId, 'forged')
      : '';
    this.writeRepeated(connection, forged, () =>
      setTimeout(() => socket.write(answer), WORK_MS),
    );
  }

  private refuse(connection: BackendConnection, attemptId: string): void {
    const {socket} = connection;
    const refusal = makeReply('503 Service Unavailable', attemptId, '{}', [
      `${BackendHeader.NOT_RUN}: true`,
    ]);
    this.refused.push(attemptId);
    this.writeRepeated(connection, refusal);
    switch (this.moment) {
      case RepeatMoment.NEVER:
        return;
      case RepeatMoment.SOON:
        this.repeats += 1;
        setTimeout(() => socket.write(refusal), SOON_MS);
        return;
      case RepeatMoment.BROKEN:
        connection.repeated = refusal.replace('\r\n', '\r\na b: c\r\n');
        return;
      case RepeatMoment.WITH_NEXT_REPLY:
      case RepeatMoment.IN_HALVES:
        connection.repeated = refusal;
    }
  }

  /** Writes the refusal that is due once more, then `reply`. */
  private writeRepeated(
    connection: BackendConnection,
    reply = '',
    onWritten: () => void = () => undefined,
  ): void {
    const {socket, repeated} = connection;
    connection.repeated = '';
    if (repeated !== '') this.repeats += 1;
    if (repeated === '' || this.moment !== RepeatMoment.IN_HALVES) {
      if (repeated + reply !== '') socket.write(repeated + reply);
      onWritten();
      return;
    }
    const half = Math.floor(repeated.length / 2);
    socket.write(repeated.slice(0, half));
    setTimeout(() => {
      socket.write(repeated.slice(half) + reply);
      onWritten();
    }, HALF_PAUSE_MS);
  }
}

function parseRequest(head: string, body: string): ReceivedRequest {
  const [method = '', path = ''] = head.split(' ');
  const attemptId = path.startsWith(STREAM_PREFIX)
    ? path.slice(STREAM_PREFIX.length)
    : (new RegExp(`^${BackendHeader.REQUEST_ID}: (\\S+)`, 'im').exec(
        head,
      )?.[1] ?? '');
  return {method, path, attemptId, body};
}

function makeAnswer(
  {path, attemptId, body}: ReceivedRequest,
  namesAttempt: boolean,
): string {
  if (path !== CHAT_PATH) {
    return makeReply('200 OK', namesAttempt ? attemptId : '', body);
  }
  const chat = JSON.parse(body) as StandinChatBody;
  const tokens = computeAnswerTokens(chat);
  if (chat.stream === true) {
    const data = [
      ...tokens.map(token => makeChunk(attemptId, token)),
      makeChunk(attemptId, '', 'stop'),
      '[DONE]',
    ];
    const events = data.map((text, at) => `id: ${at}\ndata: ${text}\n\n`);
    return makeReply('200 OK', attemptId, events.join(''), [
      'content-type: text/event-stream',
    ]);
  }
  const message = {role: 'assistant', content: tokens.join('')};
  const choices = [{index: 0, message, finish_reason: 'stop'}];
  const completion = {id: `chatcmpl-${attemptId}`, choices};
  return makeReply('200 OK', attemptId, JSON.stringify(completion));
}

/** @param attemptId empty for a reply that names no attempt */
function makeReply(
  status: string,
  attemptId: string,
  body: string,
  headers: readonly string[] = [],
): string {
  const lines = [
    `HTTP/1.1 ${status}`,
    ...(attemptId === '' ? [] : [`${BackendHeader.REQUEST_ID}: ${attemptId}`]),
    ...headers,
    `content-length: ${body.length}`,
  ];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}
