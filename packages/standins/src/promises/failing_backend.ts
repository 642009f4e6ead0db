import {createServer, type Server, type Socket} from 'node:net';
import {BackendHeader} from '@greengagecross/backend';
import type {Address} from '@greengagecross/common';

const CHUNK_HEAD = 'transfer-encoding: chunked\r\n\r\n';
const OWN_STATUS = /^answers with status (\S+)$/;
const STREAM_PATH = /^\S+ \/v1\/streams\/(\S+)/;
const ATTEMPT_ID = new RegExp(`^${BackendHeader.REQUEST_ID}: (\\S+)`, 'im');

/** What follows the head of a reply that is cut by a reset, by fault. */
const RESET_REPLIES: Readonly<Record<string, string>> = {
  'resets after a part without a length': '\r\nid: 0\ndata: {}\n\n',
  'resets after a part of the length': 'content-length: 900\r\n\r\nid: 0\nda',
  'resets after a chunk': `${CHUNK_HEAD}5\r\nid: 0\r\n`,
  'resets in the middle of a chunk': `${CHUNK_HEAD}ff\r\nid: 0\nda`,
};

/** Head lines and body of a reply that is none in HTTP, by fault. */
const BROKEN_REPLIES: Readonly<Record<string, string>> = {
  'answers with a blank in a name': 'a b: c\r\ncontent-length: 4\r\n\r\ndone',
  'answers with a control byte in a name':
    'a\x02b: c\r\ncontent-length: 4\r\n\r\ndone',
  'answers with a folded line': 'a: b\r\n c\r\ncontent-length: 4\r\n\r\ndone',
  'answers with two lengths':
    'content-length: 4\r\ncontent-length: 9\r\n\r\ndone',
  'answers with chunks coded twice':
    'transfer-encoding: chunked, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n',
  'answers with a coding in trailers':
    'transfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\ntransfer-encoding: chunked\r\n\r\n',
};
const OWN_STATUS_LINE = /^answers with the status line (.+)$/;

/** Stand-in of a backend server on a raw TCP server, with one fault. */
export class FailingBackend {
  /** Number of calls received, without those that resume or cancel a stream. */
  calls = 0;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly address: Address,
    private readonly fault: string,
  ) {
    this.server = createServer(socket => this.accept(socket));
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
      received = received.slice(head.length + length);
      this.answer(socket, head);
    });
  }

  private answer(socket: Socket, head: string): void {
    const streamId = STREAM_PATH.exec(head)?.[1];
    const id = streamId ?? ATTEMPT_ID.exec(head)?.[1] ?? '';
    if (streamId === undefined) this.calls += 1;
    const ownHead = `${BackendHeader.REQUEST_ID}: ${id}\r\n`;
    const status = OWN_STATUS.exec(this.fault)?.[1];
    if (status !== undefined) {
      const body = 'content-length: 4\r\n\r\ndone';
      socket.write(`HTTP/1.1 ${status} X\r\n${ownHead}${body}`);
      return;
    }
    const statusLine = OWN_STATUS_LINE.exec(this.fault)?.[1];
    const broken = BROKEN_REPLIES[this.fault];
    if (statusLine !== undefined || broken !== undefined) {
      const rest = broken ?? 'content-length: 4\r\n\r\ndone';
      socket.write(`${statusLine ?? 'HTTP/1.1 200 OK'}\r\n${ownHead}${rest}`);
      return;
    }
    const rest = RESET_REPLIES[this.fault];
    if (rest === undefined) throw new Error(`no fault ${this.fault}`);
    socket.write(`HTTP/1.1 200 OK\r\n${ownHead}${rest}`, () =>
      socket.resetAndDestroy(),
    );
  }
}
