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
      socket => Effect.sync(() => socket.close()),
    );
  }

  /** Sends a message to each address; lost datagrams are not resent. */
  send(message: DatagramMessage, addresses: readonly Address[]): void {
    if (addresses.length === 0) return;
    const bytes = Buffer.from(JSON.stringify(message));
    for (const {host, port} of addresses) {
      this.socket?.send(bytes, port, host, error => {
        if (error === null) return;
        logger.log('A heartbeat or load message could not be sent.', {
          host,
          cause: error.message,
        });
      });
    }
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
