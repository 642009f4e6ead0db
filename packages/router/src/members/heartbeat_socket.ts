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

const logger = new Logger('members');

/**
 * Exchanges heartbeats over UDP: unlike a connection, a datagram to a host that
 * does not respond never blocks the sender.
 */
export class HeartbeatSocket {
  private socket: Socket | undefined;

  constructor(
    private readonly address: Address,
    private readonly onHeartbeat: (heartbeat: Heartbeat) => void,
  ) {}

  /** Opens the socket; closes it with the scope. */
  open(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.acquireRelease(
      Effect.sync(() => this.listen()),
      socket => Effect.sync(() => socket.close()),
    );
  }

  /** Sends a heartbeat to each address; lost datagrams are not resent. */
  send(heartbeat: Heartbeat, addresses: readonly Address[]): void {
    const bytes = Buffer.from(JSON.stringify(heartbeat));
    for (const {host, port} of addresses) {
      this.socket?.send(bytes, port, host, error => {
        if (error === null) return;
        logger.log('A heartbeat could not be sent.', {
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
    try {
      const heartbeat = decodeJson(
        HeartbeatSchema,
        bytes.toString(),
        'heartbeat',
        ExcessProperties.IGNORED,
      );
      this.onHeartbeat(heartbeat);
    } catch (thrown) {
      const cause = toError(thrown).message;
      logger.log('A heartbeat could not be decoded.', {cause});
    }
  }
}
