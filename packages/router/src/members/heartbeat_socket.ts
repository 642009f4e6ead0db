import {createSocket, type Socket} from 'node:dgram';
import {Effect, type Scope} from 'effect';
import {
  decodeJson,
  ExcessProperties,
  Logger,
  toError,
  type Address,
} from '@greengagecross/common';
import {HeartbeatSchema, type Heartbeat} from './heartbeat.js';
import {LoadMessageSchema, type LoadMessage} from './load_message.js';
import {
  PACE_COUNT,
  PACE_INTERVAL_MS,
  PacedDatagrams,
  type Datagram,
} from './paced_datagrams.js';
import {
  SUSPECT_MESSAGE_KIND,
  SuspectMessageSchema,
  type SuspectMessage,
} from '../suspects/suspect_message.js';

const logger = new Logger('members');

/** The beginning of the other messages in JSON; heartbeats have no kind. */
const SUSPECT_MESSAGE_START = `{"kind":"${SUSPECT_MESSAGE_KIND}"`;
const LOAD_MESSAGE_START = '{"kind":';

/** A message that is sent as one datagram. */
export type DatagramMessage = Heartbeat | LoadMessage | SuspectMessage;

/**
 * Exchanges heartbeats, load messages and suspect messages over UDP: unlike a
 * connection, a datagram to a host that does not respond never blocks the
 * sender.
 */
export class HeartbeatSocket {
  private socket: Socket | undefined;
  private readonly paced = new PacedDatagrams();
  private paceTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly address: Address,
    private readonly onHeartbeat: (heartbeat: Heartbeat) => void,
    private readonly onLoad: (message: LoadMessage) => void,
    private readonly onSuspects: (message: SuspectMessage) => void,
  ) {}

  /** Opens the socket; closes it with the scope. */
  open(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.acquireRelease(
      Effect.sync(() => this.listen()),
      socket => Effect.sync(() => this.close(socket)),
    );
  }

  /**
   * Sends a message to each address, in their order; lost datagrams are not
   * resent. Heartbeats and load messages to many daemons are sent a few at a
   * time.
   */
  send(message: DatagramMessage, addresses: readonly Address[]): void {
    const bytes = Buffer.from(JSON.stringify(message));
    const kind = 'kind' in message ? message.kind : 'heartbeat';
    // Several suspect messages may go to an address, and all of them are urgent.
    // Watchers must hear a heartbeat in time, and they are few.
    const isFew = addresses.length <= PACE_COUNT;
    if (kind === SUSPECT_MESSAGE_KIND || isFew) {
      for (const address of addresses) this.sendNow({bytes, address});
      return;
    }
    for (const address of addresses) this.paced.add(kind, {bytes, address});
    if (this.paceTimer === undefined) this.sendNext();
  }

  /** Sends the next datagrams that wait, and schedules those after them. */
  private sendNext(): void {
    this.paceTimer = undefined;
    for (const datagram of this.paced.takeNext()) this.sendNow(datagram);
    if (this.paced.count() === 0) return;
    this.paceTimer = setTimeout(() => this.sendNext(), PACE_INTERVAL_MS);
  }

  private sendNow({bytes, address: {host, port}}: Datagram): void {
    this.socket?.send(bytes, port, host, error => {
      if (error === null) return;
      logger.log('A heartbeat or load message could not be sent.', {
        host,
        cause: error.message,
      });
    });
  }

  private close(socket: Socket): void {
    clearTimeout(this.paceTimer);
    this.socket = undefined;
    socket.close();
  }

  private listen(): Socket {
    const socket = createSocket('udp4');
    socket.on('message', bytes => this.receive(bytes));
    socket.on('error', error =>
      logger.log('The heartbeat socket failed.', {cause: error.message}),
    );
    socket.bind(this.address.port, this.address.host);
    this.socket = socket;
    return socket;
  }

  private receive(bytes: Buffer): void {
    const text = bytes.toString();
    try {
      if (text.startsWith(SUSPECT_MESSAGE_START)) {
        this.onSuspects(
          decodeJson(SuspectMessageSchema, text, 'suspect message'),
        );
        return;
      }
      if (text.startsWith(LOAD_MESSAGE_START)) {
        this.onLoad(decodeJson(LoadMessageSchema, text, 'load message'));
        return;
      }
      const heartbeat = decodeJson(
        HeartbeatSchema,
        text,
        'heartbeat',
        ExcessProperties.IGNORED,
      );
      this.onHeartbeat(heartbeat);
    } catch (thrown) {
      const cause = toError(thrown).message;
      logger.log('A heartbeat or load message could not be decoded.', {cause});
    }
  }
}
